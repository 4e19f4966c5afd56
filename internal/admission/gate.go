package admission

import (
	"time"
)

const (
	// longFactor times the duration of a request of the level's mean work is the duration from which on
	// a request counts as long.
	longFactor = 1.5
	// meanWeight is the weight of one more request in that mean.
	meanWeight = 0.05
	// burstFactor and burstExtra let classes that get all they ask for, and the most urgent one, exceed the
	// limit for a moment: a router's requests arrive in bursts, which the servers' queues even out over
	// all routers. Their average is bounded by their shares.
	burstFactor = 1.5
	burstExtra  = 2
	// sharesInterval is how often shares are computed while they are needed.
	sharesInterval = 50 * time.Millisecond
	// maxRest is how long Rest may replace Evaluate, which also forgets servers that are gone.
	maxRest = 5 * time.Second
	// leastDemand is the demand below which a class is forgotten.
	leastDemand = 1e-3
	// leastThreshold is the least use that still allows a request. Where a request takes far longer than its class's
	// share, the exact threshold is zero in floating point, which would refuse all requests of the class.
	leastThreshold = 1e-9
)

// Gate admits the requests of one service. It is not safe for concurrent use.
type Gate struct {
	order      Order
	limiter    limiter
	known      map[string]news // by incarnation of the server
	durations  durations
	inProgress int
	pressure   Pressure // as of the last Evaluate
	// rejected and answered count the responses of servers, with weight 1 each.
	rejected, answered average
	recent             sample
	// reported is the mean load per slot that responses tell, unqueued the time that a whole answer takes if it doesn't
	// wait for a slot, in seconds, and tightGoal the shortest goal of such answers; it rises slowly.
	reported, unqueued estimate
	tightGoal          float64

	evaluatedAt time.Time // when Evaluate was last called
	limitedAt   time.Time // when the limit began to apply
	// Demand, use and waiting requests; empty while the limit does not apply.
	classes  map[class]*usage
	demands  []demand // as of sharesAt, in order of their classes
	shares   map[class]float64
	sharesAt time.Time
	smallest [maxLevel + 1]float64  // the smallest share by level; negative if it has none
	top      int                    // the lowest level that has demand
	works    [maxLevel + 1]estimate // mean work of the requests that arrive, by level
	waiting  []*Waiter
	// unmet is set if a request was refused or waited since the last change of the limit.
	unmet bool
}

// usage is the demand of a class and what of it was admitted, in requests in progress.
type usage struct {
	demand, admitted average
	small            bool // see demand; so are new accounts
}

// Waiter is a request that asked to be admitted.
type Waiter struct {
	Request Request
	// Until is the end of its wait.
	Until time.Time

	class  class
	level  int
	weight float64 // its expected duration in seconds
	// Settled is set once the request is admitted or refused; Refusal is nil if it is admitted.
	Settled bool
	Refusal *Refusal
	// Waited is set if the request could not be admitted at once.
	Waited bool
	// admittedAt is when it was admitted; zero if it was not.
	admittedAt time.Time
	counted    []*usage // where it was counted as admitted
	// probe is set if the request seems to be late but is admitted to correct the estimate.
	probe bool
	// ready is closed when the request is settled after a wait; nil if nobody waits for it.
	ready chan struct{}
}

// NewGate returns a gate that does not limit requests yet.
func NewGate(order Order) *Gate {
	return &Gate{order: order, known: make(map[string]news), classes: make(map[class]*usage)}
}

// Limited reports whether the limit applies.
func (g *Gate) Limited() bool {
	return g.limiter.limited
}

// Short reports whether capacity is short: the limit applies, or the servers were all full at the last look at them.
func (g *Gate) Short(now time.Time) bool {
	return g.limiter.limited || !g.limiter.fullSince.IsZero() && now.Sub(g.limiter.updatedAt) < reportTTL
}

// Observe records what a response says about its server.
func (g *Gate) Observe(s Signal, now time.Time) {
	n := news{signal: s, at: now, rejectedAt: g.known[s.Incarnation].rejectedAt}
	if s.Rejected {
		n.rejectedAt = now
		g.rejected.add(1, now)
	}
	if l := s.Load; s.HasLoad && l.Slots > 0 {
		g.reported.add(min(float64(l.Running+l.Waiting)/float64(l.Slots), maxLoadPerSlot), now)
	}
	g.answered.add(1, now)
	g.known[s.Incarnation] = n
	g.recent.add(s)
}

// Due reports whether Evaluate should be called.
func (g *Gate) Due(now time.Time) bool {
	return g.limiter.due(g.durations.seconds(0), now)
}

// Evaluate changes the limit by what the eligible servers reported. It reports whether the limit
// began or ended to apply.
func (g *Gate) Evaluate(eligible []string, now time.Time) bool {
	g.evaluatedAt = now
	g.forget(eligible)
	g.pressure = measure(g.known, eligible, now)
	c := conditions{
		pressure:   g.pressure,
		recent:     g.recent,
		rejecting:  g.pressure.rejecting(g.rejected.value(now), g.answered.value(now)),
		inProgress: g.usualInProgress(now),
		unmet:      g.unmet,
	}
	if g.limiter.limited {
		g.computeShares(now) // the limit follows the present demand
	}
	g.limiter.slack = g.slack()
	c.demand, c.unmetDemand = g.demand()
	g.unmet = false
	switched, used := g.limiter.update(c, now)
	if used {
		g.recent = sample{}
	}
	if switched {
		clear(g.classes)
		g.demands, g.shares, g.sharesAt = nil, nil, time.Time{}
		g.limitedAt = now
	}
	return switched
}

// usualInProgress returns how many requests are in progress now, or were on average in the last second if that is
// more. Where requests are short or few, there is often none at the moment.
func (g *Gate) usualInProgress(now time.Time) float64 {
	served := max(0, g.answered.value(now)-g.rejected.value(now))
	return max(float64(g.inProgress), served*g.durations.seconds(0))
}

// Rest replaces Evaluate where the responses since the last one leave no doubt that capacity suffices. It
// saves looking at all servers, of which there may be thousands, and reports whether it was enough.
func (g *Gate) Rest(now time.Time) bool {
	calm := !g.limiter.limited && g.recent.rejected == 0 && g.recent.loadPerSlot() < g.limiter.queued()
	if !g.limiter.fullSince.IsZero() && (g.recent.reports == 0 || g.recent.signals < minSignals) {
		calm = false // too few responses to doubt that the servers are still full, as their latest reports say
	}
	if !calm || now.Sub(g.evaluatedAt) >= maxRest {
		return false
	}
	g.limiter.updatedAt, g.limiter.fullSince = now, time.Time{}
	g.recent = sample{}
	return true
}

// forget removes the news of servers that are no longer eligible.
func (g *Gate) forget(eligible []string) {
	if len(g.known) <= len(eligible) {
		return
	}
	keep := make(map[string]bool, len(eligible))
	for _, incarnation := range eligible {
		keep[incarnation] = true
	}
	for incarnation := range g.known {
		if !keep[incarnation] {
			delete(g.known, incarnation)
		}
	}
}

// Offer decides on a request. Next should be called before it, so that capacity that became free with time is left to
// those that wait. If the request is not settled, Next must be called, which may settle it or another one that it
// displaces, and again at the latest at the end of its wait.
func (g *Gate) Offer(r Request, now time.Time) *Waiter {
	w := &Waiter{Request: r}
	if !g.limiter.limited {
		g.admit(w, now)
		return w
	}
	g.classify(w, now)
	for _, u := range g.usages(w.class) {
		u.demand.add(w.weight, now)
	}
	g.refreshShares(now)
	if g.late(w, now) {
		g.refuse(w, Late, now)
		return w
	}
	cause := g.obstacle(w, now)
	if cause == "" && g.waitsInClass(w) {
		cause = OverShare
	}
	if cause == "" {
		g.admit(w, now)
		return w
	}
	g.unmet = true
	w.Until = now.Add(time.Duration(waitFraction * float64(r.Goal)))
	if latest := r.Arrived.Add(maxKept); !r.Arrived.IsZero() && latest.Before(w.Until) {
		w.Until = latest
	}
	if latest := r.Deadline.Add(-g.durations.recent(r, now)); !r.Deadline.IsZero() && latest.Before(w.Until) {
		w.Until = latest
	}
	if now.Add(g.expectedWait(w, cause, now)).After(w.Until) {
		g.refuse(w, cause, now)
		return w
	}
	w.Waited = true
	g.enqueue(w, now)
	return w
}

// late reports whether a request must be refused because it would not be answered before its deadline. One
// each probeInterval need not be, if its deadline has not passed yet.
func (g *Gate) late(w *Waiter, now time.Time) bool {
	w.probe = false
	deadline := w.Request.Deadline
	if deadline.IsZero() || !now.Add(g.durations.recent(w.Request, now)).After(deadline) {
		return false
	}
	w.probe = now.Before(deadline) && g.durations.of(w.Request).mayProbe(now)
	return !w.probe
}

// obstacle returns why a request can't be admitted now, or "" if it can.
func (g *Gate) obstacle(w *Waiter, now time.Time) Cause {
	bound := g.binding(w.class, w.weight, now)
	share := g.share(bound)
	if share < unlimited && g.admitted(bound, now) >= threshold(share, w.weight) {
		return OverShare
	}
	capacity := g.limiter.limit + 1
	if share == unlimited || w.level == g.top {
		capacity = burstFactor*g.limiter.limit + burstExtra
	}
	if float64(g.inProgress) >= capacity {
		return Full
	}
	return ""
}

func (g *Gate) admit(w *Waiter, now time.Time) {
	w.Settled, w.admittedAt = true, now
	g.inProgress++
	if w.probe {
		g.durations.of(w.Request).probedAt = now
	}
	if g.limiter.limited {
		w.counted = g.usages(w.class)
	}
	for _, u := range w.counted {
		u.admitted.add(w.weight, now)
	}
}

func (g *Gate) refuse(w *Waiter, cause Cause, now time.Time) {
	w.Settled = true
	w.Refusal = &Refusal{Cause: cause, RetryAfter: g.retryAfter(w, now)}
}

// retryAfter returns the time after which capacity for the request's class is expected: that in
// which its share serves what was asked for beyond it in the last window.
func (g *Gate) retryAfter(w *Waiter, now time.Time) time.Duration {
	seconds := g.durations.expected(w.Request)
	bound := g.binding(w.class, w.weight, now)
	share := g.share(bound)
	if u := g.classes[bound]; share < unlimited && u != nil {
		excess := u.demand.value(now)*g.correction(now) - share
		seconds = max(seconds, excess/max(share, minLimit/100)*window.Seconds())
	}
	return min(max(time.Duration(seconds*float64(time.Second)), minRetryAfter), maxRetryAfter)
}

// Done records the end of an admitted request.
func (g *Gate) Done(w *Waiter, o Outcome, now time.Time) {
	g.inProgress--
	if o.Served {
		g.durations.add(w.Request, o.Took, now)
		g.observeUnqueued(w.Request, o.Took, now)
	}
	for _, u := range w.counted {
		if o.Unsent {
			u.admitted.remove(w.weight, w.admittedAt, now)
		}
	}
}

// observeUnqueued updates what slack depends on.
func (g *Gate) observeUnqueued(r Request, took time.Duration, now time.Time) {
	if r.Goal == 0 || !r.Whole {
		return
	}
	g.unqueued.add(took.Seconds()/max(1, g.reported.mean), now)
	goal := r.Goal.Seconds()
	if g.tightGoal == 0 || goal < g.tightGoal {
		g.tightGoal = goal
	}
	g.tightGoal += sampleWeight * (goal - g.tightGoal)
}

// slack returns by which factor servers may queue more than their slots need. Where requests take a small part of their
// goal, one that waits for a slot is still answered in time, and refusing it would serve fewer callers.
func (g *Gate) slack() float64 {
	if g.unqueued.samples < minSamples {
		return 1
	}
	return min(maxSlack, goalPart*g.tightGoal/(targetLoad*max(g.unqueued.mean, 1e-4)))
}
