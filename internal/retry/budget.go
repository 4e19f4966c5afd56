// Package retry limits retries.
package retry

import (
	"sync"
	"time"
)

// Limits bounds the retries of one service, over all routers and in any window.
type Limits struct {
	Window time.Duration
	// Ratio is the number of retries allowed per request.
	Ratio float64
	// Extra is the number of retries allowed in addition, for all routers together.
	Extra float64
}

// safetyMargin keeps each router below its share, because a retry may reach the server in a
// later window than the requests that allowed it.
const safetyMargin = 0.8

// Budget is a router's retry budget: a fraction of its own requests plus an equal share of
// Limits.Extra. Since each router stays within its share, the fleet stays within the limits
// without coordination. It is safe for concurrent use.
type Budget struct {
	now func() time.Time

	mu       sync.Mutex
	limits   Limits
	routers  int
	services map[string]*window
}

// window holds the times of one service's requests and retries within Limits.Window.
type window struct {
	requests []time.Time
	retries  []time.Time
}

// NewBudget returns a budget; routers is the number of routers that share the limits. A nil
// now means time.Now.
func NewBudget(limits Limits, routers int, now func() time.Time) *Budget {
	if now == nil {
		now = time.Now
	}
	return &Budget{now: now, limits: limits, routers: max(1, routers), services: make(map[string]*window)}
}

// SetLimits replaces the limits.
func (b *Budget) SetLimits(limits Limits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits = limits
}

// SetRouters replaces the number of routers that share the limits.
func (b *Budget) SetRouters(routers int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.routers = max(1, routers)
}

// RecordRequest counts a caller's request for a service.
func (b *Budget) RecordRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	w.requests = append(w.requests, b.now())
}

// TryAcquire reports whether a retry is allowed, and counts it if so.
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

// Release takes back the count of a retry that was not sent.
func (b *Budget) Release(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if w := b.window(service); len(w.retries) > 0 {
		w.retries = w.retries[:len(w.retries)-1]
	}
}

// window returns a service's window with expired times removed. b.mu must be held.
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
