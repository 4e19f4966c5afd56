package node

import (
	"context"
	"log/slog"
	"math"
	"time"

	"golang.org/x/sys/unix"

	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/inbound"
)

// Defaults of what clients may take of a router. The rest is for backend servers, the store, other routers and the
// state of the router itself.
const (
	// connectionsFraction is the fraction of the descriptors that connections of clients may take: a request that is
	// served takes another one, to a backend server.
	connectionsFraction = 0.4
	// connectionMemoryFraction and requestMemoryFraction are fractions of Settings.MemoryMB.
	connectionMemoryFraction = 0.25
	requestMemoryFraction    = 0.25
	// connectionBytes is the memory of a connection, with a part of the one to a backend server that it may need.
	connectionBytes = 32 << 10
	// defaultRequestMemoryMB is for settings without a memory limit.
	defaultRequestMemoryMB = 256
)

// inboundLimits reads the bounds of what clients take, which depend on the memory of the process by default.
func (p *parser) inboundLimits(memoryMB int) inbound.Limits {
	descriptors := p.number("router", "max_descriptors", float64(descriptorLimit()))
	connections, requestMB := connectionsFraction*descriptors, float64(defaultRequestMemoryMB)
	if memoryMB > 0 {
		connections = min(connections, connectionMemoryFraction*float64(memoryMB)*(1<<20)/connectionBytes)
		requestMB = requestMemoryFraction * float64(memoryMB)
	}
	return inbound.Limits{
		Connections:  int(p.number("router", "max_connections", math.Max(1, connections))),
		RequestBytes: int64(p.number("router", "request_memory_mb", requestMB) * (1 << 20)),
	}
}

// Shares of Settings.Inbound that other routers may take in addition. Theirs is an address that clients are not told.
const (
	peerConnectionsShare = 0.4
	peerMemoryShare      = 0.25
)

// peerLimits returns the bounds of what other routers take.
func peerLimits(s *Settings) inbound.Limits {
	return inbound.Limits{Connections: int(peerConnectionsShare * float64(s.Inbound.Connections)),
		RequestBytes: int64(peerMemoryShare * float64(s.Inbound.RequestBytes))}
}

// fallbackDescriptors is the usual limit on descriptors, for a kernel that doesn't tell it.
const fallbackDescriptors = 1024

// descriptorLimit returns how many descriptors the process may open.
func descriptorLimit() uint64 {
	limit := unix.Rlimit{}
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur == 0 {
		return fallbackDescriptors
	}
	return limit.Cur
}

// watchInbound ends requests whose clients stall, and logs what was ended, until ctx is done.
func (n *Node) watchInbound(ctx context.Context) {
	ticker := time.NewTicker(inbound.CheckInterval)
	defer ticker.Stop()
	before := inbound.Ends{}
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			n.inbound.CheckStalled(now)
			n.peerPool.CheckStalled(now)
		}
		state := n.inbound.TakeState()
		if state.Ends != before {
			n.logEnds(state, before)
			before = state.Ends
		}
	}
}

// logEnds logs how many connections of clients were ended since the state before.
func (n *Node) logEnds(s inbound.State, before inbound.Ends) {
	n.log.Emit(event.ClientsEnded, slog.Int64("crowded", s.Ends.Crowded-before.Crowded), slog.Int64("full", s.Ends.Full-before.Full),
		slog.Int64("stalled", s.Ends.Stalled-before.Stalled), slog.Int("open", s.PeakOpen), slog.Int64("bytes", s.PeakHeld),
		slog.Int("max_open", n.settings.Inbound.Connections), slog.Int64("max_bytes", n.settings.Inbound.RequestBytes))
}
