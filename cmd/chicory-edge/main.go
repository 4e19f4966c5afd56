// Command chicory-edge is the router that runs on each entry VM of the users' platform.
package main

import (
	"chicorytiller.example/chicorytiller/internal/daemon"
	"chicorytiller.example/chicorytiller/internal/escrow"
	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/fleet"
	"chicorytiller.example/chicorytiller/internal/node"
	"chicorytiller.example/chicorytiller/internal/store"
	"chicorytiller.example/chicorytiller/platform"
)

func main() {
	daemon.Program{
		Name:        "chicory-edge",
		Help:        "Router between callers and backend servers on the users' platform, on prepaid token budgets.",
		Environment: environment,
	}.Main()
}

func environment(settings *node.Settings, clock func() escrow.ClockReading, _ *event.Log) node.Environment {
	return node.Environment{
		Store:            platform.NewStore(settings.StoreAddr),
		Clock:            clock,
		Now:              store.BoottimeNow,
		ConfigPrefix:     platform.ConfigPrefix,
		IsConfig:         platform.IsConfig,
		DecodeConfig:     platform.DecodeConfig,
		EvacuatedDomain:  platform.EvacuatedDomain,
		ServersPrefix:    platform.ServersPrefix,
		DecodeServer:     fleet.DecodeEntry(platform.DecodeServer),
		Codec:            platform.ServerCodec,
		CallerHandler:    platform.CallerHandler,
		DirectoryHandler: platform.DirectoryHandler,
		ReadyHandler:     platform.ReadyHandler,
	}
}
