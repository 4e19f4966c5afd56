package store

import (
	"sync"
	"time"
)

// Backoff spaces a router's calls to a store that doesn't answer, over all that it follows:
// each refused call is paid for, and asking for one thing tells as much as asking for three.
// The time counts from the start of one call to the start of the next, so that a call that
// hangs doesn't put off the next one: a router that came back from a cut has an answer
// after one spacing and a round trip, whatever the calls before took.
type Backoff struct {
	mu               sync.Mutex
	nextAllowed      time.Time
	interval         time.Duration // between the last call and the next one; 0: the store answers
	lastFailureStart time.Time     // the start of the latest call that failed
	// lastSuccess is when the latest answer came.
	lastSuccess time.Time
	probes      probes
}

// Times between the starts of two calls while the store doesn't answer.
const (
	// backoffMin is long beside a call's few milliseconds, and short beside the second
	// within which a change must be known.
	backoffMin = 150 * time.Millisecond
	// backoffMax lets a router know all again within a second of the store's return: it is
	// held to its bounds three seconds after it.
	backoffMax = 600 * time.Millisecond
	// backoffMaxRelayed is the same for a router that others usually tell: those ask the
	// store too, and in a large fleet there are thirty of it for one of those.
	backoffMaxRelayed = 800 * time.Millisecond
)

// Allow says whether the store may be asked now, and counts the call. The store is then not
// asked again for a time that doubles with each call, up to most.
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

// StartProbe notes that a call starts over a connection of its own.
func (b *Backoff) StartProbe(now time.Time) *Probe {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.probes.start(now)
}

// ProbeConnected notes that a probe's connection has come about. A read of several pages
// has one for each; the first one counts.
func (b *Backoff) ProbeConnected(p *Probe, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p.connected.IsZero() {
		p.connected = now
	}
}

// ProbeFailed notes that a probe got no answer: the store, or the way there, ended it, or
// the router gave it up.
func (b *Backoff) ProbeFailed(p *Probe, now time.Time, refused bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !p.answered {
		p.abandonedAt, p.refused = now, refused
	}
}

// ProbeAnswered notes that a probe was answered. The first part of an answer counts.
func (b *Backoff) ProbeAnswered(p *Probe, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p.answered {
		return
	}
	p.answered = true
	b.probes.recordAnswer(p, now)
}

// AnsweredSince says whether an answer came after a moment. Who asked last before it may ask
// once without leave: else the one whose turn comes first takes each turn until its own answer
// is there, and over a long link the others know what changed seconds late.
func (b *Backoff) AnsweredSince(asked time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lastSuccess.After(asked)
}

// RecordSuccess opens the gate.
func (b *Backoff) RecordSuccess(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastSuccess = now
	b.nextAllowed, b.interval = time.Time{}, 0
}

// RecordFailure notes that a call failed. The first one may not have asked for leave.
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

// Outage says whether a call that started after a moment got no answer, and since when the
// store may have answered again at the earliest.
func (b *Backoff) Outage(after time.Time) (earliestReturn time.Time, broken bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.probes.lastUnreachable.After(after) {
		return b.probes.lastUnreachable, true
	}
	return after, b.lastFailureStart.After(after)
}

// OngoingOutage is Outage for a router to which the store has not answered yet: a probe that waits
// for longer than a sound path takes stands for one that was overtaken.
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
