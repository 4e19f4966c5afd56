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
	mu     sync.Mutex
	shut   time.Time
	wait   time.Duration // between the last call and the next one; 0: the store answers
	failed time.Time     // the start of the latest call that failed
	// answered is when the latest answer came.
	answered time.Time
	probes   probes
}

// Times between the starts of two calls while the store doesn't answer.
const (
	// gateFirst is long beside a call's few milliseconds, and short beside the second
	// within which a change must be known.
	gateFirst = 150 * time.Millisecond
	// gateMost lets a router know all again within a second of the store's return: it is
	// held to its bounds three seconds after it.
	gateMost = 600 * time.Millisecond
	// gateMostRelayed is the same for a router that others usually tell: those ask the
	// store too, and in a large fleet there are thirty of it for one of those.
	gateMostRelayed = 800 * time.Millisecond
)

// Allow says whether the store may be asked now, and counts the call. The store is then not
// asked again for a time that doubles with each call, up to most.
func (g *Backoff) Allow(now time.Time, most time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Before(g.shut) {
		return false
	}
	g.wait = min(max(gateFirst, 2*g.wait), most)
	g.shut = now.Add(g.wait)
	return true
}

// StartProbe notes that a call starts over a connection of its own.
func (g *Backoff) StartProbe(now time.Time) *Probe {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.probes.start(now)
}

// ProbeConnected notes that a probe's connection has come about. A read of several pages
// has one for each; the first one counts.
func (g *Backoff) ProbeConnected(p *Probe, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p.connected.IsZero() {
		p.connected = now
	}
}

// ProbeFailed notes that a probe got no answer: the store, or the way there, ended it, or
// the router gave it up.
func (g *Backoff) ProbeFailed(p *Probe, now time.Time, refused bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !p.isAnswered {
		p.gaveUp, p.refused = now, refused
	}
}

// ProbeAnswered notes that a probe was answered. The first part of an answer counts.
func (g *Backoff) ProbeAnswered(p *Probe, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p.isAnswered {
		return
	}
	p.isAnswered = true
	g.probes.answered(p, now)
}

// AnsweredSince says whether an answer came after a moment. Who asked last before it may ask
// once without leave: else the one whose turn comes first takes each turn until its own answer
// is there, and over a long link the others know what changed seconds late.
func (g *Backoff) AnsweredSince(asked time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.answered.After(asked)
}

// RecordSuccess opens the gate.
func (g *Backoff) RecordSuccess(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.answered = now
	g.shut, g.wait = time.Time{}, 0
}

// RecordFailure notes that a call failed. The first one may not have asked for leave.
func (g *Backoff) RecordFailure(started time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if started.After(g.failed) {
		g.failed = started
	}
	if g.wait == 0 {
		g.wait = gateFirst
		g.shut = started.Add(gateFirst)
	}
}

// Outage says whether a call that started after a moment got no answer, and since when the
// store may have answered again at the earliest.
func (g *Backoff) Outage(after time.Time) (returned time.Time, broken bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.probes.away.After(after) {
		return g.probes.away, true
	}
	return after, g.failed.After(after)
}

// OngoingOutage is Outage for a router to which the store has not answered yet: a probe that waits
// for longer than a sound path takes stands for one that was overtaken.
func (g *Backoff) OngoingOutage(after, now time.Time) (returned time.Time, broken bool) {
	returned, broken = g.Outage(after)
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.probes.unanswered {
		if p.started.After(returned) && now.Sub(p.started) >= answerJitter {
			returned, broken = p.started, true
		}
	}
	return returned, broken
}
