package admission

import (
	"math"
	"slices"
	"time"
)

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
