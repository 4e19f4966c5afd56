package store

import (
	"sync"
	"time"
)

// Gate spaces a router's calls to a store that doesn't answer, over all that it follows:
// each refused call is paid for, and asking for one thing tells as much as asking for three.
// The time counts from the start of one call to the start of the next, so that a call that
// hangs doesn't put off the next one: a router that came back from a cut has an answer
// after one spacing and a round trip, whatever the calls before took.
type Gate struct {
	mu   sync.Mutex
	shut time.Time
	wait time.Duration // between the last call and the next one; 0: the store answers
	// tried and triedBefore are the starts of the latest calls of which no answer is known.
	tried, triedBefore time.Time
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

// Take says whether the store may be asked now, and counts the call. The store is then not
// asked again for a time that doubles with each call, up to most.
func (g *Gate) Take(now time.Time, most time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Before(g.shut) {
		return false
	}
	g.wait = min(max(gateFirst, 2*g.wait), most)
	g.shut = now.Add(g.wait)
	g.triedBefore, g.tried = g.tried, now
	return true
}

// Answered opens the gate.
func (g *Gate) Answered(started time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.shut, g.wait = time.Time{}, 0
	if g.tried.Equal(started) {
		g.tried = g.triedBefore
	}
}

// Failed notes that a call failed. The first one may not have asked for leave.
func (g *Gate) Failed(started time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if started.After(g.tried) {
		g.triedBefore, g.tried = g.tried, started
	}
	if g.wait == 0 {
		g.wait = gateFirst
		g.shut = started.Add(gateFirst)
	}
}

// Tried is when the latest call before a moment started of which no answer is known, by all
// who use the gate. For an answered call that started at that moment, it is the moment
// since when the store may have answered again.
func (g *Gate) Tried(before time.Time) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.tried.Before(before) {
		return g.tried
	}
	return g.triedBefore
}
