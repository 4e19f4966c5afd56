// Package daemon is what all router programs share: flags, signals, settings that
// change, the log. A program ends with 0 after a planned stop (SIGTERM or SIGINT),
// with 1 when it can't go on and with 2 when its settings are wrong.
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
	exitFailed   = 1
	exitSettings = 2
)

// settingsEvery is how often the settings file is looked at: it may change without
// a signal.
const settingsEvery = 2 * time.Second

// heapGrowth lets the heap grow by half before it is collected: memory is dearer
// than processor time on entry VMs.
const heapGrowth = 50

// heapShare is the part of the process's memory above which the heap is collected
// at any price: beyond the limit the process is killed.
const heapShare = 0.7

// hangups gets each SIGHUP from before main on. One that comes before its handler is
// there ends the process, and an operator may send it right after a start.
var hangups = takeHangups()

func takeHangups() <-chan os.Signal {
	taken := make(chan os.Signal, 1)
	signal.Notify(taken, syscall.SIGHUP)
	return taken
}

// Program is one router program.
type Program struct {
	Name, Help string
	// Environment is how it speaks with its surroundings.
	Environment func(settings *node.Settings, clock func() escrow.ClockReading, log *event.Log) node.Environment
}

// Main runs the program with the command line's arguments and ends the process.
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
		os.Exit(exitSettings)
	}
	if *checkOnly {
		fmt.Println("settings are right")
		return
	}
	if err := p.run(settings, *file); err != nil {
		slog.Error(p.Name+" stops", "error", err)
		os.Exit(exitFailed)
	}
}

func (p Program) run(settings *node.Settings, file string) error {
	runtime.GOMAXPROCS(1) // an entry VM has a part of one core: more threads only switch
	debug.SetGCPercent(heapGrowth)
	if settings.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(settings.MemoryMB) * (1 << 20)))
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()

	incarnation := uuid.NewString()
	buffer := event.NewBuffer(os.Stdout)
	log := event.New(buffer, settings.VM+"@"+incarnation[:8], slog.LevelInfo, nil)
	logging, endLog := context.WithCancel(context.Background())
	var tasks conc.WaitGroup
	defer tasks.Wait()
	defer endLog()
	tasks.Go(func() { buffer.Run(logging) })

	clock, err := escrow.SystemClock()
	if err != nil {
		return err
	}
	n := node.New(settings, p.Environment(settings, clock, log), log, incarnation)
	tasks.Go(func() { watchSettings(logging, file, n, log) })
	if err := n.Listen(); err != nil {
		return err
	}
	n.Run(ctx)
	log.Emit(event.ProcessStopped)
	return nil
}

// watchSettings puts changed settings in force, on SIGHUP or when the file changes.
func watchSettings(ctx context.Context, file string, n *node.Node, log *event.Log) {
	ticker := time.NewTicker(settingsEvery)
	defer ticker.Stop()
	seen := modified(file)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		case <-ticker.C:
			if modified(file).Equal(seen) {
				continue
			}
		}
		seen = modified(file)
		settings, err := node.LoadSettings(file)
		if err != nil {
			log.Emit(event.SettingsRejected, slog.Any(event.KeyCause, err))
			continue
		}
		n.Reload(settings)
	}
}

// modified is when the file was last written; zero while it can't be read.
func modified(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
