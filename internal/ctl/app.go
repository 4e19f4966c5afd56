// Package ctl is the logic of chicoryctl, the operators' command line.
package ctl

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/contract"
	"chicorytiller.example/chicorytiller/internal/native"
	"chicorytiller.example/chicorytiller/internal/operate"
	"chicorytiller.example/chicorytiller/internal/store"
)

// Exit codes of chicoryctl. They are part of its interface.
const (
	ExitOK             = 0
	ExitFailed         = 1 // anything not listed below
	ExitUsage          = 2 // wrong command line or unreadable file
	ExitNotFound       = 3
	ExitConflict       = 4 // another operator's change came first
	ExitInvalid        = 5 // rejected as invalid; nothing changed
	ExitOutcomeUnknown = 6 // may have taken effect; repeat it, a top-up with the same --id
	ExitUnreachable    = 7 // the store didn't answer; nothing changed
)

// exitHelp documents the exit codes in the program's help.
const exitHelp = `Exit codes: 0 done; 1 failed otherwise; 2 wrong usage; 3 not found; 4 conflict with another change; ` +
	`5 rejected as invalid; 6 outcome not yet known (repeat it, a top-up with the same --id); 7 the store could not be reached.`

// Streams is what a run reads and writes.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// OpenStoreFunc connects to the store at an IP:port address.
type OpenStoreFunc func(address string) store.Store

// app holds the flags of one run.
type app struct {
	io      Streams
	open    OpenStoreFunc
	store   string
	json    bool
	timeout time.Duration
}

// defaultStore is the address of a store stand-in as chicory-dev starts it.
const defaultStore = "127.0.0.1:8079"

// Run runs one command and gives the exit code. Help and version end the process, as
// kingpin does.
func Run(version string, args []string, io Streams, open OpenStoreFunc) int {
	a := &app{io: io, open: open}
	cli := kingpin.New("chicoryctl", "Operates a chicorytiller router fleet through its store. "+exitHelp)
	cli.Version(version)
	cli.UsageWriter(io.Err)
	cli.ErrorWriter(io.Err)
	cli.Flag("store", "IP:port of the store.").Envar("CHICORY_STORE").Default(defaultStore).StringVar(&a.store)
	cli.Flag("json", "Print JSON instead of tables.").BoolVar(&a.json)
	cli.Flag("timeout", "How long to wait for the store.").Default("5s").DurationVar(&a.timeout)
	a.configCommands(cli.Command("config", "The operators' document: models, services, contracts."))
	a.budgetCommands(cli.Command("budget", "Prepaid tokens."))
	a.backendCommands(cli.Command("backend", "Backend servers."))
	a.domainCommands(cli.Command("domain", "Failure domains."))
	router := cli.Command("router", "Routers.")
	a.command(router.Command("list", "Lists the routers that live."), a.routers)
	key := cli.Command("key", "Callers' keys.")
	a.command(key.Command("new", "Makes a random key. Only its hash goes into a contract; the key is shown once."), a.newKey)
	return a.run(cli, args)
}

// run parses and acts. An error of the parser is wrong usage; one of a command has its
// own exit code.
func (a *app) run(cli *kingpin.Application, args []string) int {
	var failed *commandFailed
	_, err := cli.Parse(args)
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &failed):
		_, _ = fmt.Fprintf(a.io.Err, "chicoryctl: %s\n", failed.cause) // there is nowhere else to tell it
		return exitCode(failed.cause)
	}
	_, _ = fmt.Fprintf(a.io.Err, "chicoryctl: %s, try --help\n", err) // as above
	return ExitUsage
}

func exitCode(err error) int {
	var path *os.PathError
	switch {
	case errors.As(err, &path):
		return ExitUsage
	case errors.Is(err, operate.ErrNotFound):
		return ExitNotFound
	case errors.Is(err, operate.ErrConflict):
		return ExitConflict
	case errors.Is(err, operate.ErrInvalid), errors.Is(err, native.ErrInvalidDocument):
		return ExitInvalid
	case errors.Is(err, store.ErrOutcomeUnknown):
		return ExitOutcomeUnknown
	case errors.Is(err, store.ErrUnavailable):
		return ExitUnreachable
	}
	return ExitFailed
}

// commandFailed tells errors of commands from errors of the command line.
type commandFailed struct{ cause error }

func (e *commandFailed) Error() string { return e.cause.Error() }

// command binds what a command does.
func (a *app) command(clause *kingpin.CmdClause, do func(context.Context, store.Store) error) {
	clause.Action(func(*kingpin.ParseContext) error {
		ctx, cancel := context.WithTimeout(context.Background(), a.timeout)
		defer cancel()
		if err := do(ctx, a.open(a.store)); err != nil {
			return &commandFailed{cause: err}
		}
		return nil
	})
}

func (a *app) configCommands(parent *kingpin.CmdClause) {
	a.command(parent.Command("show", "Prints the document in force."), a.showConfig)
	apply := parent.Command("apply", "Puts a document in the place of the one in force, whole or not at all.")
	file := apply.Arg("file", "JSON file; - is standard input.").Required().String()
	a.command(apply, func(ctx context.Context, s store.Store) error {
		d, err := a.readDocument(*file)
		if err != nil {
			return err
		}
		if err := operate.Replace(ctx, s, d); err != nil {
			return err
		}
		return a.printf("version %d\n", d.Version)
	})
	check := parent.Command("check", "Checks a document and changes nothing.")
	checked := check.Arg("file", "JSON file; - is standard input.").Required().String()
	a.command(check, func(context.Context, store.Store) error {
		if _, err := a.readDocument(*checked); err != nil {
			return err
		}
		return a.printf("the document is right\n")
	})
}

func (a *app) readDocument(file string) (*native.Document, error) {
	data, err := a.readFile(file)
	if err != nil {
		return nil, err
	}
	return native.ParseDocument(data)
}

func (a *app) showConfig(ctx context.Context, s store.Store) error {
	d, _, err := operate.Document(ctx, s)
	if err != nil {
		return err
	}
	return a.printJSON(d)
}

func (a *app) backendCommands(parent *kingpin.CmdClause) {
	a.command(parent.Command("list", "Lists backend servers by model or service."), a.backends)
	put := parent.Command("put", "Registers a backend server, or changes it.")
	file := put.Arg("file", "JSON file; - is standard input.").Required().String()
	a.command(put, func(ctx context.Context, s store.Store) error {
		data, err := a.readFile(*file)
		if err != nil {
			return err
		}
		b := contract.BackendServer{}
		if err := json.Unmarshal(data, &b); err != nil {
			return errors.Wrap(operate.ErrInvalid, err.Error())
		}
		return operate.Register(ctx, s, b)
	})
	for name, does := range map[string]func(context.Context, store.Store, string) error{
		"drain": operate.Drain, "remove": operate.Unregister,
	} {
		command := parent.Command(name, map[string]string{
			"drain":  "Sends a backend server no new requests.",
			"remove": "Forgets a backend server.",
		}[name])
		backend := command.Arg("id", "Its id.").Required().String()
		a.command(command, func(ctx context.Context, s store.Store) error { return does(ctx, s, *backend) })
	}
}

func (a *app) backends(ctx context.Context, s store.Store) error {
	entries, err := operate.Backends(ctx, s)
	if err != nil {
		return err
	}
	t := table{{"BACKEND", "SERVES", "ADDRESS", "FAILURE DOMAIN", "LEAVING"}}
	for _, e := range entries {
		t = append(t, []string{e.ID, e.Service, e.Address, e.FailureDomain, strconv.FormatBool(e.Leaving)})
	}
	return a.print(entries, t)
}

func (a *app) routers(ctx context.Context, s store.Store) error {
	routers, err := operate.Routers(ctx, s)
	if err != nil {
		return err
	}
	t := table{{"CALLERS", "PEERS", "FAILURE DOMAIN"}}
	for _, r := range routers {
		t = append(t, []string{r.Address, r.Peer, r.Domain})
	}
	return a.print(routers, t)
}

func (a *app) newKey(context.Context, store.Store) error {
	plain, hash, err := contract.GenerateKey(rand.Reader)
	if err != nil {
		return err
	}
	return a.print(struct {
		Key  string           `json:"key"`
		Hash contract.KeyHash `json:"hash"`
	}{plain, hash}, table{{"KEY", "HASH"}, {plain, string(hash)}})
}

// table is an answer laid out for people; its first row is the head.
type table [][]string

// print writes value as JSON or the table.
func (a *app) print(value any, t table) error {
	if a.json {
		return a.printJSON(value)
	}
	const padding = 2
	writer := tabwriter.NewWriter(a.io.Out, 0, 0, padding, ' ', 0)
	for _, row := range t {
		if _, err := fmt.Fprintln(writer, strings.Join(row, "\t")); err != nil {
			return errors.Wrap(err, "print")
		}
	}
	return errors.Wrap(writer.Flush(), "print")
}

func (a *app) printJSON(value any) error {
	encoder := json.NewEncoder(a.io.Out)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(value), "print")
}

func (a *app) printf(format string, args ...any) error {
	_, err := fmt.Fprintf(a.io.Out, format, args...)
	return errors.Wrap(err, "print")
}

// readFile reads a file, or standard input when its name is "-".
func (a *app) readFile(name string) ([]byte, error) {
	if name == "-" || name == "" { // kingpin gives a lone "-" as ""
		data, err := io.ReadAll(a.io.In)
		return data, errors.Wrap(err, "read standard input")
	}
	return os.ReadFile(name)
}

func number(n int64) string {
	return strconv.FormatInt(n, 10)
}
