package native

import (
	"chicorytiller.example/chicorytiller/internal/escrow"
	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/fleet"
	"chicorytiller.example/chicorytiller/internal/node"
	"chicorytiller.example/chicorytiller/internal/store"
)

// Environment returns the environment of a router with the native API.
func Environment(s store.Store, clock func() escrow.ClockReading, log *event.Log) node.Environment {
	return node.Environment{
		Store:            s,
		Clock:            clock,
		Now:              store.BoottimeNow,
		ConfigPrefix:     ConfigPrefix,
		IsConfig:         IsConfig,
		DecodeConfig:     DecodeConfig,
		EvacuatedDomain:  EvacuatedDomain,
		ServersPrefix:    BackendsPrefix,
		DecodeServer:     fleet.DecodeEntry(DecodeServer),
		KeyName:          KeyName,
		Codec:            Codec,
		CallerHandler:    CallerHandler(s, log),
		DirectoryHandler: DirectoryHandler,
		ReadyHandler:     ReadyHandler,
	}
}
