// Command chicoryctl operates a router fleet: contracts, budgets and top-ups,
// backend servers, services, models, settings, routers and bills. Its help lists
// the exit codes.
package main

import (
	"os"

	"chicorytiller.example/chicorytiller/internal/ctl"
	"chicorytiller.example/chicorytiller/internal/version"
)

func main() {
	streams := ctl.IO{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}
	os.Exit(ctl.Run(version.Version, os.Args[1:], streams))
}
