// Package daemon contains what all router programs share: flags, signals, reloading of
// settings and the log. A program exits with 0 after a planned stop (SIGTERM or SIGINT),
// with 1 after a fatal error and with 2 if its settings are invalid.
package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/google/uuid"
	"github.com/sourcegraph/conc"

	"chicorytiller.example/chicorytiller/internal/escrow"
	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/node"
	"chicorytiller.example/chicorytiller/internal/version"
)

// Exit codes.
const (
	exitFailure         = 1
	exitInvalidSettings = 2
)

// settingsCheckInterval is the time between checks of the settings file, which may change
// without a SIGHUP.
const settingsCheckInterval = 2 * time.Second

// gcPercent lets the heap grow by half before a garbage collection: memory is scarcer than
// processor time on the VMs that run routers.
const gcPercent = 50

// memoryLimitFraction is the fraction of Settings.MemoryMB above which garbage is collected at
// any cost, because a process that exceeds its memory limit is killed.
const memoryLimitFraction = 0.7

// hangups receives SIGHUP. It is registered before main starts, because a SIGHUP without a
// handler kills the process and an operator may send one right after the start.
var hangups = notifyHangups()

func notifyHangups() <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}

// Program is a router program.
type Program struct {
	Name, Help string
	// Environment returns the program's connection to its deployment.
	Environment func(settings *node.Settings, clock func() escrow.ClockReading, log *event.Log) node.Environment
}

// Main runs the program with the command-line arguments and exits the process on an error.
func (p Program) Main() {
	app := kingpin.New(p.Name, p.Help)
	app.Version(version.Version)
	app.HelpFlag.Short('h')
	file := app.Flag("settings", "INI file with the settings, see docs/SETTINGS.md.").Envar("CHICORYTILLER_CONFIG").Required().String()
	checkOnly := app.Flag("check-settings", "Check the settings, say what is wrong, and end.").Bool()
	kingpin.MustParse(app.Parse(os.Args[1:]))

	settings, err := node.LoadSettings(*file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitInvalidSettings)
	}
	if *checkOnly {
		fmt.Println("settings are right")
		return
	}
	if err := p.run(settings, *file); err != nil {
		slog.Error(p.Name+" failed", "error", err)
		os.Exit(exitFailure)
	}
}

func (p Program) run(settings *node.Settings, file string) error {
	runtime.GOMAXPROCS(1) // the VM gives a router a fraction of a core: more threads only cause context switches
	debug.SetGCPercent(gcPercent)
	if settings.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryLimitFraction * float64(settings.MemoryMB) * (1 << 20)))
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()

	incarnation := uuid.NewString()
	buffer := event.NewBuffer(os.Stdout)
	log := event.New(buffer, settings.VM+"@"+incarnation[:8], slog.LevelInfo, nil)
	logCtx, stopLog := context.WithCancel(context.Background())
	var tasks conc.WaitGroup
	defer tasks.Wait()
	defer stopLog()
	tasks.Go(func() { buffer.Run(logCtx) })

	clock, err := escrow.SystemClock()
	if err != nil {
		return err
	}
	n := node.New(settings, p.Environment(settings, clock, log), log, incarnation)
	tasks.Go(func() { watchSettings(logCtx, file, n, log) })
	if err := n.Listen(); err != nil {
		return err
	}
	n.Run(ctx)
	log.Emit(event.ProcessStopped)
	return nil
}

// watchSettings reloads the settings on SIGHUP and when the file changes.
func watchSettings(ctx context.Context, file string, n *node.Node, log *event.Log) {
	ticker := time.NewTicker(settingsCheckInterval)
	defer ticker.Stop()
	lastModTime := modTime(file)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-ticker.C:
			if modTime(file).Equal(lastModTime) {
				continue
			}
		}
		lastModTime = modTime(file)
		settings, err := node.LoadSettings(file)
		if err != nil {
			log.Emit(event.SettingsRejected, slog.Any(event.KeyCause, err))
			continue
		}
		n.Reload(settings)
	}
}

// modTime returns the file's modification time, or the zero time if that can't be read.
func modTime(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
