package admission

import (
	"math"
	"slices"
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

// demand returns the demand of all classes, and what of it exceeds their shares, weighted by urgency. A router
// that turns away more, or more urgent, requests than others grows its limit faster and shrinks it less. The
// limits therefore approach a division at which no router admits less urgent requests while another one turns
// away urgent ones, but a router with none but the least urgent still gets a part.
func (g *Gate) demand() (total, unmet float64) {
	const perLevel, least = 0.4, 0.2
	weight := func(c class) float64 { return max(least, math.Pow(perLevel, float64(c.level))) }
	small := 0.0
	for i, d := range g.demands { // in order of their pools
		total += d.amount
		if d.small {
			small += d.amount
		} else {
			unmet += max(0, d.amount-g.share(d.class)) * weight(d.class)
		}
		if pool := d.class.pooled(); i == len(g.demands)-1 || g.demands[i+1].class.pooled() != pool {
			unmet += max(0, small-g.share(pool)) * weight(pool)
			small = 0
		}
	}
	return total, unmet
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

// waitsInClass reports whether a request of the same class waits that comes before w.
func (g *Gate) waitsInClass(w *Waiter) bool {
	for _, other := range g.waiting {
		if compare(other, w) > 0 {
			return false
		}
		if other.class == w.class {
			return true
		}
	}
	return false
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

// classify sets the request's class and weight and creates the class if there is none.
func (g *Gate) classify(w *Waiter, now time.Time) {
	w.level = g.order(w.Request)
	w.weight = g.durations.expected(w.Request)
	mean := &g.works[w.level]
	// Both durations are present estimates, so that requests of the same route and work never differ in class.
	long := mean.samples >= minSamples && w.weight > longFactor*g.durations.seconds(mean.mean)
	w.class = class{level: w.level, long: long, account: w.Request.Account}
	mean.samples++
	mean.mean += max(meanWeight, 1/float64(mean.samples)) * (w.Request.Work - mean.mean)
	if g.classes[w.class] == nil && len(g.classes) >= maxClasses {
		w.class.account = "" // accounts beyond the bound share one class
	}
	if g.classes[w.class] == nil {
		g.classes[w.class] = &usage{small: true}
		if !g.sharesAt.IsZero() {
			g.shares[w.class] = g.provisionalShare(w.class.level)
		}
	}
}

// usages returns what is counted for a class: its own use and, if its account is small, that of all small ones.
func (g *Gate) usages(c class) []*usage {
	own := g.classes[c]
	if own == nil {
		return nil
	}
	if !own.small {
		return []*usage{own}
	}
	pool := c.pooled()
	if g.classes[pool] == nil {
		g.classes[pool] = &usage{}
	}
	return []*usage{own, g.classes[pool]}
}

// binding returns the class whose share limits the requests of a class the most: itself, or all small accounts.
func (g *Gate) binding(c class, weight float64, now time.Time) class {
	own, pool := g.classes[c], c.pooled()
	if own == nil || !own.small || g.share(pool) == unlimited {
		return c
	}
	used := func(c class) float64 { return g.admitted(c, now) / threshold(g.share(c), weight) }
	if g.share(c) < unlimited && used(c) > used(pool) {
		return c
	}
	return pool
}

// provisionalShare returns the share of a new class until shares are computed again. Computing them for each new
// class would cost time in proportion to the square of the number of accounts.
func (g *Gate) provisionalShare(level int) float64 {
	switch smallest := g.smallest[level]; {
	case smallest >= 0:
		return smallest
	case level < g.top:
		return unlimited // it is the most urgent one
	}
	return leastUrgentShare * g.limiter.limit
}

// refreshShares computes the shares if they are older than sharesInterval.
func (g *Gate) refreshShares(now time.Time) {
	if now.Sub(g.sharesAt) >= sharesInterval {
		g.computeShares(now)
	}
}

// computeShares divides the limit between the classes that have demand.
func (g *Gate) computeShares(now time.Time) {
	g.demands = g.demands[:0]
	g.top = maxLevel
	correction := g.correction(now)
	for c, u := range g.classes {
		if c.pool {
			continue
		}
		amount := u.demand.value(now) * correction
		if amount < leastDemand {
			delete(g.classes, c)
			continue
		}
		g.top = min(g.top, c.level)
		mean := g.durations.seconds(g.works[c.level].mean)
		u.small = amount < smallRequests*mean
		g.demands = append(g.demands, demand{c, amount, math.Sqrt(amount * mean), u.small})
	}
	slices.SortFunc(g.demands, func(a, b demand) int { return a.class.compare(b.class) })
	g.shares, g.sharesAt = divide(g.demands, g.limiter.limit), now
	for level := range g.smallest {
		g.smallest[level] = -1
	}
	for c, share := range g.shares {
		if smallest := &g.smallest[c.level]; !c.pool && (*smallest < 0 || share < *smallest) {
			*smallest = share
		}
	}
}

// share returns a class's share of the capacity.
func (g *Gate) share(c class) float64 {
	if share, found := g.shares[c]; found {
		return share
	}
	return unlimited // its demand is negligible
}

func (g *Gate) admitted(c class, now time.Time) float64 {
	if u := g.classes[c]; u != nil {
		return u.admitted.value(now) * g.correction(now)
	}
	return 0
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

// correction is what averages that began with the limit have to be multiplied by, since they have not yet
// seen a whole window. Without it all requests would pass in the first second.
func (g *Gate) correction(now time.Time) float64 {
	const least = 0.2 // of a window: fewer requests tell too little
	age := max(least, now.Sub(g.limitedAt).Seconds()/window.Seconds())
	return 1 / (1 - math.Exp(-age))
}

// threshold returns the use below which a class may have another request of the weight admitted, so that its
// average use is its share: use jumps by the weight and decays to the threshold within
// window*ln(1+weight/threshold), in which share*window must have been admitted.
func threshold(share, weight float64) float64 {
	if share <= 0 {
		return leastThreshold
	}
	return max(leastThreshold, weight/math.Expm1(weight/share))
}

// expectedWait returns the time after which the obstacle is expected to be gone for the request.
func (g *Gate) expectedWait(w *Waiter, cause Cause, now time.Time) time.Duration {
	ahead, sameClass := 0, 0.0
	bound := g.binding(w.class, w.weight, now)
	for _, other := range g.waiting {
		if compare(other, w) > 0 {
			break
		}
		ahead++
		if other.class == w.class || bound.pool && other.class.pooled() == bound {
			sameClass += other.weight
		}
	}
	seconds := g.durations.seconds(0) / max(g.limiter.limit, minLimit) * float64(ahead)
	if cause == OverShare {
		used := g.admitted(bound, now) + sameClass
		seconds = max(seconds, window.Seconds()*math.Log(max(1, used/max(threshold(g.share(bound), w.weight), minLimit/100))))
	}
	return time.Duration(seconds * float64(time.Second))
}

// compare orders waiting requests: by level, then by deadline, then by work.
func compare(a, b *Waiter) int {
	if a.level != b.level {
		return a.level - b.level
	}
	if !a.Request.Deadline.Equal(b.Request.Deadline) {
		switch {
		case a.Request.Deadline.IsZero():
			return 1
		case b.Request.Deadline.IsZero():
			return -1
		}
		return a.Request.Deadline.Compare(b.Request.Deadline)
	}
	switch {
	case a.weight < b.weight:
		return -1
	case a.weight > b.weight:
		return 1
	}
	return 0
}

// enqueue lets a request wait. If the queue is too long, the wait of the last one in order ends.
func (g *Gate) enqueue(w *Waiter, now time.Time) {
	at, _ := slices.BinarySearchFunc(g.waiting, w, func(a, b *Waiter) int {
		if compare(a, b) <= 0 {
			return -1 // behind those that came before it
		}
		return 1
	})
	g.waiting = slices.Insert(g.waiting, at, w)
	if len(g.waiting) > maxWaiting {
		g.waiting[maxWaiting].Until = now
	}
}

// Next settles waiting requests that can be admitted, or that have waited long enough, and returns
// them.
func (g *Gate) Next(now time.Time) []*Waiter {
	if len(g.waiting) == 0 {
		return nil
	}
	if g.limiter.limited {
		g.refreshShares(now)
	}
	var settled []*Waiter
	rest := g.waiting[:0]
	for _, w := range g.waiting {
		cause := Cause("")
		if g.limiter.limited {
			cause = g.obstacle(w, now)
		}
		switch {
		case g.late(w, now):
			g.refuse(w, Late, now)
		case cause == "":
			g.admit(w, now)
		case !now.Before(w.Until):
			g.refuse(w, cause, now)
		default:
			rest = append(rest, w)
			continue
		}
		settled = append(settled, w)
	}
	clear(g.waiting[len(rest):])
	g.waiting = rest
	return settled
}

// Withdraw removes a waiting request whose caller disconnected.
func (g *Gate) Withdraw(w *Waiter) {
	if i := slices.Index(g.waiting, w); i >= 0 {
		g.waiting = slices.Delete(g.waiting, i, i+1)
	}
	w.Settled, w.Refusal = true, &Refusal{Cause: Abandoned}
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
