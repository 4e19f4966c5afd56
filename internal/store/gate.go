package store

import (
	"sync"
	"time"
)

// Gate spaces a router's calls to a store that doesn't answer, over all that it follows.
// While the store is away each router of a large fleet would otherwise ask it again and
// again for each thing it follows, and each refused call is paid for. The routers that
// serve the others go on asking, so its return is noticed all the same.
type Gate struct {
	mu   sync.Mutex
	shut time.Time
	wait time.Duration
}

// Times between two tries of a router that follows others.
const (
	// gateFirst is about the time in which the others learn of the store's return.
	gateFirst = 500 * time.Millisecond
	// gateMost bounds how late a router that nobody serves any more is after the store's
	// return: well below the three seconds after which it must know all again.
	gateMost = 1500 * time.Millisecond
)

// Open says whether the store may be asked now. A nil gate is always open.
func (g *Gate) Open(now time.Time) bool {
	if g == nil {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return !now.Before(g.shut)
}

// Note takes how a call ended.
func (g *Gate) Note(err error, now time.Time) {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if err == nil {
		g.shut, g.wait = time.Time{}, 0
		return
	}
	g.wait = min(max(gateFirst, 2*g.wait), gateMost)
	g.shut = now.Add(g.wait)
}
