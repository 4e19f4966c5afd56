// Command chicory-router is the daemon on each entry VM. It reads its settings
// from an INI file and ends with 0 after a planned stop (SIGTERM or SIGINT), with
// 1 when it can't go on and with 2 when its settings are wrong.
package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/platform/etcdgw"
	"chicorytiller.example/chicorytiller/internal/platform/vmlist"
	"chicorytiller.example/chicorytiller/internal/router"
	"chicorytiller.example/chicorytiller/internal/settings"
	"chicorytiller.example/chicorytiller/internal/version"
)

// Exit codes.
const (
	exitFailed   = 1
	exitSettings = 2
)

func main() {
	app := kingpin.New("chicory-router", "Router between callers and backend servers, on prepaid token budgets.")
	app.Version(version.Version)
	app.HelpFlag.Short('h')
	file := app.Flag("settings", "INI file with the settings, see docs/SETTINGS.md.").Required().String()
	checkOnly := app.Flag("check-settings", "Check the settings, say what is wrong, and end.").Bool()
	kingpin.MustParse(app.Parse(os.Args[1:]))

	s, err := settings.Load(*file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitSettings)
	}
	if *checkOnly {
		fmt.Println("settings are right")
		return
	}
	if err := run(s); err != nil {
		slog.Error("chicory-router stops", "error", err)
		os.Exit(exitFailed)
	}
}

func run(s *settings.Router) error {
	output, err := openLog(s.Log.File)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	for {
		err := runOnce(ctx, s, output)
		if !errors.Is(err, router.ErrFenced) {
			return err
		}
		// Others settled this incarnation. A new one holds no grant and no
		// request of the old one, so that it may serve.
	}
}

func runOnce(ctx context.Context, s *settings.Router, output io.Writer) error {
	kv, err := etcdgw.New(etcdgw.Config{Endpoint: s.Platform.KVEndpoint, Timeout: s.Platform.Timeout})
	if err != nil {
		return err
	}
	r, err := router.New(s, router.Options{
		KV:     kv,
		VMs:    vmlist.NewHTTP(s.Platform.VMListURL, s.Platform.Timeout),
		Output: output,
	})
	if err != nil {
		return err
	}
	return r.Run(ctx)
}

func openLog(path string) (io.Writer, error) {
	if path == "" {
		return os.Stderr, nil
	}
	const mode = 0o640
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, mode)
	return file, errors.Wrap(err, "log file")
}
