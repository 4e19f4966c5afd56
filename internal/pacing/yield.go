package pacing

import (
	"sync"
	"time"
)

// yieldFor is how long the few places of a service are kept for requests as urgent as one
// that was refused for want of a place.
const yieldFor = time.Second

// urgencies is how many ranks of urgency there are; 0 is first.
const urgencies = 10

// PriorityGate keeps the places of a service whose servers all bear few requests for its urgent
// requests: first come, first served would give them to whoever asks most often. It is safe
// for concurrent use.
type PriorityGate struct {
	// Now is the clock.
	Now func() time.Time

	mu      sync.Mutex
	refused map[string]*[urgencies]time.Time // by service: the last refusal of each rank
}

// RecordRefusal notes that a request found no place.
func (y *PriorityGate) RecordRefusal(service string, urgency int) {
	y.mu.Lock()
	defer y.mu.Unlock()
	if y.refused == nil {
		y.refused = make(map[string]*[urgencies]time.Time)
	}
	if y.refused[service] == nil {
		y.refused[service] = &[urgencies]time.Time{}
	}
	y.refused[service][rankOf(urgency)] = y.Now()
}

// ShouldYield says whether a request is to leave a place to more urgent ones.
func (y *PriorityGate) ShouldYield(service string, urgency int) bool {
	y.mu.Lock()
	defer y.mu.Unlock()
	refused := y.refused[service]
	if refused == nil {
		return false
	}
	now := y.Now()
	for _, at := range refused[:rankOf(urgency)] {
		if !at.IsZero() && now.Sub(at) < yieldFor {
			return true
		}
	}
	return false
}

func rankOf(urgency int) int {
	return min(max(urgency, 0), urgencies-1)
}
