package node

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"chicorytiller.example/chicorytiller/internal/entry"
	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/intake"
)

// intakeState is whether this router takes new callers, as far as the load of links decides it. It serves
// those that come anyway.
type intakeState struct {
	gauge      *intake.Gauge    // of watchIntake only
	listener   *intake.Listener // for callers; nil before Listen
	overloaded atomic.Bool      // callers' bytes overload the own link
	withdrawn  atomic.Bool      // not ready: overloaded, and another router is not
	changed    chan struct{}    // has a value when overloaded has changed, for maintainEntry
}

func newIntakeState(linkMbps float64) *intakeState {
	return &intakeState{gauge: intake.NewGauge(linkMbps), changed: make(chan struct{}, 1)}
}

// received returns the number of bytes received from callers.
func (s *intakeState) received() int64 {
	if s.listener == nil {
		return 0
	}
	return s.listener.Received()
}

// acceptsNew reports whether the router takes new callers.
func (s *intakeState) acceptsNew() bool {
	return !s.withdrawn.Load()
}

// watchIntake decides whether this router takes new callers, until ctx is done.
func (n *Node) watchIntake(ctx context.Context) {
	ticker := time.NewTicker(intake.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			n.updateIntake(n.now())
		}
	}
}

// answeredWithin is how recently an exchange must have been answered late for the link's delay to count as
// such. Without it the timeouts of a path that is cut, whose delay says nothing about the link, would count.
const answeredWithin = 500 * time.Millisecond

// updateIntake observes the link and decides.
func (n *Node) updateIntake(now time.Time) {
	sample := intake.Sample{At: now, Received: n.intake.received()}
	if n.link.WasSlow(now.Add(-answeredWithin)) {
		sample.Delay = n.link.Delay()
	}
	n.intake.gauge.Observe(sample)
	overloaded := n.intake.gauge.Overloaded(now)
	changed := n.intake.overloaded.Swap(overloaded) != overloaded
	n.updateReadiness(now, changed)
	if !changed {
		return
	}
	select {
	case n.intake.changed <- struct{}{}:
	default: // maintainEntry has yet to see the change before
	}
	number := event.OverloadEnded
	if overloaded {
		number = event.RouterOverloaded
	}
	last := n.intake.gauge.Last()
	n.log.Emit(number, slog.String(event.KeyCause, string(last.Cause)), slog.Int64("bytes_per_s", int64(last.BytesPerSecond)),
		slog.Float64("link_mbps", n.settings.LinkMbps), slog.Int64("delay_ms", last.Delay.Milliseconds()),
		slog.Int64("last_ms", now.Sub(last.Last).Milliseconds()), slog.Bool("ready", n.Ready()), n.listAge(now))
}

// listAge returns the attribute with the age of what is known of the other routers, -1 if nothing is.
func (n *Node) listAge(now time.Time) slog.Attr {
	age, known := n.membership.age(now)
	if !known {
		return slog.Int64("list_age_ms", -1)
	}
	return slog.Int64("list_age_ms", age.Milliseconds())
}

// overloadsKnown reports whether the overloads in the list of routers may still be those of now: an overload
// lasts for intake.Hold at least.
func (n *Node) overloadsKnown(now time.Time) bool {
	age, known := n.membership.age(now)
	return known && age <= intake.Hold
}

// updateReadiness decides whether this router withdraws. overloadChanged says that its own overload has just
// begun or ended, which is logged on its own.
func (n *Node) updateReadiness(now time.Time, overloadChanged bool) {
	members, _ := n.members.Snapshot()
	self, known := n.self(), n.overloadsKnown(now)
	withdrawn := false
	if known {
		withdrawn = entry.Withdraws(members, self)
	} else {
		withdrawn = entry.WithdrawsUnconfirmed(members, self)
	}
	if n.intake.withdrawn.Swap(withdrawn) != withdrawn && !overloadChanged {
		n.log.Emit(event.OverloadReadiness, slog.Bool("ready", n.Ready()), n.listAge(now))
	}
}

// minBodyTime is the shortest time for the body of a request to arrive: one round trip over a saturated link.
const minBodyTime = 150 * time.Millisecond

// bodyTime returns how long the body of a request may take to arrive whose caller waits for timeLeft; 0: no
// limit. While this router is overloaded, it is refused in time for the refusal to reach the caller.
func (n *Node) bodyTime(timeLeft time.Duration) time.Duration {
	if timeLeft <= 0 || !n.intake.overloaded.Load() {
		return 0
	}
	return max(timeLeft-n.link.Delay(), minBodyTime)
}
