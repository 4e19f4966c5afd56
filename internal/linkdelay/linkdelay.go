// Package linkdelay estimates how long this VM's own link delays what is sent over it and what
// comes back. On a small link that callers fill, each exchange with another VM takes hundreds of
// milliseconds. Timeouts that suit an idle link would then end every exchange before its answer
// arrives, so that the router serves nothing while its callers send their requests again.
package linkdelay

import (
	"sync"
	"time"
)

// window is how long an observation counts, at least; at most twice as long. It is short, since a
// burst of requests fills a small link within a few hundred milliseconds.
const window = 250 * time.Millisecond

// fullDelay is the delay from which a link counts as full. It is far above a round trip between
// failure domains.
const fullDelay = 150 * time.Millisecond

// Estimator estimates the delay of the link as the shortest of all recent exchanges: a slow peer
// delays its own exchanges, a full link delays all of them. It is safe for concurrent use.
type Estimator struct {
	now func() time.Time

	mu          sync.Mutex
	windowStart time.Time
	current     sample // shortest exchange of the present window
	previous    sample // shortest exchange of the window before
	lastFull    time.Time
	lastSlow    time.Time
}

// sample is the shortest exchange of a window.
type sample struct {
	shortest time.Duration
	any      bool
}

func (s *sample) add(d time.Duration) {
	if !s.any || d < s.shortest {
		s.shortest, s.any = d, true
	}
}

// New returns an estimator without observations. A nil now means time.Now.
func New(now func() time.Time) *Estimator {
	if now == nil {
		now = time.Now
	}
	return &Estimator{now: now}
}

// Observe records how long an exchange took that waits for nothing but the link.
func (e *Estimator) Observe(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.add(d) {
		e.lastSlow = e.now()
	}
}

// ObserveTimeout records after which time such an exchange was given up. The other VM may be gone, or
// the path to it cut.
func (e *Estimator) ObserveTimeout(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.add(d)
}

// add adds an observation and reports whether the link counts as full. The caller holds e.mu.
func (e *Estimator) add(d time.Duration) bool {
	e.rotate()
	e.current.add(d)
	full := e.delay() >= fullDelay
	if full {
		e.lastFull = e.now()
	}
	return full
}

// Delay returns the estimated time for a round trip over the link, and 0 without recent
// observations.
func (e *Estimator) Delay() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rotate()
	return e.delay()
}

// delay is Delay for callers that hold e.mu.
func (e *Estimator) delay() time.Duration {
	shortest := e.previous
	if e.current.any {
		shortest.add(e.current.shortest)
	}
	return shortest.shortest
}

// WasFull reports whether the link has been full at any time since the given one.
func (e *Estimator) WasFull(since time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lastFull.After(since)
}

// WasSlow is like WasFull, but exchanges that were given up don't count: they may have failed for
// another reason than the link.
func (e *Estimator) WasSlow(since time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lastSlow.After(since)
}

// rotate begins a new window if the present one has ended. The caller holds e.mu.
func (e *Estimator) rotate() {
	now := e.now()
	switch passed := now.Sub(e.windowStart); {
	case passed >= 2*window:
		e.previous, e.current, e.windowStart = sample{}, sample{}, now
	case passed >= window:
		e.previous, e.current, e.windowStart = e.current, sample{}, now
	}
}

// timeoutFactor is how many times the delay an exchange may take: the delay grows while it is
// under way.
const timeoutFactor = 2

// Timeout returns a timeout for an exchange: usual while the link is idle, and longer if its delay
// demands it, up to longest.
func (e *Estimator) Timeout(usual, longest time.Duration) time.Duration {
	return min(max(usual, timeoutFactor*e.Delay()), longest)
}
