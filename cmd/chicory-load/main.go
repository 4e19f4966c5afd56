// Command chicory-load is a load client: it calls a fleet of routers as real
// callers do, checks every answer byte for byte, and prints latencies, refusals
// and whatever contradicts the fleet's promises. It ends with 0 when nothing
// does, with 1 when something does, and with 2 when it could not run.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes.
const (
	exitBroken = 1
	exitFailed = 2
)

func main() {
	opts := parseOptions(os.Args[1:])
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	broken, err := run(ctx, opts, os.Stdout)
	if err != nil {
		fmt.Fprintln(os.Stderr, "chicory-load:", err)
		os.Exit(exitFailed)
	}
	if broken > 0 {
		fmt.Fprintf(os.Stderr, "chicory-load: %d faults\n", broken)
		os.Exit(exitBroken)
	}
}
