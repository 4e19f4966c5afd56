package pacing

import (
	"sync"
	"time"
)

// yieldDuration is how long the few places of a service are kept for requests as urgent as one
// that was refused for want of a place.
const yieldDuration = time.Second

// urgencyLevels is how many ranks of urgency there are; 0 is first.
const urgencyLevels = 10

// PriorityGate keeps the places of a service whose servers all bear few requests for its urgent
// requests: first come, first served would give them to whoever asks most often. It is safe
// for concurrent use.
type PriorityGate struct {
	// Now is the clock.
	Now func() time.Time

	mu          sync.Mutex
	lastRefused map[string]*[urgencyLevels]time.Time // by service: the last refusal of each rank
}

// RecordRefusal notes that a request found no place.
func (g *PriorityGate) RecordRefusal(service string, urgency int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.lastRefused == nil {
		g.lastRefused = make(map[string]*[urgencyLevels]time.Time)
	}
	if g.lastRefused[service] == nil {
		g.lastRefused[service] = &[urgencyLevels]time.Time{}
	}
	g.lastRefused[service][urgencyLevel(urgency)] = g.Now()
}

// ShouldYield says whether a request is to leave a place to more urgent ones.
func (g *PriorityGate) ShouldYield(service string, urgency int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	lastRefused := g.lastRefused[service]
	if lastRefused == nil {
		return false
	}
	now := g.Now()
	for _, at := range lastRefused[:urgencyLevel(urgency)] {
		if !at.IsZero() && now.Sub(at) < yieldDuration {
			return true
		}
	}
	return false
}

func urgencyLevel(urgency int) int {
	return min(max(urgency, 0), urgencyLevels-1)
}
