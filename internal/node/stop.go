package node

import (
	"context"
	"log/slog"
	"time"

	"chicorytiller.example/chicorytiller/internal/event"
)

// Planned stop.
const (
	// lingerLeast is how long a stopping router goes on taking connections: callers
	// that were told its address come until their answer is old.
	lingerLeast = 3500 * time.Millisecond
	// returnTime is kept free at the end, to return grants and end in time.
	returnTime = 700 * time.Millisecond
	stopPoll   = 25 * time.Millisecond
)

// stop leaves the directory, lets requests end, returns the grants.
func (n *Node) stop() {
	began := time.Now()
	n.stoppedAt.Store(began.UnixMilli())
	n.stopping.Store(true)
	n.keeper.StopAccepting()
	close(n.stopNotice)
	n.log.Emit(event.DrainStarted, slog.Int64("in_hand", n.inHand.Load()))
	end := began.Add(n.settings.Grace - returnTime)
	for time.Now().Before(end) {
		if time.Since(began) > lingerLeast && n.inHand.Load() == 0 {
			break
		}
		time.Sleep(stopPoll)
	}
	n.refuseAll(end)
	ctx, cancel := context.WithTimeout(context.Background(), returnTime/2)
	defer cancel()
	if err := n.keeper.ReturnGrants(ctx); err != nil {
		n.log.Emit(event.DrawFailed, slog.Any(event.KeyCause, err))
		n.handOver()
	}
	n.log.Emit(event.DrainFinished, slog.Int64("in_hand", n.inHand.Load()), slog.Int64("ms", time.Since(began).Milliseconds()))
}

// refuseAll takes no request any more, and waits for those that came just before, until
// end at the latest. Without it a request that comes while the grants are returned is cut
// off in its run.
func (n *Node) refuseAll(end time.Time) {
	n.leaving.Store(true)
	for time.Now().Before(end) && n.inHand.Load() > 0 {
		time.Sleep(stopPoll)
	}
}

// handOver gives what can't be returned to another router.
func (n *Node) handOver() {
	others := n.peerAddresses()
	if len(others) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), returnTime/3)
	defer cancel()
	n.keeper.HandOver(ctx, others[0])
}
