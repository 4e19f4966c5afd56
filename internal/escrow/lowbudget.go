package escrow

import (
	"log/slog"
	"math"
	"time"

	"chicorytiller.example/chicorytiller/internal/event"
)

// When a budget is nearly used up, requests of all sizes compete for its rest. Served in the
// order of arrival, the rest goes to a few large requests within a second, and a crash in that
// second strands most of it. So a low budget is rationed: more urgent requests before less urgent
// ones, and small requests before large ones of the same priority, so that more callers are
// answered. The rest then lasts longer and is used more slowly, so a router needs only a small
// part of it below its ceiling.

const (
	// lowBudgetShare is the fraction of a budget below which the rest is rationed.
	lowBudgetShare = 0.03
	// observedBudgetShare is the fraction of a budget below which demand is observed, so that it
	// is known when rationing starts. Rationing ends above it, not above lowBudgetShare: the rest
	// goes up and down with each reservation.
	observedBudgetShare = 2 * lowBudgetShare
	// lowBudgetHorizon is the time for which tokens are kept for smaller requests.
	lowBudgetHorizon = 5 * time.Second
	// lowCeilingShare is the most of the rest of a low budget that a ceiling allows above what is
	// used.
	lowCeilingShare = 0.1
	// gatherableShare is the fraction of a budget that another router must hold, according to
	// the record, for the budget not to be low. The tokens can be gathered; less than that may
	// only be spending that it has not reported yet.
	gatherableShare = 0.05
	// demandTimeConstant is the time constant of the moving average of the demand.
	demandTimeConstant = 5 * time.Second
	// minDemandPeriod is the shortest time over which demand is averaged.
	minDemandPeriod = 100 * time.Millisecond
	// unknownDemandPeriod is how long a holder that has just started, or has just become the holder,
	// knows too little of the demand. A request may have at most unknownDemandShare of the rest
	// then, or the first few large ones would take all of it.
	unknownDemandPeriod = 500 * time.Millisecond
	unknownDemandShare  = 0.05
	// sizeClassesPerOctave is the resolution of the sizes of requests: classes are 19% apart.
	sizeClassesPerOctave = 4
	// sizeClasses covers requests of up to about a million tokens; larger ones count as the last
	// class.
	sizeClasses = 20 * sizeClassesPerOctave
)

// sizeClass returns the class of requests of a size.
func sizeClass(tokens int64) int {
	if tokens <= 1 {
		return 0
	}
	return min(int(sizeClassesPerOctave*math.Log2(float64(tokens))), sizeClasses-1)
}

// demand is a moving sum of the tokens that were asked for, by size class of the requests.
type demand [sizeClasses]float64

// below returns the tokens asked for by requests of smaller classes than the given one.
func (d *demand) below(class int) float64 {
	sum := 0.0
	for _, tokens := range d[:class] {
		sum += tokens
	}
	return sum
}

// total returns the tokens asked for by all requests.
func (d *demand) total() float64 {
	return d.below(sizeClasses)
}

// lowBudget rations a budget that is nearly used up, as one holder sees the demand for it.
type lowBudget struct {
	rationed      bool
	demands       map[int]*demand // by priority
	startedAt     time.Duration   // of the observation, on the steady clock
	lastDecayedAt time.Duration
}

func newLowBudget(now time.Duration) *lowBudget {
	return &lowBudget{demands: make(map[int]*demand), startedAt: now, lastDecayedAt: now}
}

// observe counts a request for tokens.
func (l *lowBudget) observe(priority int, tokens int64, now time.Duration) {
	l.decay(now)
	d := l.demands[priority]
	if d == nil {
		d = &demand{}
		l.demands[priority] = d
	}
	d[sizeClass(tokens)] += float64(tokens)
}

func (l *lowBudget) decay(now time.Duration) {
	factor := math.Exp(-(now - l.lastDecayedAt).Seconds() / demandTimeConstant.Seconds())
	l.lastDecayedAt = now
	for _, d := range l.demands {
		for class := range d {
			d[class] *= factor
		}
	}
}

// admits reports whether a request that was observed may have its tokens out of the rest: if the
// rest also covers what is kept for more urgent requests, in proportion to their demand, and what
// smaller requests of the same priority need within lowBudgetHorizon.
func (l *lowBudget) admits(priority int, tokens, size, rest int64, now time.Duration) bool {
	total, urgent := 0.0, 0.0
	for p, d := range l.demands {
		total += d.total()
		if p < priority {
			urgent += d.total()
		}
	}
	kept := 0.0
	if urgent > 0 {
		kept = float64(rest) * urgent / total
	}
	smaller := l.demands[priority].below(sizeClass(size)) / l.averagingPeriod(now).Seconds()
	kept += smaller * lowBudgetHorizon.Seconds()
	if now-l.startedAt < unknownDemandPeriod && float64(tokens) > unknownDemandShare*float64(rest) {
		return false
	}
	return float64(tokens)+kept <= float64(rest)
}

// averagingPeriod returns the time by which the moving sums are divided to get tokens per second.
func (l *lowBudget) averagingPeriod(now time.Duration) time.Duration {
	observed := max(now-l.startedAt, minDemandPeriod)
	weight := 1 - math.Exp(-observed.Seconds()/demandTimeConstant.Seconds())
	return time.Duration(weight * float64(demandTimeConstant))
}

// admission is what the rationing of a low budget says of a request.
type admission int

const (
	admitted admission = iota
	rationedOut
	// tooLarge: the rest doesn't cover the request. It is refused for a better reason than rationing,
	// and must get no tokens meanwhile: with those that come back from other routers it would take
	// all of the rest.
	tooLarge
)

// admit tells whether a request may have its tokens as far as the rationing of a low budget is
// concerned. It is asked of the router that gives out the tokens.
func (m *GrantManager) admit(account string, tokens, size int64, priority int) admission {
	prepaid, known := m.opts.Budgets()[account]
	m.mu.Lock()
	defer m.mu.Unlock()
	g := m.grant(account)
	if !known || !g.recordKnown {
		return admitted
	}
	m.updateLowBudget(g, prepaid)
	if g.low == nil {
		return admitted
	}
	return g.low.decide(g.remaining(prepaid), tokens, size, priority, m.opts.Clock().Steady)
}

// decide observes a request and tells whether it may have its tokens out of the rest.
func (l *lowBudget) decide(rest, tokens, size int64, priority int, now time.Duration) admission {
	l.observe(priority, size, now)
	switch {
	case !l.rationed:
		return admitted
	case tokens > rest:
		return tooLarge
	case !l.admits(priority, tokens, size, rest, now):
		return rationedOut
	}
	return admitted
}

// updateLowBudget starts or ends the rationing of a budget at a holder; other routers see neither
// the demand nor the rest. The caller holds m.mu.
func (m *GrantManager) updateLowBudget(g *grant, prepaid int64) {
	observed, rationed := m.rationing(g, prepaid)
	if !observed {
		if g.low != nil && m.role(g) != borrower {
			m.setRationed(g, prepaid, false)
		}
		g.low = nil
		return
	}
	if g.low == nil {
		g.low = newLowBudget(m.opts.Clock().Steady)
	}
	m.setRationed(g, prepaid, rationed)
}

// rationing returns whether the demand for the budget has to be observed and whether its rest has to be rationed
// now. The caller holds m.mu.
func (m *GrantManager) rationing(g *grant, prepaid int64) (observed, rationed bool) {
	rest := float64(g.remaining(prepaid))
	if m.role(g) == borrower || rest >= observedBudgetShare*float64(prepaid) {
		return false, false
	}
	isLow := g.isRationed() || rest < lowBudgetShare*float64(prepaid)
	return true, isLow && !m.isGatherable(g, prepaid)
}

// setRationed sets whether the budget is rationed and logs changes. The caller holds m.mu.
func (m *GrantManager) setRationed(g *grant, prepaid int64, rationed bool) {
	if g.low.rationed == rationed {
		return
	}
	g.low.rationed = rationed
	m.opts.Log.Emit(event.RationingChanged, slog.String(event.KeyBudget, g.account), slog.Bool("rationed", rationed),
		slog.Int64("prepaid", prepaid), slog.Int64("left", g.remaining(prepaid)), g.revision.Attr())
}

// isGatherable reports whether another router holds so much of the budget that the rest at this
// router says little about what is left. The caller holds m.mu.
func (m *GrantManager) isGatherable(g *grant, prepaid int64) bool {
	for vm := range g.record.Entries {
		unspent := g.record.GrantedTo(vm) - m.spentByVM(g, vm)
		if vm != m.opts.VM && float64(unspent) >= gatherableShare*float64(prepaid) {
			return true
		}
	}
	return false
}

// lowCeilingHeadroom returns how far a ceiling may be above what is used, so that a crash strands
// little of what is rationed or will be next.
func (g *grant) lowCeilingHeadroom(prepaid int64) int64 {
	rest := float64(g.remaining(prepaid))
	rationed := lowBudgetShare * float64(prepaid)
	if g.isRationed() {
		rationed = rest
	}
	if rest < rationed {
		return math.MaxInt64 // other routers hold tokens that can be gathered
	}
	return int64(rest - rationed + lowCeilingShare*rationed)
}

// isRationed reports whether the budget is low and its rest is rationed.
func (g *grant) isRationed() bool {
	return g.low != nil && g.low.rationed
}
