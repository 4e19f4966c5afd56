// Package ctl implements chicoryctl, the command-line tool for operators.
package ctl

import (
	"bytes"
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
	ExitFailed         = 1 // any error not listed below
	ExitUsage          = 2 // invalid command line or unreadable file
	ExitNotFound       = 3
	ExitConflict       = 4 // conflict with another operator's change; nothing changed
	ExitInvalid        = 5 // rejected as invalid; nothing changed
	ExitOutcomeUnknown = 6 // may have taken effect; safe to repeat, a top-up with the same --id
	ExitUnreachable    = 7 // the store did not answer; nothing changed
)

// exitHelp describes the exit codes in the help text.
const exitHelp = `Exit codes: 0 done; 1 failed otherwise; 2 wrong usage; 3 not found; 4 conflict with another change; ` +
	`5 rejected as invalid; 6 outcome not yet known (repeat it, a top-up with the same --id); 7 the store could not be reached.`

// Streams are the standard streams of a run.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// OpenStoreFunc returns a client of the store at an IP:port address.
type OpenStoreFunc func(address string) store.Store

// app holds the streams and the global flags of a run.
type app struct {
	streams    Streams
	openStore  OpenStoreFunc
	storeAddr  string
	jsonOutput bool
	timeout    time.Duration
}

// defaultStore is the address at which chicory-dev serves its store by default.
const defaultStore = "127.0.0.1:8079"

// Run runs one command and returns the exit code. The help and version flags exit the
// process, as is usual with kingpin.
func Run(version string, args []string, streams Streams, openStore OpenStoreFunc) int {
	a := &app{streams: streams, openStore: openStore}
	cli := kingpin.New("chicoryctl", "Operates a chicorytiller router fleet through its store. "+exitHelp)
	cli.Version(version)
	cli.UsageWriter(streams.Err)
	cli.ErrorWriter(streams.Err)
	cli.Flag("store", "IP:port of the store.").Envar("CHICORY_STORE").Default(defaultStore).StringVar(&a.storeAddr)
	cli.Flag("json", "Print JSON instead of tables.").BoolVar(&a.jsonOutput)
	cli.Flag("timeout", "How long to wait for the store, and for routers.").Default("5s").DurationVar(&a.timeout)
	a.configCommands(cli.Command("config", "The operators' document: models, services, contracts."))
	a.budgetCommands(cli.Command("budget", "Prepaid tokens."))
	a.backendCommands(cli.Command("backend", "Backend servers."))
	a.domainCommands(cli.Command("domain", "Failure domains."))
	router := cli.Command("router", "Routers.")
	a.setAction(router.Command("list", "Lists the routers that live."), a.listRouters)
	key := cli.Command("key", "Callers' keys.")
	a.setAction(key.Command("new", "Makes a random key. Only its hash goes into a contract; the key is shown once."), a.newKey)
	a.explainCommand(cli.Command("explain", "Tells where routers would send a request now, and why, without sending it. "+
		"Exit codes: 0 would be sent; 1 would be refused; 2 could not ask."))
	return a.run(cli, args)
}

// run parses the command line, runs the command and returns the exit code.
func (a *app) run(cli *kingpin.Application, args []string) int {
	var commandErr *commandError
	var coded *codedError
	_, err := cli.Parse(args)
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &coded):
		if coded.cause != nil {
			_, _ = fmt.Fprintf(a.streams.Err, "chicoryctl: %s\n", coded.cause) // a failed write cannot be reported anywhere
		}
		return coded.code
	case errors.As(err, &commandErr):
		_, _ = fmt.Fprintf(a.streams.Err, "chicoryctl: %s\n", commandErr.cause) // a failed write cannot be reported anywhere
		return exitCode(commandErr.cause)
	}
	_, _ = fmt.Fprintf(a.streams.Err, "chicoryctl: %s, try --help\n", err) // as above
	return ExitUsage
}

func exitCode(err error) int {
	var pathErr *os.PathError
	switch {
	case errors.As(err, &pathErr):
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

// commandError distinguishes errors of commands from errors in the command line.
type commandError struct{ cause error }

func (e *commandError) Error() string { return e.cause.Error() }

// setAction makes clause run action with the store and the time limit that the flags set.
func (a *app) setAction(clause *kingpin.CmdClause, action func(context.Context, store.Store) error) {
	clause.Action(func(*kingpin.ParseContext) error {
		ctx, cancel := context.WithTimeout(context.Background(), a.timeout)
		defer cancel()
		if err := action(ctx, a.openStore(a.storeAddr)); err != nil {
			return &commandError{cause: err}
		}
		return nil
	})
}

func (a *app) configCommands(parent *kingpin.CmdClause) {
	a.setAction(parent.Command("show", "Prints the document in force."), a.showConfig)
	apply := parent.Command("apply", "Puts a document in the place of the one in force, whole or not at all.")
	applyFile := apply.Arg("file", "JSON file; - is standard input.").Required().String()
	a.setAction(apply, func(ctx context.Context, s store.Store) error {
		d, err := a.readDocument(*applyFile)
		if err != nil {
			return err
		}
		if err := operate.Replace(ctx, s, d); err != nil {
			return err
		}
		return a.printf("version %d\n", d.Version)
	})
	check := parent.Command("check", "Checks a document and changes nothing.")
	checkFile := check.Arg("file", "JSON file; - is standard input.").Required().String()
	a.setAction(check, func(context.Context, store.Store) error {
		if _, err := a.readDocument(*checkFile); err != nil {
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
	if err := rejectUnknownFields(data, &native.Document{}); err != nil {
		return nil, errors.Wrap(native.ErrInvalidDocument, err.Error())
	}
	return native.ParseDocument(data)
}

// rejectUnknownFields returns an error that names a field which v, of the type that data is decoded into, does not
// have. A misspelled field would otherwise count as absent. Other errors in data are left to its decoder.
func rejectUnknownFields(data []byte, v any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil && strings.HasPrefix(err.Error(), "json: unknown field ") {
		return err
	}
	return nil
}

func (a *app) showConfig(ctx context.Context, s store.Store) error {
	d, _, err := operate.Document(ctx, s)
	if err != nil {
		return err
	}
	return a.printJSON(d)
}

func (a *app) backendCommands(parent *kingpin.CmdClause) {
	a.setAction(parent.Command("list", "Lists backend servers by model or service."), a.listBackends)
	a.setAction(parent.Command("versions", "Lists the versions of the servers' software by model or service."), a.listVersions)
	put := parent.Command("put", "Registers a backend server, or changes it.")
	putFile := put.Arg("file", "JSON file; - is standard input.").Required().String()
	a.setAction(put, func(ctx context.Context, s store.Store) error {
		data, err := a.readFile(*putFile)
		if err != nil {
			return err
		}
		b := contract.BackendServer{}
		if err := rejectUnknownFields(data, &b); err != nil {
			return errors.Wrap(operate.ErrInvalid, err.Error())
		}
		if err := json.Unmarshal(data, &b); err != nil {
			return errors.Wrap(operate.ErrInvalid, err.Error())
		}
		return operate.Register(ctx, s, b)
	})
	for name, action := range map[string]func(context.Context, store.Store, string) error{
		"drain": operate.Drain, "remove": operate.Unregister,
	} {
		command := parent.Command(name, map[string]string{
			"drain":  "Sends a backend server no new requests.",
			"remove": "Forgets a backend server.",
		}[name])
		backend := command.Arg("id", "Its id.").Required().String()
		a.setAction(command, func(ctx context.Context, s store.Store) error { return action(ctx, s, *backend) })
	}
}

func (a *app) listBackends(ctx context.Context, s store.Store) error {
	entries, err := operate.Backends(ctx, s)
	if err != nil {
		return err
	}
	t := table{{"BACKEND", "SERVES", "ADDRESS", "FAILURE DOMAIN", "VERSION", "LEAVING"}}
	for _, e := range entries {
		t = append(t, []string{e.ID, e.Service, e.Address, e.FailureDomain, e.Version, strconv.FormatBool(e.Leaving)})
	}
	return a.print(entries, t)
}

func (a *app) listVersions(ctx context.Context, s store.Store) error {
	versions, err := operate.Versions(ctx, s)
	if err != nil {
		return err
	}
	t := table{{"SERVES", "VERSION", "SERVERS", "LEAVING", "ADMITTED"}}
	for _, v := range versions {
		t = append(t, []string{v.Service, v.Version, strconv.Itoa(v.Servers), strconv.Itoa(v.Leaving), strconv.FormatBool(v.Admitted)})
	}
	return a.print(versions, t)
}

func (a *app) listRouters(ctx context.Context, s store.Store) error {
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

// table is output in human-readable form; its first row is the header.
type table [][]string

// print writes value as JSON if --json is set, else the table.
func (a *app) print(value any, t table) error {
	if a.jsonOutput {
		return a.printJSON(value)
	}
	const padding = 2
	writer := tabwriter.NewWriter(a.streams.Out, 0, 0, padding, ' ', 0)
	for _, row := range t {
		if _, err := fmt.Fprintln(writer, strings.Join(row, "\t")); err != nil {
			return errors.Wrap(err, "print")
		}
	}
	return errors.Wrap(writer.Flush(), "print")
}

func (a *app) printJSON(value any) error {
	encoder := json.NewEncoder(a.streams.Out)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(value), "print")
}

func (a *app) printf(format string, args ...any) error {
	_, err := fmt.Fprintf(a.streams.Out, format, args...)
	return errors.Wrap(err, "print")
}

// readFile reads a file, or standard input when its name is "-".
func (a *app) readFile(name string) ([]byte, error) {
	if name == "-" || name == "" { // kingpin passes a lone "-" as ""
		data, err := io.ReadAll(a.streams.In)
		return data, errors.Wrap(err, "read standard input")
	}
	return os.ReadFile(name)
}

func formatInt(n int64) string {
	return strconv.FormatInt(n, 10)
}
