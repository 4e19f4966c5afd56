// Command chicory-dev runs a complete small fleet in one process on the loopback
// interface: routers, stub engines, a stub plain service and an in-memory store. It prints
// the addresses and example commands. It exits with status 0 on SIGTERM or SIGINT.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"chicorytiller.example/chicorytiller/internal/dev"
	"chicorytiller.example/chicorytiller/internal/store"
	"chicorytiller.example/chicorytiller/internal/version"
	"chicorytiller.example/chicorytiller/platform"
)

func main() {
	app := kingpin.New("chicory-dev", "A small fleet in one process, for a first look.")
	app.Version(version.Version)
	app.HelpFlag.Short('h')
	options := dev.Options{
		NewStoreHandler: platform.StoreHandler,
		OpenStore:       func(address string) store.Store { return platform.NewStore(address) },
	}
	app.Flag("routers", "Number of routers.").Default("3").IntVar(&options.Routers)
	app.Flag("engines", "Number of engines.").Default("3").IntVar(&options.Engines)
	app.Flag("slots", "Requests that one engine runs at once.").Default("16").IntVar(&options.Slots)
	app.Flag("token-time", "Time between two tokens of an engine.").Default("20ms").DurationVar(&options.TokenTime)
	app.Flag("first-port", "Port of the first router's callers' listener; the others follow. 0 takes free ones.").Default("8080").IntVar(&options.FirstPort)
	app.Flag("store-port", "Port of the store. 0 takes a free one.").Default("8079").IntVar(&options.StorePort)
	logFile := app.Flag("log", "File for the events of all routers.").Default(os.DevNull).String()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if err := run(options, *logFile); err != nil {
		fmt.Fprintln(os.Stderr, "chicory-dev:", err)
		os.Exit(1)
	}
}

func run(options dev.Options, logFile string) error {
	const logFileMode = 0o640
	log, err := os.OpenFile(logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, logFileMode)
	if err != nil {
		return err
	}
	defer log.Close()
	options.Log = log
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	fleet, err := dev.Start(options)
	if err != nil {
		return err
	}
	fleet.PrintGuide(os.Stdout)
	<-stop
	fmt.Println("stopping as planned ...")
	fleet.Stop()
	return nil
}
