// Package retry bounds how often requests are sent a second time.
package retry

import (
	"sync"
	"time"
)

// Limits of one service's repeats over all routers, in any window.
type Limits struct {
	Window time.Duration
	// Ratio is the repeats allowed for each request.
	Ratio float64
	// Extra is the repeats allowed beyond that, for all routers together.
	Extra float64
}

// safetyMargin keeps each router below its share, for repeats that arrive late, in a
// later window than the requests that allowed them.
const safetyMargin = 0.8

// Budget allows repeats out of this router's own requests, and its equal part of
// Extra. Since each router keeps to its share, their sum keeps to the whole
// without any talk between them. It is safe for concurrent use.
type Budget struct {
	now func() time.Time

	mu       sync.Mutex
	limits   Limits
	routers  int
	services map[string]*window
}

// window is the requests and repeats of one service within Limits.Window.
type window struct {
	requests []time.Time
	retries  []time.Time
}

// NewBudget makes a budget shared with routers-1 others. A nil now means time.Now.
func NewBudget(limits Limits, routers int, now func() time.Time) *Budget {
	if now == nil {
		now = time.Now
	}
	return &Budget{now: now, limits: limits, routers: max(1, routers), services: make(map[string]*window)}
}

// Set replaces the limits and the number of routers that share them.
func (b *Budget) Set(limits Limits, routers int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits, b.routers = limits, max(1, routers)
}

// Request counts a caller's request for a service.
func (b *Budget) Request(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	w.requests = append(w.requests, b.now())
}

// TryAcquire asks for one repeat. It is counted if it is allowed.
func (b *Budget) TryAcquire(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	allowed := safetyMargin * (b.limits.Ratio*float64(len(w.requests)) + b.limits.Extra/float64(b.routers))
	if float64(len(w.retries)+1) > allowed {
		return false
	}
	w.retries = append(w.retries, b.now())
	return true
}

// window returns a service's window without what has left it.
func (b *Budget) window(service string) *window {
	w := b.services[service]
	if w == nil {
		w = &window{}
		b.services[service] = w
	}
	start := b.now().Add(-b.limits.Window)
	w.requests = dropBefore(w.requests, start)
	w.retries = dropBefore(w.retries, start)
	return w
}

func dropBefore(times []time.Time, start time.Time) []time.Time {
	i := 0
	for i < len(times) && times[i].Before(start) {
		i++
	}
	return times[i:]
}
