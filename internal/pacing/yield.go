package pacing

import (
	"sync"
	"time"
)

// yieldDuration is how long after a refusal less urgent requests have to yield to requests that
// are as urgent as the refused one.
const yieldDuration = time.Second

// urgencyLevels is the number of urgency levels; 0 is the most urgent.
const urgencyLevels = 10

// PriorityGate reserves the capacity of a service whose servers are all paced for its more
// urgent requests. Without it the callers that retry most often would take the capacity. It is
// safe for concurrent use.
type PriorityGate struct {
	Now func() time.Time

	mu          sync.Mutex
	lastRefused map[string]*[urgencyLevels]time.Time // by service and urgency level
}

// RecordRefusal records that a request was refused because no server had capacity.
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

// ShouldYield reports whether a request must leave the capacity to more urgent ones, of which
// one was refused within yieldDuration.
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
