package upstream

import (
	"sync"
	"time"
)

const (
	// probeInterval is the time between two attempts to connect to a server whose path is cut or that
	// nobody reached. They are made beside requests, not in their time.
	probeInterval = 500 * time.Millisecond
	// pathTTL is how long the state of a path is kept without use.
	pathTTL = 30 * time.Second
)

// paths tracks the servers that this router can't connect to directly, by incarnation. It is safe for
// concurrent use.
type paths struct {
	now func() time.Time

	mu     sync.Mutex
	states map[string]*pathState
}

// pathState is what is known of the path to one server.
type pathState struct {
	// cut is set if the server answers other routers but not this one.
	cut      bool
	cutSince time.Time
	// unreachable is set if nobody who tried could connect.
	unreachable bool
	lastProbe   time.Time
	lastUse     time.Time
}

func newPaths(now func() time.Time) *paths {
	return &paths{now: now, states: make(map[string]*pathState)}
}

// lookup reports whether the path to a server is cut, and whether nothing reaches it.
func (p *paths) lookup(incarnation string) (cut, unreachable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.states[incarnation]
	if s == nil {
		return false, false
	}
	s.lastUse = p.now()
	return s.cut, s.unreachable
}

// state returns the state of a path, which is new if there was none. p.mu must be held.
func (p *paths) state(incarnation string) *pathState {
	s := p.states[incarnation]
	if s == nil {
		s = &pathState{}
		p.states[incarnation] = s
	}
	s.lastUse = p.now()
	return s
}

// markCut records that a server answers other routers but not this one. It reports whether that is
// new.
func (p *paths) markCut(incarnation string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(incarnation)
	s.unreachable = false
	if s.cut {
		return false
	}
	now := p.now()
	s.cut, s.cutSince, s.lastProbe = true, now, now
	return true
}

// markUnreachable records that nobody could connect to a server.
func (p *paths) markUnreachable(incarnation string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state(incarnation).unreachable = true
}

// markConnected records that a server answered this router. It returns for how long the path was cut,
// and false if it was not.
func (p *paths) markConnected(incarnation string) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.states[incarnation]
	if s == nil {
		return 0, false
	}
	delete(p.states, incarnation)
	return p.now().Sub(s.cutSince), s.cut
}

// startProbe reports whether an attempt beside requests is due, and counts it as made.
func (p *paths) startProbe(incarnation string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.states[incarnation]
	if s == nil || p.now().Sub(s.lastProbe) < probeInterval {
		return false
	}
	s.lastProbe = p.now()
	return true
}

// expire forgets the paths that were not used for pathTTL.
func (p *paths) expire() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	for incarnation, s := range p.states {
		if now.Sub(s.lastUse) >= pathTTL {
			delete(p.states, incarnation)
		}
	}
}

// countCut returns the number of servers whose path is cut.
func (p *paths) countCut() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	count := 0
	for _, s := range p.states {
		if s.cut {
			count++
		}
	}
	return count
}
