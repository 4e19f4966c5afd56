package ctl

import (
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/contract"
)

// Names of environment variables that stand for flags.
const (
	envURL            = "CHICORY_OPERATOR_URL"
	envCredential     = "CHICORY_CREDENTIAL"
	envCredentialFile = "CHICORY_CREDENTIAL_FILE"
	envCAFile         = "CHICORY_CA_FILE"
)

const (
	outputTable = "table"
	outputJSON  = "json"
)

// IO is what a run reads and writes.
type IO struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// app holds the flags of one run.
type app struct {
	io             IO
	urls           []string
	credentialFile string
	caFile         string
	operator       string
	output         string
	timeout        time.Duration
}

// Run runs one command and gives the exit code. Help, version and shell
// completion end the process, as kingpin does.
func Run(version string, args []string, io IO) int {
	a := &app{io: io}
	cli := kingpin.New("chicoryctl", "Operates a chicorytiller router fleet. "+exitHelp)
	cli.Version(version)
	cli.UsageWriter(io.Err)
	cli.ErrorWriter(io.Err)
	a.globalFlags(cli)
	for _, kind := range resources {
		a.resourceCommands(cli, kind)
	}
	a.fleetCommands(cli)
	a.keyCommands(cli)
	return a.run(cli, args)
}

// run parses and acts. An error of the parser is wrong usage; one of an action
// has its own exit code.
func (a *app) run(cli *kingpin.Application, args []string) int {
	var actionError *actionFailed
	_, err := cli.Parse(args)
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &actionError):
		_, _ = fmt.Fprintf(a.io.Err, "chicoryctl: %s\n", actionError.cause)
		return exitCode(actionError.cause)
	}
	_, _ = fmt.Fprintf(a.io.Err, "chicoryctl: %s, try --help\n", err)
	return ExitUsage
}

// actionFailed tells errors of commands from errors of the command line.
type actionFailed struct{ cause error }

func (e *actionFailed) Error() string { return e.cause.Error() }

// action makes a kingpin action of a command.
func action(do func() error) kingpin.Action {
	return func(*kingpin.ParseContext) error {
		if err := do(); err != nil {
			return &actionFailed{cause: err}
		}
		return nil
	}
}

// defaultURL is a router's operators' listener on this VM, as settings have it by default.
const defaultURL = "http://127.0.0.1:8081"

func (a *app) globalFlags(cli *kingpin.Application) {
	cli.Flag("operator-url", "A router's operators' listener; repeat it, and the next is tried when one fails.").
		Envar(envURL).Default(defaultURL).StringsVar(&a.urls)
	cli.Flag("credential-file", "File with the operators' credential. Without it $"+envCredential+" is used.").
		Envar(envCredentialFile).StringVar(&a.credentialFile)
	cli.Flag("ca-file", "PEM file of the authority that signed the routers' certificates.").
		Envar(envCAFile).StringVar(&a.caFile)
	cli.Flag("operator", "Your name, for the history of changes.").Default(os.Getenv("USER")).StringVar(&a.operator)
	cli.Flag("output", "How to print.").Default(outputTable).EnumVar(&a.output, outputTable, outputJSON)
	cli.Flag("timeout", "How long to wait for each router.").Default("15s").DurationVar(&a.timeout)
}

func (a *app) client() (*client, error) {
	credential := os.Getenv(envCredential)
	if a.credentialFile != "" {
		data, err := os.ReadFile(a.credentialFile)
		if err != nil {
			return nil, &usageError{errors.Wrap(err, "--credential-file")}
		}
		credential = strings.TrimSpace(string(data))
	}
	if credential == "" {
		return nil, &usageError{errors.New("no credential: give --credential-file or set $" + envCredential)}
	}
	tlsConfig, err := a.tlsConfig()
	if err != nil {
		return nil, err
	}
	return newClient(a.urls, credential, a.operator, a.timeout, tlsConfig), nil
}

func (a *app) tlsConfig() (*tls.Config, error) {
	if a.caFile == "" {
		return nil, nil
	}
	data, err := os.ReadFile(a.caFile)
	if err != nil {
		return nil, &usageError{errors.Wrap(err, "--ca-file")}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, &usageError{errors.Errorf("--ca-file: %s holds no PEM certificate", a.caFile)}
	}
	return &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}, nil
}

// readFile reads a file, or standard input when its name is "-".
func (a *app) readFile(name string) ([]byte, error) {
	if name == "-" || name == "" { // kingpin gives a lone "-" as ""
		data, err := io.ReadAll(a.io.In)
		return data, errors.Wrap(err, "read standard input")
	}
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, &usageError{err}
	}
	return data, nil
}

func (a *app) keyCommands(cli *kingpin.Application) {
	key := cli.Command("key", "Callers' keys.")
	key.Command("new", "Makes a random key. Only its hash goes into a contract; the key is shown once.").
		Action(action(a.newKey))
}

func (a *app) newKey() error {
	plain, hash, err := contract.GenerateKey(rand.Reader)
	if err != nil {
		return err
	}
	return a.print(struct {
		Key  string           `json:"key"`
		Hash contract.KeyHash `json:"hash"`
	}{plain, hash}, table{head: []string{"KEY", "HASH"}, rows: [][]string{{plain, string(hash)}}})
}
