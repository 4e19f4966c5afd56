package node

import (
	"context"
	"log/slog"
	"time"

	"chicorytiller.example/chicorytiller/internal/event"
)

// Timing of a start while the store is unreachable.
const (
	// bootstrapDelay gives the store, which has the latest state, time to answer first.
	bootstrapDelay    = 300 * time.Millisecond
	bootstrapInterval = 500 * time.Millisecond
)

// bootstrap fetches the configuration, the backend servers, their rate limits and the routers from
// another router if the store is unreachable at startup. Otherwise a router that starts during an
// outage would refuse all requests until the outage ends.
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

// bootstrapFrom loads the state of the router at address. It returns false if that router
// cannot be reached or lacks a configuration or backend servers.
func (n *Node) bootstrapFrom(ctx context.Context, address string) bool {
	known, err := n.peers.Known(ctx, address)
	if err != nil || len(known.Config) == 0 || len(known.Servers) == 0 {
		return false // the next seed is tried, or the same ones again in the next round
	}
	(&configSink{node: n}).seed(known.Config)
	n.registry.Seed(known.Servers)
	n.members.Seed(known.Members)
	for _, item := range known.Versions {
		n.applyVersions(item)
	}
	for _, item := range known.Limits {
		n.applyAnnouncedRate(item, false)
	}
	n.KeepCrashes(known.Crashes)
	n.log.Emit(event.Bootstrapped, slog.String("from", address), slog.Int("servers", len(known.Servers)), slog.Int("routers", len(known.Members)))
	return true
}
