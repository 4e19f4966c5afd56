package node

import (
	"context"
	"log/slog"
	"time"

	"github.com/sourcegraph/conc"

	"chicorytiller.example/chicorytiller/internal/event"
)

// Phases of the graceful shutdown.
const (
	// minAcceptTime is the minimum time for which a stopping router accepts connections: callers
	// use its address until their cached addresses expire.
	minAcceptTime = 3500 * time.Millisecond
	// grantReturnTime is the part of the grace period reserved for returning grants.
	grantReturnTime  = 700 * time.Millisecond
	stopPollInterval = 25 * time.Millisecond
)

// stop removes this router from the directory, lets requests finish and returns its grants.
func (n *Node) stop() {
	start := time.Now()
	n.stopStartedAt.Store(start.UnixMilli())
	n.stopping.Store(true)
	n.grants.StopAccepting()
	n.carrier.Stop()
	close(n.stopSignal)
	n.streams.handOver()
	n.log.Emit(event.DrainStarted, slog.Int64("in_hand", n.inFlight.Load()))
	deadline := start.Add(n.settings.GracePeriod - grantReturnTime)
	for time.Now().Before(deadline) {
		if time.Since(start) > minAcceptTime && n.inFlight.Load() == 0 && n.carrier.Active() == 0 {
			break
		}
		time.Sleep(stopPollInterval)
	}
	n.refuseNewRequests(deadline)
	var handOver conc.WaitGroup
	handOver.Go(n.streams.handOver) // also records that arrived meanwhile
	n.returnGrants()
	handOver.Wait()
	n.log.Emit(event.DrainFinished, slog.Int64("in_hand", n.inFlight.Load()), slog.Int64("ms", time.Since(start).Milliseconds()))
}

// returnGrants returns the grants to the store, or to another router if that fails.
func (n *Node) returnGrants() {
	ctx, cancel := context.WithTimeout(context.Background(), grantReturnTime/2)
	defer cancel()
	if err := n.grants.ReturnGrants(ctx); err != nil {
		n.log.Emit(event.DrawFailed, slog.Any(event.KeyCause, err))
		n.handOverGrants()
	}
}

// refuseNewRequests refuses all further requests and waits until deadline for those in flight.
// Otherwise a request that arrives while the grants are being returned would be cut off.
func (n *Node) refuseNewRequests(deadline time.Time) {
	n.refusing.Store(true)
	for time.Now().Before(deadline) && n.inFlight.Load() > 0 {
		time.Sleep(stopPollInterval)
	}
}

// handOverGrants transfers to another router the grants that could not be returned to the store.
func (n *Node) handOverGrants() {
	others := n.peerAddresses()
	if len(others) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), grantReturnTime/3)
	defer cancel()
	n.grants.HandOver(ctx, others[0])
}
