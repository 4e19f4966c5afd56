package store

import (
	"sync"
	"time"
)

// Backoff spaces a router's calls to a store that doesn't answer. All followers of a router
// share one: each refused call costs money, and one prefix is enough to notice that the store
// is back. Intervals run from the start of one call to the start of the next, so that a
// hanging call doesn't delay the next one: after a network partition a router has an answer
// within one interval and a round trip, however long earlier calls took.
type Backoff struct {
	mu               sync.Mutex
	nextAllowed      time.Time
	interval         time.Duration // between the last call and the next one; 0: the store answers
	lastFailureStart time.Time     // start of the most recently started call that failed
	// lastSuccess is when the latest answer arrived.
	lastSuccess time.Time
	// connectable is set while the latest probes of an outage get connections.
	connectable bool
	probes      probes
}

// Times between the starts of two calls while the store doesn't answer.
const (
	// backoffMin is long compared with the few milliseconds of a call, and short compared
	// with the second within which a change must be visible.
	backoffMin = 150 * time.Millisecond
	// backoffMax lets a router be up to date within a second of the store's return. The
	// limits on the age of its data apply again three seconds after the return.
	backoffMax = 600 * time.Millisecond
	// backoffMaxRelayed is used by a router that normally follows a store reader. The
	// store readers call the store as well, and in a large fleet each serves thirty routers.
	backoffMaxRelayed = 800 * time.Millisecond
)

// Allow reports whether the store may be called now and, if so, counts the call. The interval
// until the next allowed call doubles with each call, up to maxInterval.
func (b *Backoff) Allow(now time.Time, maxInterval time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Before(b.nextAllowed) {
		return false
	}
	b.interval = min(max(backoffMin, 2*b.interval), maxInterval)
	b.nextAllowed = now.Add(b.interval)
	return true
}

// StartProbe records the start of a call over a new connection.
func (b *Backoff) StartProbe(now time.Time) *Probe {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.probes.start(now, now.Sub(b.lastSuccess) < answeringTime)
}

// ProbeConnected records that a probe's connection is established. A read of several pages
// uses one connection for each; the first one counts.
func (b *Backoff) ProbeConnected(p *Probe, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !p.connected.IsZero() {
		return
	}
	p.connected = now
	if !b.connectable {
		b.connectable = true
		b.shorten(now)
	}
}

// shorten starts the backoff anew, since the network path works again. The store is likely to answer
// soon, and the sooner it is called after that, the better the time of its return is known.
func (b *Backoff) shorten(now time.Time) {
	b.interval = 0
	if next := now.Add(backoffMin); b.nextAllowed.After(next) {
		b.nextAllowed = next
	}
}

// ProbeFailed records that a probe got no answer. refused reports whether the store or the
// network ended it, rather than this router.
func (b *Backoff) ProbeFailed(p *Probe, now time.Time, refused bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p.answered {
		return
	}
	p.failedAt, p.refused = now, refused
	if p.connected.IsZero() {
		b.connectable = false
	}
}

// ProbeAnswered records that a probe was answered. The first part of an answer counts.
func (b *Backoff) ProbeAnswered(p *Probe, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p.answered {
		return
	}
	p.answered = true
	b.probes.recordAnswer(p, now)
}

// AnsweredSince reports whether the store has answered any call after t. A follower whose last
// check started before that answer may check once without Allow. Otherwise the follower that is
// due first would use every allowed call until its own answer arrives, and over a link with high
// latency the other followers would see changes seconds late.
func (b *Backoff) AnsweredSince(t time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lastSuccess.After(t)
}

// RecordSuccess records an answer and resets the interval.
func (b *Backoff) RecordSuccess(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastSuccess = now
	b.nextAllowed, b.interval = time.Time{}, 0
}

// RecordFailure records that a call failed. It starts the backoff if the call was made without
// Allow, as it is while the store answers.
func (b *Backoff) RecordFailure(started time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if started.After(b.lastFailureStart) {
		b.lastFailureStart = started
	}
	if b.interval == 0 {
		b.interval = backoffMin
		b.nextAllowed = started.Add(backoffMin)
	}
}

// Outage reports whether a call that started after the given time got no answer, and the
// earliest time at which the store may have been reachable again.
func (b *Backoff) Outage(after time.Time) (earliestReturn time.Time, broken bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.probes.lastUnreachable.After(after) {
		return b.probes.lastUnreachable, true
	}
	return after, b.lastFailureStart.After(after)
}

// UnreachableSince reports whether a probe that started after t showed that the store was unreachable.
func (b *Backoff) UnreachableSince(t time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.probes.lastUnreachable.After(t)
}

// OngoingOutage is Outage for a router that the store has not answered yet. It treats a
// probe that has waited longer than an answer takes on a working network path like one that was
// overtaken by a later probe.
func (b *Backoff) OngoingOutage(after, now time.Time) (earliestReturn time.Time, broken bool) {
	earliestReturn, broken = b.Outage(after)
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.probes.unanswered {
		if p.started.After(earliestReturn) && now.Sub(p.started) >= answerJitter {
			earliestReturn, broken = p.started, true
		}
	}
	return earliestReturn, broken
}
