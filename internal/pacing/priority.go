package pacing

import (
	"sync"
	"time"
)

// yieldDuration is how long after a refusal less urgent requests have to yield to requests that
// are as urgent as the refused one.
const yieldDuration = time.Second

// priorityLevels is the number of priorities; 0 is the most urgent.
const priorityLevels = 10

// PriorityGate reserves the capacity of a service whose servers are all paced for its more
// urgent requests. Without it the callers that retry most often would take the capacity. It is
// safe for concurrent use.
type PriorityGate struct {
	Now func() time.Time

	mu          sync.Mutex
	lastRefused map[string]*[priorityLevels]time.Time // by service and priority
}

// RecordRefusal records that a request was refused because no server had capacity.
func (g *PriorityGate) RecordRefusal(service string, priority int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.lastRefused == nil {
		g.lastRefused = make(map[string]*[priorityLevels]time.Time)
	}
	if g.lastRefused[service] == nil {
		g.lastRefused[service] = &[priorityLevels]time.Time{}
	}
	g.lastRefused[service][priorityLevel(priority)] = g.Now()
}

// ShouldYield reports whether a request must leave the capacity to more urgent requests, because
// one of them was refused within the last yieldDuration.
func (g *PriorityGate) ShouldYield(service string, priority int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	lastRefused := g.lastRefused[service]
	if lastRefused == nil {
		return false
	}
	now := g.Now()
	for _, at := range lastRefused[:priorityLevel(priority)] {
		if !at.IsZero() && now.Sub(at) < yieldDuration {
			return true
		}
	}
	return false
}

func priorityLevel(priority int) int {
	return min(max(priority, 0), priorityLevels-1)
}
