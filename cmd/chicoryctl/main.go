// Command chicoryctl operates a router fleet through its store. It manages the
// configuration document, budgets, backend servers and failure domains, and lists routers.
// Its help text lists the exit codes.
package main

import (
	"os"

	"chicorytiller.example/chicorytiller/internal/ctl"
	"chicorytiller.example/chicorytiller/internal/store"
	"chicorytiller.example/chicorytiller/internal/version"
	"chicorytiller.example/chicorytiller/platform"
)

func main() {
	streams := ctl.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}
	open := func(address string) store.Store { return platform.NewStore(address) }
	os.Exit(ctl.Run(version.Version, os.Args[1:], streams, open))
}
