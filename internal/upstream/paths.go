package upstream

import (
	"sync"
	"time"
)

const (
	// probeInterval is the time between two attempts to connect directly to a server whose path is
	// down. They are made beside requests, not in their time.
	probeInterval = 500 * time.Millisecond
	// unreachableTime is how long a server is taken for unreachable after neither this router nor any
	// other one could connect to it.
	unreachableTime = 300 * time.Millisecond
	// pathTTL is how long the state of a path is kept without use.
	pathTTL = 30 * time.Second
)

// paths tracks which servers this router can't connect to directly, by incarnation. It is safe for
// concurrent use.
type paths struct {
	now func() time.Time

	mu   sync.Mutex
	down map[string]*downPath
}

// downPath is a server that does not answer this router's attempts to connect.
type downPath struct {
	since            time.Time
	lastUse          time.Time
	lastProbe        time.Time
	unreachableUntil time.Time
}

func newPaths(now func() time.Time) *paths {
	return &paths{now: now, down: make(map[string]*downPath)}
}

// isDown reports whether the path to a server is down, and whether nothing else reaches it either.
func (p *paths) isDown(incarnation string) (down, unreachable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.down[incarnation]
	if d == nil {
		return false, false
	}
	now := p.now()
	d.lastUse = now
	return true, now.Before(d.unreachableUntil)
}

// markDown records that a server did not answer. It reports whether that is new.
func (p *paths) markDown(incarnation string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down[incarnation] != nil {
		return false
	}
	now := p.now()
	p.down[incarnation] = &downPath{since: now, lastUse: now, lastProbe: now}
	return true
}

// markUnreachable records that no other router could connect to the server either.
func (p *paths) markUnreachable(incarnation string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if d := p.down[incarnation]; d != nil {
		d.unreachableUntil = p.now().Add(unreachableTime)
	}
}

// markUp records that the server answered. It returns for how long the path was down, and false if it
// was not.
func (p *paths) markUp(incarnation string) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.down[incarnation]
	if d == nil {
		return 0, false
	}
	delete(p.down, incarnation)
	return p.now().Sub(d.since), true
}

// startProbe reports whether a direct attempt is due, and counts it as made.
func (p *paths) startProbe(incarnation string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.down[incarnation]
	if d == nil || p.now().Sub(d.lastProbe) < probeInterval {
		return false
	}
	d.lastProbe = p.now()
	return true
}

// expire forgets the paths that were not used for pathTTL.
func (p *paths) expire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	for incarnation, d := range p.down {
		if now.Sub(d.lastUse) >= pathTTL {
			delete(p.down, incarnation)
		}
	}
}

// count returns the number of servers whose path is down.
func (p *paths) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.down)
}
