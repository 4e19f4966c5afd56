package node

import (
	"context"
	"log/slog"
	"time"

	"chicorytiller.example/chicorytiller/internal/event"
)

// Planned stop.
const (
	// minAcceptTime is how long a stopping router goes on taking connections: callers
	// that were told its address come until their answer is old.
	minAcceptTime = 3500 * time.Millisecond
	// grantReturnTime is kept free at the end, to return grants and end in time.
	grantReturnTime  = 700 * time.Millisecond
	stopPollInterval = 25 * time.Millisecond
)

// stop leaves the directory, lets requests end, returns the grants.
func (n *Node) stop() {
	start := time.Now()
	n.stopStartedAt.Store(start.UnixMilli())
	n.stopping.Store(true)
	n.grants.StopAccepting()
	close(n.stopSignal)
	n.log.Emit(event.DrainStarted, slog.Int64("in_hand", n.inFlight.Load()))
	deadline := start.Add(n.settings.GracePeriod - grantReturnTime)
	for time.Now().Before(deadline) {
		if time.Since(start) > minAcceptTime && n.inFlight.Load() == 0 {
			break
		}
		time.Sleep(stopPollInterval)
	}
	n.refuseNewRequests(deadline)
	ctx, cancel := context.WithTimeout(context.Background(), grantReturnTime/2)
	defer cancel()
	if err := n.grants.ReturnGrants(ctx); err != nil {
		n.log.Emit(event.DrawFailed, slog.Any(event.KeyCause, err))
		n.handOverGrants()
	}
	n.log.Emit(event.DrainFinished, slog.Int64("in_hand", n.inFlight.Load()), slog.Int64("ms", time.Since(start).Milliseconds()))
}

// refuseNewRequests takes no request any more, and waits for those that came just before, until
// end at the latest. Without it a request that comes while the grants are returned is cut
// off in its run.
func (n *Node) refuseNewRequests(deadline time.Time) {
	n.refusing.Store(true)
	for time.Now().Before(deadline) && n.inFlight.Load() > 0 {
		time.Sleep(stopPollInterval)
	}
}

// handOverGrants gives what can't be returned to another router.
func (n *Node) handOverGrants() {
	others := n.peerAddresses()
	if len(others) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), grantReturnTime/3)
	defer cancel()
	n.grants.HandOver(ctx, others[0])
}
