// Command chicory-engine runs one stub backend server: a model engine or a plain
// service. It prints its listen address to standard output. On SIGTERM or SIGINT it
// drains and then exits.
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
	// crashExitStatus is the exit status if a request with the crash marker ends the process.
	crashExitStatus  = 3
	idlePollInterval = 20 * time.Millisecond
)

// backendServer is the common interface of stub engines and stub plain services.
type backendServer interface {
	Serve(net.Listener) error
	Drain()
	Idle() bool
	Shutdown(limit time.Duration) error
	Close()
}

// options holds the command-line options.
type options struct {
	listen     string
	kind       string
	drainLimit time.Duration
	evidence   string
	engine     enginestub.Config
	service    enginestub.ServiceConfig
}

func main() {
	opts := parseOptions(os.Args[1:])
	err := run(opts)
	if err != nil {
		slog.Error("backend server stopped", "error", err)
		os.Exit(1)
	}
}

func parseOptions(args []string) options {
	var opts options
	var crashPoint string
	app := kingpin.New("chicory-engine", "A stand-in model engine or plain service.")
	app.Version(version.Version)
	app.Flag("listen", "Address to listen on.").Default("127.0.0.1:0").StringVar(&opts.listen)
	app.Flag("id", "Name of the backend server; requests that are meant for another one are rejected.").StringVar(&opts.engine.ID)
	app.Flag("kind", "Kind of backend server.").Default(kindEngine).EnumVar(&opts.kind, kindEngine, kindService)
	app.Flag("model", "Model that is loaded (repeatable); none: any.").StringsVar(&opts.engine.Models)
	app.Flag("software-version", "Version of the server's software, on which its answers depend.").StringVar(&opts.engine.Version)
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
	addUnevenFlags(app, &opts.engine.Uneven)
	kingpin.MustParse(app.Parse(args))
	app.FatalIfError(opts.engine.Uneven.Validate(), "flags")
	opts.service.ID = opts.engine.ID
	opts.service.Slots = opts.engine.Slots
	opts.service.CrashMarker = opts.engine.CrashMarker
	opts.service.CrashPoint = enginestub.CrashPoint(crashPoint)
	return opts
}

// addUnevenFlags adds the flags of engines that behave like uneven servers.
func addUnevenFlags(app *kingpin.Application, uneven *enginestub.Uneven) {
	app.Flag("seed", "Seed of the random draws of the flags below.").Default("1").Uint64Var(&uneven.Seed)
	app.Flag("uneven-pace", "Vary the time that work takes, and report it.").BoolVar(&uneven.Pace)
	app.Flag("memory", "Tokens of running requests and cached content that an engine holds; 0: unlimited.").Default("0").IntVar(&uneven.MemoryTokens)
	app.Flag("exit-out-of-memory", "End the process by SIGKILL when the memory runs out, instead of preempting a request.").BoolVar(&uneven.ExitOutOfMemory)
	app.Flag("nonsense-share", "Share of reports with a nonsensical pace, 0 to 1; needs --uneven-pace.").Default("0").Float64Var(&uneven.NonsenseShare)
	app.Flag("slow-body-share", "Share of connections on which bodies are read slowly, 0 to 1.").Default("0").Float64Var(&uneven.SlowBodyShare)
}

// run serves requests until SIGTERM or SIGINT, then drains the server.
func run(opts options) error {
	if opts.evidence != "" {
		file, err := os.OpenFile(opts.evidence, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return errors.Wrap(err, "evidence")
		}
		defer func() { _ = file.Close() }() // no data is lost: each line is written immediately
		opts.engine.ActivityLog = file
	}
	server := newServer(opts)
	defer server.Close()
	listener, err := net.Listen("tcp", opts.listen)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	serveErr := make(chan error, 1)
	var tasks conc.WaitGroup
	defer tasks.Wait()
	tasks.Go(func() { serveErr <- server.Serve(listener) })
	fmt.Println(listener.Addr())
	select {
	case err = <-serveErr:
		return err
	case <-signals:
	}
	err = drain(server, opts.drainLimit)
	server.Close()
	<-serveErr
	return err
}

func newServer(opts options) backendServer {
	crash := func() { os.Exit(crashExitStatus) }
	if opts.kind == kindService {
		opts.service.OnCrash = crash
		return enginestub.NewService(opts.service)
	}
	opts.engine.OnCrash = crash
	opts.engine.OnOutOfMemory = killSelf
	return enginestub.New(opts.engine)
}

// killSelf ends the process as the kernel does when the machine runs out of memory.
func killSelf() {
	_ = syscall.Kill(os.Getpid(), syscall.SIGKILL) // it can't fail
}

// drain stops accepting requests and shuts the server down once all requests are answered
// or limit has passed.
func drain(server backendServer, limit time.Duration) error {
	server.Drain()
	deadline := time.Now().Add(limit)
	for !server.Idle() && time.Now().Before(deadline) {
		time.Sleep(idlePollInterval)
	}
	return server.Shutdown(max(time.Until(deadline), idlePollInterval))
}
