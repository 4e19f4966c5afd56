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
	s := l.share(limits)
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(name, s)
	if wait, ok := a.admits(s); !ok {
		return nil, wait, false
	}
	a.tokens--
	a.inFlight++
	return func() { l.release(a) }, 0, true
}

// Look returns what Admit would answer, and counts nothing.
func (l *Limiter) Look(name string, limits Limits) (wait time.Duration, ok bool) {
	s := l.share(limits)
	l.mu.Lock()
	defer l.mu.Unlock()
	a, now := account{tokens: s.burst}, l.now()
	if known := l.accounts[name]; known != nil {
		a = *known
		a.refill(s, now)
	}
	return a.admits(s)
}

// share is this router's part of an account's limits.
type share struct {
	rate, burst float64
	maxInFlight int
}

func (l *Limiter) share(limits Limits) share {
	part := min(1, headroom/float64(max(1, l.routers())))
	return share{rate: limits.PerSecond * part, burst: max(1, float64(limits.Burst)*part),
		maxInFlight: max(1, int(float64(limits.Concurrency)*part))}
}

// admits reports whether another request may start, and if not, after which time to try again.
func (a *account) admits(s share) (wait time.Duration, ok bool) {
	if a.inFlight >= s.maxInFlight {
		return time.Second, false
	}
	if a.tokens < 1 {
		return time.Duration((1 - a.tokens) / s.rate * float64(time.Second)), false
	}
	return 0, true
}

// account returns an account with its tokens refilled up to now. l.mu must be held.
func (l *Limiter) account(name string, s share) *account {
	now := l.now()
	a := l.accounts[name]
	if a == nil {
		a = &account{tokens: s.burst, lastRefill: now}
		l.accounts[name] = a
	}
	a.refill(s, now)
	return a
}

func (a *account) refill(s share, now time.Time) {
	a.tokens = min(s.burst, a.tokens+s.rate*now.Sub(a.lastRefill).Seconds())
	a.lastRefill = now
}

func (l *Limiter) release(a *account) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a.inFlight--
}
