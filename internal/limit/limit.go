// Package limit enforces the request rate and concurrency limits of client accounts. Each
// router enforces its share on its own, so over the fleet the limits are approximate; they are
// exact with a single router.
package limit

import (
	"sync"
	"time"
)

// Limits are the limits of one account over the whole fleet.
type Limits struct {
	PerSecond   float64 // requests per second
	Burst       int     // requests that may arrive at once
	Concurrency int     // requests in flight at once
}

// headroom is how many times an equal share of the limits a router admits. Callers tend to
// stay with a few routers, so equal shares would refuse accounts far below their limits.
const headroom = 2

// Limiter admits requests at one router. It is safe for concurrent use.
type Limiter struct {
	routers func() int
	now     func() time.Time

	mu       sync.Mutex
	accounts map[string]*account
}

// account is the usage of one account at this router.
type account struct {
	tokens     float64 // requests that may start now
	lastRefill time.Time
	inFlight   int
}

// New returns a limiter. routers returns how many routers share the limits; a nil now means
// time.Now.
func New(routers func() int, now func() time.Time) *Limiter {
	if now == nil {
		now = time.Now
	}
	return &Limiter{routers: routers, now: now, accounts: make(map[string]*account)}
}

// Admit admits one request of an account, or returns the time after which to try again.
// release must be called when an admitted request has ended.
func (l *Limiter) Admit(name string, limits Limits) (release func(), wait time.Duration, ok bool) {
	share := min(1, headroom/float64(max(1, l.routers())))
	rate := limits.PerSecond * share
	burst := max(1, float64(limits.Burst)*share)
	maxInFlight := max(1, int(float64(limits.Concurrency)*share))
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(name, rate, burst)
	if a.inFlight >= maxInFlight {
		return nil, time.Second, false
	}
	if a.tokens < 1 {
		return nil, time.Duration((1 - a.tokens) / rate * float64(time.Second)), false
	}
	a.tokens--
	a.inFlight++
	return func() { l.release(a) }, 0, true
}

// account returns an account with its tokens refilled up to now. l.mu must be held.
func (l *Limiter) account(name string, rate, burst float64) *account {
	now := l.now()
	a := l.accounts[name]
	if a == nil {
		a = &account{tokens: burst, lastRefill: now}
		l.accounts[name] = a
	}
	a.tokens = min(burst, a.tokens+rate*now.Sub(a.lastRefill).Seconds())
	a.lastRefill = now
	return a
}

func (l *Limiter) release(a *account) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a.inFlight--
}
