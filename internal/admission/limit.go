package admission

import (
	"math"
	"time"
)

const (
	// minInterval and maxInterval bound the time between two changes of the limit. In between it is the time that a
	// request takes: only then do reports show the effect of the change before.
	minInterval = 50 * time.Millisecond
	maxInterval = time.Second
	// minSignals is the number of responses since the last change that justify another one. After maxInterval
	// one is enough.
	minSignals = 3
	// closeAfter is how long all servers must be full before the limit applies. A burst that servers' queues
	// take is shorter.
	closeAfter = 300 * time.Millisecond
	// openAfter is how long servers must have capacity to spare, and no request be refused, before the
	// limit no longer applies.
	openAfter = time.Second
	// idleLoad is the number of requests per slot below which servers have capacity to spare. Without this
	// condition a router that happens to have enough would stop limiting itself while others turn requests away.
	idleLoad = 0.85
	// targetLoad is the number of requests per slot that the limit aims at, times slack. A short queue at the
	// servers keeps slots busy until the routers have seen a response and sent the next request.
	targetLoad = 1.2
	// queuedLoad is the number of requests per slot from which on the limit shrinks, times slack. Between the two the sum of
	// all routers' limits stays about the same, so that it does not swing.
	queuedLoad = 1.35
	// maxShrink is the lowest factor of one change. rejectionShrink is the factor of a second in which servers
	// reject requests although their slots are not full.
	maxShrink       = 0.3
	rejectionShrink = 0.6
	// gainPerSecond makes changes smaller the sooner they follow each other. Use is averaged over window, so that
	// faster changes would make the limits of all routers swing together.
	gainPerSecond = 1
	// minGrowth is the growth of one change near full servers, relative to the demand that is
	// turned away. All routers grow at
	// the same time, so it is slow.
	minGrowth = 0.06
	// freeGrowth is the further growth of a change, as a factor of the limit for each request per slot that
	// is missing to targetLoad. It is fast after servers have returned.
	freeGrowth = 1.2
	// turnover is the part of the limit that a router gives up in a second while the servers are as full as they should
	// be, and turnoverGain the part of its weighted unmet demand that it takes up in return, relative to turnover. Without
	// it limits keep their first shares for tens of seconds, which depend on chance: 0.63 to 0.89 of the requests of a
	// router with urgent ones only were answered in time, in 24 plays of TestEachRouterSeesAnotherTenth.
	turnover     = 0.3
	turnoverGain = 2
	// headroom is by how much the limit may exceed the demand, so that it takes effect as soon as it shrinks.
	headroom = 1.25
	// minLimit keeps a router with hardly any demand from being shut out.
	minLimit = 0.05
)

// limiter learns how many of a router's requests the servers of one service can have in progress. While the
// servers are full all routers shrink their limits by a factor; while they have capacity to spare, routers that
// turn requests away grow theirs by an amount in proportion to what they turn away. The limits therefore approach
// shares of the capacity that follow the demand, without messages between routers.
type limiter struct {
	limited bool
	// limit is the number of requests in progress; it is not whole, and below one where many routers
	// share few slots.
	limit float64
	// fullSince is when the servers were first seen full without interruption; zero if they are not.
	fullSince time.Time
	// busyAt is when they were last full, or a request was refused.
	busyAt    time.Time
	updatedAt time.Time
	changedAt time.Time // when the limit was last changed by responses
	// slack is the factor by which servers may queue more than their slots need; below 1 counts as 1.
	slack float64
}

func (l *limiter) target() float64 { return targetLoad * max(1, l.slack) }

func (l *limiter) queued() float64 { return queuedLoad * max(1, l.slack) }

// sample is the mean of the load reports of the responses since the last change of the limit.
type sample struct {
	signals  int
	reports  int // those of the signals that tell slots
	rejected int
	// load is the sum of the servers' requests per slot.
	load float64
}

func (s *sample) add(signal Signal) {
	s.signals++
	if signal.Rejected {
		s.rejected++
	}
	if l := signal.Load; signal.HasLoad && l.Slots > 0 {
		s.reports++
		load := float64(l.Running+l.Waiting) / float64(l.Slots)
		s.load += min(load, maxLoadPerSlot)
	}
}

// loadPerSlot returns the mean load; zero if no responses tell it.
func (s sample) loadPerSlot() float64 {
	return s.load / float64(max(1, s.reports))
}

// conditions are the inputs of one update.
type conditions struct {
	pressure   Pressure
	recent     sample
	rejecting  bool
	inProgress float64
	// unmet is set if requests were refused or waited since the last update.
	unmet bool
	// demand is the demand of all classes, unmetDemand what of it exceeds their shares, weighted by urgency.
	demand, unmetDemand float64
}

// due reports whether it is time for another update. duration is how long a request takes, in seconds.
func (l *limiter) due(duration float64, now time.Time) bool {
	if !l.limited {
		return now.Sub(l.updatedAt) >= minInterval
	}
	interval := time.Duration(duration * float64(time.Second))
	return now.Sub(l.updatedAt) >= min(max(interval, minInterval), maxInterval)
}

// update learns from the responses. It reports whether the limit began or ended to apply, and whether it
// used the recent responses for a change.
func (l *limiter) update(c conditions, now time.Time) (switched, used bool) {
	frozen := now.Sub(l.updatedAt) > reportTTL // nothing that is known is recent
	l.updatedAt = now
	full := c.pressure.full() || c.rejecting
	switch {
	case !full || frozen:
		l.fullSince = time.Time{}
	case l.fullSince.IsZero():
		l.fullSince = now
	}
	if c.rejecting || c.unmet || c.pressure.full() || c.pressure.Slots > 0 && c.pressure.Load >= idleLoad*c.pressure.Slots {
		l.busyAt = now
	}
	if !l.limited {
		return l.tryClose(c, now)
	}
	if frozen || now.Sub(l.busyAt) >= openAfter {
		l.limited = false
		return true, true
	}
	used = l.change(c, now)
	l.limit = max(minLimit, min(l.limit, headroom*c.demand+1))
	return false, used
}

// change shrinks or grows the limit.
func (l *limiter) change(c conditions, now time.Time) (used bool) {
	if c.pressure.Known == 0 && c.unmet {
		l.limit = max(1, 2*l.limit) // opens step by step: without requests there are no reports
		return true
	}
	if c.recent.signals == 0 || c.recent.signals < minSignals && now.Sub(l.changedAt) < maxInterval {
		return false
	}
	gain := min(1, gainPerSecond*now.Sub(l.changedAt).Seconds())
	l.changedAt = now
	load := c.recent.loadPerSlot()
	switch {
	case load > l.queued():
		l.limit *= math.Pow(l.target()/load, gain*l.shrinkExponent(c.unmetDemand))
	case c.rejecting && float64(c.recent.rejected) >= minRejectedFraction*float64(c.recent.signals):
		l.limit *= math.Pow(rejectionShrink, gain)
	case c.unmet && load < l.target():
		l.limit += gain * minGrowth * min(c.unmetDemand, l.limit+1)
		l.limit *= 1 + gain*freeGrowth*(l.target()-load)
	case c.unmet:
		// The routers exchange capacity until each has a share that follows what it turns away.
		l.limit += gain * turnover * (turnoverGain*min(c.unmetDemand, l.limit+1) - l.limit)
	}
	return true
}

// shrinkExponent returns how strongly this router reacts to full servers. On average it is a half, which avoids too
// low a limit where a report is older than the last change. A router that serves much of its demand, or
// whose demand is less urgent, gives up more, so that routers' limits approach each other.
func (l *limiter) shrinkExponent(unmetDemand float64) float64 {
	const least, most = 0.25, 0.75
	return min(most, least+least*l.limit/max(unmetDemand, minLimit))
}

// tryClose begins to limit requests once the servers have been full for some time and queue more than
// their slots need.
func (l *limiter) tryClose(c conditions, now time.Time) (switched, used bool) {
	enough := c.recent.signals >= minSignals
	if enough && !c.rejecting && c.recent.reports > 0 && c.recent.loadPerSlot() < l.queued() {
		l.fullSince = time.Time{} // the older reports of other servers no longer hold
	}
	if l.fullSince.IsZero() || now.Sub(l.fullSince) < closeAfter {
		return false, enough
	}
	p := c.pressure
	factor := rejectionShrink
	if p.Load >= l.queued()*p.Slots && p.Slots > 0 {
		factor = max(maxShrink, l.target()*p.Slots/p.Load)
	} else if !c.rejecting {
		return false, enough
	}
	l.limited, l.changedAt = true, now
	l.limit = max(minLimit, c.inProgress*factor)
	return true, true
}
