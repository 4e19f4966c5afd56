// Package limit holds client accounts to the request rate and the concurrency of
// their contracts. Each router enforces its share by itself: limits are approximate
// over the fleet, and exact while one router serves an account.
package limit

import (
	"sync"
	"time"
)

// Limits of one account over the whole fleet.
type Limits struct {
	PerSecond float64
	Burst     int // requests that may come at once beyond the rate
	InFlight  int // requests in flight
}

// headroom is how many times its equal share a router admits: callers stay with few
// routers, so that equal shares would refuse accounts far below their limits.
const headroom = 2

// Limiter admits requests at one router. It is safe for concurrent use.
type Limiter struct {
	routers func() int
	now     func() time.Time

	mu       sync.Mutex
	accounts map[string]*account
}

// account is the use of one account at this router.
type account struct {
	tokens     float64 // requests that may begin at once
	lastRefill time.Time
	inFlight   int
}

// New makes a limiter. routers tells how many routers share the limits; a nil now
// means time.Now.
func New(routers func() int, now func() time.Time) *Limiter {
	if now == nil {
		now = time.Now
	}
	return &Limiter{routers: routers, now: now, accounts: make(map[string]*account)}
}

// Admit takes one request of an account, or says after which time another try makes
// sense. done must be called when an admitted request has ended.
func (l *Limiter) Admit(name string, limits Limits) (release func(), wait time.Duration, ok bool) {
	share := min(1, headroom/float64(max(1, l.routers())))
	rate := limits.PerSecond * share
	burst := max(1, float64(limits.Burst)*share)
	maxInFlight := max(1, int(float64(limits.InFlight)*share))
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

// account brings an account's tokens up to now.
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
