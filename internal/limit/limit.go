// Package limit holds the rate and concurrency limits of client accounts at one
// router. It is pure: time is passed in. The limits of a contract are for the
// whole fleet; each router enforces the share it is given.
package limit

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"chicorytiller.example/chicorytiller/internal/contract"
	"chicorytiller.example/chicorytiller/internal/id"
)

// Verdict says why a request may not run now.
type Verdict int

// Verdicts.
const (
	Allowed Verdict = iota
	OverRate
	OverConcurrency
)

// Limits enforces this router's share of the limits of all client accounts.
type Limits struct {
	accounts map[id.ClientAccount]*account
}

type account struct {
	limiter *rate.Limiter
	running int
}

// New makes Limits with nothing running.
func New() *Limits {
	return &Limits{accounts: make(map[id.ClientAccount]*account)}
}

// Enter counts a request in, or says why not and when to come back.
// Share is this router's part of the contract's limits, in (0, 1].
func (l *Limits) Enter(now time.Time, c *contract.Contract, share float64) (Verdict, time.Duration) {
	a := l.account(c.Account)
	a.adjust(now, c, share)
	if c.Concurrency > 0 && a.running >= shareOf(c.Concurrency, share) {
		return OverConcurrency, concurrencyRetry
	}
	reservation := a.limiter.ReserveN(now, 1)
	if !reservation.OK() {
		return OverRate, time.Second
	}
	if wait := reservation.DelayFrom(now); wait > 0 {
		reservation.CancelAt(now)
		return OverRate, wait
	}
	a.running++
	return Allowed, 0
}

// concurrencyRetry is when to ask again after a refusal for concurrency: nobody
// knows when a running request ends.
const concurrencyRetry = 500 * time.Millisecond

// Leave counts a request out.
func (l *Limits) Leave(c id.ClientAccount) {
	a := l.account(c)
	a.running = max(0, a.running-1)
}

func (l *Limits) account(name id.ClientAccount) *account {
	a, found := l.accounts[name]
	if !found {
		a = &account{}
		l.accounts[name] = a
	}
	return a
}

// adjust brings the token bucket to the contract in force and the share.
func (a *account) adjust(now time.Time, c *contract.Contract, share float64) {
	perSecond := rate.Limit(c.RequestsPerSecond * share)
	burst := shareOf(max(c.Burst, 1), share)
	if c.RequestsPerSecond <= 0 {
		perSecond = rate.Inf
	}
	if a.limiter == nil {
		a.limiter = rate.NewLimiter(perSecond, burst)
		return
	}
	if a.limiter.Limit() != perSecond {
		a.limiter.SetLimitAt(now, perSecond)
	}
	if a.limiter.Burst() != burst {
		a.limiter.SetBurstAt(now, burst)
	}
}

// shareOf is at least one: a share that rounds to nothing would shut an account out.
func shareOf(limit int, share float64) int {
	return max(1, int(math.Ceil(float64(limit)*share)))
}
