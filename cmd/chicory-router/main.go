// Command chicory-router is the router with the native interface: OpenAI-compatible chat
// completions, and plain services.
package main

import (
	"chicorytiller.example/chicorytiller/internal/daemon"
	"chicorytiller.example/chicorytiller/internal/escrow"
	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/native"
	"chicorytiller.example/chicorytiller/internal/node"
	"chicorytiller.example/chicorytiller/platform"
)

func main() {
	daemon.Program{
		Name: "chicory-router",
		Help: "Router between callers and backend servers, on prepaid token budgets.",
		Environment: func(settings *node.Settings, clock func() escrow.ClockReading, log *event.Log) node.Environment {
			return native.Environment(platform.NewStore(settings.StoreAddr), clock, log)
		},
	}.Main()
}
