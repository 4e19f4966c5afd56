// Command chicory-load is a load generator. It calls a fleet of routers as real callers
// do, checks every answer byte for byte, and reports latencies, refusals and violations of
// the fleet's guarantees. Its exit status is 0 if there were no violations, 1 if there
// were some, and 2 if the run failed.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit statuses.
const (
	exitViolations = 1
	exitFailed     = 2
)

func main() {
	opts := parseOptions(os.Args[1:])
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	violations, err := run(ctx, opts, os.Stdout)
	if err != nil {
		fmt.Fprintln(os.Stderr, "chicory-load:", err)
		os.Exit(exitFailed)
	}
	if violations > 0 {
		fmt.Fprintf(os.Stderr, "chicory-load: %d violations\n", violations)
		os.Exit(exitViolations)
	}
}
