// Package limit holds the rate and concurrency limits of client accounts at one
// router. The limits of a contract are for the whole fleet; each router enforces a
// share that follows where the account's requests arrive, learned from what
// routers tell each other with their heartbeats and never asked for by a request.
// It is pure: time is passed in. docs/design/04-limits.md gives the reasons.
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
	peers    map[id.VM]*peer
	round    Round
	roundAt  time.Time
}

// account is what is known of one client account here.
type account struct {
	demand
	limiter *rate.Limiter
	running int
	plan    plan
}

// New makes Limits with nothing running.
func New() *Limits {
	return &Limits{accounts: make(map[id.ClientAccount]*account), peers: make(map[id.VM]*peer), round: 1}
}

// Enter counts a request in, or says why not and when to come back. Equal is the
// part of each router if all had the same, in (0, 1].
func (l *Limits) Enter(now time.Time, c *contract.Contract, equal float64) (Verdict, time.Duration) {
	a := l.account(c.Account)
	a.offer(now, c)
	if a.plan.round != l.round || a.plan.equal != equal {
		a.plan = l.planFor(a, c, equal)
	}
	a.adjust(now, c)
	if c.Concurrency > 0 && a.running >= a.plan.concurrency {
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
		a = &account{demand: demand{hash: hashAccount(name)}}
		l.accounts[name] = a
	}
	return a
}

// adjust brings the token bucket to the contract in force and the share.
func (a *account) adjust(now time.Time, c *contract.Contract) {
	perSecond := rate.Limit(c.RequestsPerSecond * a.plan.share)
	burst := shareOf(max(c.Burst, 1), a.plan.share)
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
