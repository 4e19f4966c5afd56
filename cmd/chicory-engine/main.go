// Command chicory-engine runs one stand-in backend server: a model engine or a
// plain service. It prints its address on the standard output; on SIGTERM it
// drains and then stops.
package main

import (
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"

	"chicorytiller.example/chicorytiller/internal/enginestub"
	"chicorytiller.example/chicorytiller/internal/version"
)

const (
	kindEngine  = "engine"
	kindService = "service"
	// crashStatus is the exit status of a crash that a marked request asked for.
	crashStatus = 3
	idlePoll    = 20 * time.Millisecond
)

// server is what both kinds of backend servers offer.
type server interface {
	Serve(net.Listener) error
	Drain()
	Idle() bool
	Shutdown(limit time.Duration) error
	Close()
}

// options are the command line.
type options struct {
	listen     string
	kind       string
	drainLimit time.Duration
	evidence   string
	engine     enginestub.Config
	service    enginestub.ServiceConfig
}

func main() {
	opts := parse(os.Args[1:])
	err := run(opts)
	if err != nil {
		slog.Error("backend server stopped", "error", err)
		os.Exit(1)
	}
}

func parse(args []string) options {
	var opts options
	var crashPoint string
	app := kingpin.New("chicory-engine", "A stand-in model engine or plain service.")
	app.Version(version.Version)
	app.Flag("listen", "Address to listen on.").Default("127.0.0.1:0").StringVar(&opts.listen)
	app.Flag("id", "Name of the backend server; requests that are meant for another one are rejected.").StringVar(&opts.engine.ID)
	app.Flag("kind", "Kind of backend server.").Default(kindEngine).EnumVar(&opts.kind, kindEngine, kindService)
	app.Flag("model", "Model that is loaded (repeatable); none: any.").StringsVar(&opts.engine.Models)
	app.Flag("slots", "Requests that run at once.").Default("64").IntVar(&opts.engine.Slots)
	app.Flag("max-waiting", "Requests that may wait.").Default("10000").IntVar(&opts.engine.MaxWaiting)
	app.Flag("token-time", "Time per output token; 0: full speed.").Default("0s").DurationVar(&opts.engine.TokenTime)
	app.Flag("prompt-token-time", "Time per prompt token that isn't cached.").Default("0s").DurationVar(&opts.engine.PromptTokenTime)
	app.Flag("chunk-tokens", "Most tokens of one chunk.").Default("1").IntVar(&opts.engine.ChunkTokens)
	app.Flag("cache-tokens", "Tokens that the prefix cache holds.").Default("0").IntVar(&opts.engine.CacheTokens)
	app.Flag("crash-marker", "Text in a request that crashes the process.").StringVar(&opts.engine.CrashMarker)
	app.Flag("crash-after-tokens", "Tokens of the marked request before the crash.").Default("0").IntVar(&opts.engine.CrashAfterTokens)
	app.Flag("crash-point", "When a marked call crashes a service.").Default("before").EnumVar(&crashPoint, "before", "after")
	app.Flag("delay", "Time that a service takes for a call.").Default("0s").DurationVar(&opts.service.Delay)
	app.Flag("drain-limit", "Longest wait for running requests after SIGTERM.").Default("1m").DurationVar(&opts.drainLimit)
	app.Flag("evidence", "File that an engine appends what it does to, as it happens.").StringVar(&opts.evidence)
	kingpin.MustParse(app.Parse(args))
	opts.service.ID = opts.engine.ID
	opts.service.Slots = opts.engine.Slots
	opts.service.CrashMarker = opts.engine.CrashMarker
	opts.service.CrashPoint = enginestub.CrashPoint(crashPoint)
	return opts
}

// run serves until a signal.
func run(opts options) error {
	if opts.evidence != "" {
		file, err := os.OpenFile(opts.evidence, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return errors.Wrap(err, "evidence")
		}
		defer func() { _ = file.Close() }() // each line is written at once
		opts.engine.Evidence = file
	}
	backendServer := newServer(opts)
	defer backendServer.Close()
	listener, err := net.Listen("tcp", opts.listen)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	served := make(chan error, 1)
	var tasks conc.WaitGroup
	defer tasks.Wait()
	tasks.Go(func() { served <- backendServer.Serve(listener) })
	fmt.Println(listener.Addr())
	select {
	case err = <-served:
		return err
	case <-signals:
	}
	err = drain(backendServer, opts.drainLimit)
	backendServer.Close()
	<-served
	return err
}

func newServer(opts options) server {
	crash := func() { os.Exit(crashStatus) }
	if opts.kind == kindService {
		opts.service.OnCrash = crash
		return enginestub.NewService(opts.service)
	}
	opts.engine.OnCrash = crash
	return enginestub.New(opts.engine)
}

// drain waits until nothing runs and all answers are sent, or limit has passed.
func drain(backendServer server, limit time.Duration) error {
	backendServer.Drain()
	deadline := time.Now().Add(limit)
	for !backendServer.Idle() && time.Now().Before(deadline) {
		time.Sleep(idlePoll)
	}
	return backendServer.Shutdown(max(time.Until(deadline), idlePoll))
}
