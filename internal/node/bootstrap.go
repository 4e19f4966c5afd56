package node

import (
	"context"
	"log/slog"
	"time"

	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/store"
)

// Pace of a start while the store is away.
const (
	// bootstrapDelay leaves the store its time: it is the better source.
	bootstrapDelay    = 300 * time.Millisecond
	bootstrapInterval = 500 * time.Millisecond
)

// bootstrap learns configuration, backend servers and routers from another router,
// if the store can't be reached at the start. Without it a router that starts in an
// outage refuses everything until the outage ends.
func (n *Node) bootstrap(ctx context.Context) {
	pause := bootstrapDelay
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		pause = bootstrapInterval
		if n.policy.Load() != nil && n.registry.View().Total > 0 {
			return
		}
		for _, seed := range n.settings.SeedAddrs {
			if seed != n.settings.PeerAddr && n.bootstrapFrom(ctx, seed) {
				return
			}
		}
	}
}

// bootstrapFrom takes over what a router knows; false if it knows nothing either.
func (n *Node) bootstrapFrom(ctx context.Context, address string) bool {
	known, err := n.peers.Known(ctx, address)
	if err != nil || len(known.Config) == 0 || len(known.Servers) == 0 {
		return false // the next seed, or the next round
	}
	(&configSink{node: n}).Reset(known.Config, store.Silence{})
	n.registry.Seed(known.Servers)
	n.members.Seed(known.Members)
	for _, item := range known.Limits {
		n.limits.ApplyRecord(item)
	}
	n.log.Emit(event.Bootstrapped, slog.String("from", address), slog.Int("servers", len(known.Servers)), slog.Int("routers", len(known.Members)))
	return true
}
