package escrow

import (
	"math"
	"time"

	"chicorytiller.example/chicorytiller/internal/store"
)

// Sizes of grants and allowances.
const (
	// grantHorizon is how long a grant should last at the router's rate of use. It is
	// longer than the store's usual outages of about eight seconds.
	grantHorizon = 20 * time.Second
	// minCeilingHeadroom and maxCeilingHeadroom bound how far a router's ceiling is above
	// what it has used, as time at its rate of use. Headroom is lost to the budget when
	// the router crashes; with too little of it, requests wait during the first seconds of
	// an outage.
	minCeilingHeadroom = 800 * time.Millisecond
	maxCeilingHeadroom = 2500 * time.Millisecond
	// ceilingHeadroomShare is the headroom, within these bounds, as a fraction of the
	// remaining budget. A fresh budget can bear a loss; when a budget is nearly used up,
	// losing a few percent of it means refusing all later requests.
	ceilingHeadroomShare = 0.07
	// outageReserveShare is the fraction of the remaining budget that may be used at the
	// full outage rate in one outage. If all routers crash during the outage, at most that
	// much is lost, and the other half is left for later requests.
	outageReserveShare = 0.5
	// writesInFlight is the number of writes whose duration is added to the headroom and to
	// waits for a draw: the one in flight and the next one.
	writesInFlight = 2
	// maxUnreportedShare is the fraction of a budget by which the spending in the record may
	// lag behind once the whole budget is granted. No more draws update it then, and other
	// routers would take spent tokens for tokens that are still held.
	maxUnreportedShare = 0.002
	// refillThreshold is the fraction of the wanted tokens below which a separate write is
	// made.
	refillThreshold = 0.5
	// topUpThreshold is the same fraction when a write is made anyway.
	topUpThreshold = 0.95
	// initialGrantShare is the least fraction of a budget that its home holds, also before
	// it has seen any use.
	initialGrantShare = 0.6
	// initialCeilingShare is the least fraction of the remaining budget that the home's
	// ceiling allows. When homes crash and move, each new home allows it, and it is lost
	// each time.
	initialCeilingShare = 0.01
	// outageRateFactor is the outage rate as a multiple of the average rate of use, and
	// outageRateBudgetShare a fraction of the budget per second that is added to it, for
	// accounts with few, large requests. Use comes in bursts of several times its mean, and
	// requests above the outage rate are refused. What the rate allows is lost only if the
	// router crashes out of contact or stays down for longer than outageGrace.
	outageRateFactor      = 2.2
	outageRateBudgetShare = 0.008
	// maxHeldShare is the largest fraction of the remaining budget that a home holds, so
	// that another router can draw when the home is lost.
	maxHeldShare = 0.8
	// rateTimeConstant is the time constant of the moving average of a router's use.
	rateTimeConstant = 6 * time.Second
	// minRateInterval is the minimum time between two updates of the rate.
	minRateInterval = 250 * time.Millisecond
)

// grant is one router's grant on one account. GrantManager.mu guards all fields.
type grant struct {
	account string
	granted int64 // lower bound of what the record grants to this incarnation
	// allowance has the lowest limits of all ledgers that may be the stored one.
	allowance     Allowance
	spent         int64
	reserved      int64
	lent          int64 // to other routers
	borrowed      int64 // from other routers
	waitingTokens int64 // missing in reservations that wait for a draw
	queue         queue // reservations that wait while the store is unreachable

	lastAskedAt        time.Duration // when it was last asked for tokens as a holder; 0: never
	nextLastResortDraw time.Duration // earliest next draw when no holder can draw
	emptyBorrowAt      time.Duration // when no other router had any tokens; 0: never
	gathering          bool          // a gathering is pending or in progress
	shortGatherAt      time.Duration // when a gathering last got less than it asked for; 0: never
	recentlyLent       recentLoans   // may be returned unused

	rate                float64 // tokens per second, averaged since the first use
	rateWeight          float64 // sum of the weights in the average: 0 at first, approaching 1
	rateUpdatedAt       time.Duration
	usedSinceRateUpdate int64 // settled or lent since rateUpdatedAt, less what was returned

	seq         int64          // number of this incarnation's writes of the record
	recordKnown bool           // record was read, and no outcome of a later write is unknown
	revision    store.Revision // of record
	record      Record
	// earlier is the newest record known of an earlier era of the store, until the stored one contains
	// it; nil: none.
	earlier *earlierRecord
	// pendingRevision is the revision that unanswered writes of the record expect, or
	// noPendingWrite. Such a write may take effect at any time until the record has a
	// higher revision, so granted stays at the lower of the values with and without it.
	pendingRevision store.Revision
	shortageLog     sparseLog
	gatherLog       sparseLog
	reports         map[string]usageReport // by VM
	low             *lowBudget             // nil while much of the budget is left
}

// noPendingWrite means that no write of a record is unanswered.
const noPendingWrite store.Revision = -1

func newGrant(account string) *grant {
	return &grant{account: account, pendingRevision: noPendingWrite, record: newRecord(), reports: make(map[string]usageReport)}
}

// applyRecord sets the record to the stored one. Once its revision is above the one that
// the unanswered writes expect, none of them can take effect any more, and this
// incarnation's entry is what it is granted.
func (g *grant) applyRecord(record Record, revision store.Revision, own GrantEntry) {
	g.record, g.revision, g.recordKnown = record, revision, true
	if revision > g.pendingRevision {
		g.pendingRevision = noPendingWrite
	}
	if g.pendingRevision == noPendingWrite {
		g.granted = own.Granted
	}
}

// isOnVM reports whether the record may show a grant of this incarnation, or of an earlier one on the same VM.
func (g *grant) isOnVM(vm, incarnation string) bool {
	return g.granted > 0 || g.pendingRevision != noPendingWrite || g.record.GrantEntry(vm, incarnation).Seq > 0 ||
		g.record.HasOtherEntries(vm, incarnation)
}

// used returns the tokens of the grant that are spent, reserved or lent. Borrowed tokens
// are subtracted, since they add to what the grant can give.
func (g *grant) used() int64 {
	return g.spent + g.reserved + g.lent - g.borrowed
}

// available returns what may be reserved at the given time since the last contact, which
// is zero in contact.
func (g *grant) available(age time.Duration) int64 {
	return min(g.granted, g.allowance.limitAt(age)) - g.used()
}

// nextOutageRate returns the outage rate for the next ledger: above the average rate of
// use, to allow for bursts.
func (g *grant) nextOutageRate(prepaid int64) int64 {
	if g.isRationed() {
		return int64(float64(g.remaining(prepaid)) / lowBudgetHorizon.Seconds())
	}
	return int64(outageRateFactor*g.rate + outageRateBudgetShare*float64(prepaid))
}

// remaining returns what this router has left of the budget or may still draw.
func (g *grant) remaining(prepaid int64) int64 {
	return g.ungranted(prepaid) + max(0, g.granted-g.used())
}

// settle replaces a reservation by what its request used.
func (g *grant) settle(reserved, used int64) {
	g.reserved -= reserved
	g.spent += used
	g.usedSinceRateUpdate += used
}

// updateRate averages the use over rateTimeConstant, or since the first use if that is
// shorter. Otherwise the rate would start too low, and the grant would be too small for
// an outage soon after the start.
func (g *grant) updateRate(now time.Duration) {
	elapsed := now - g.rateUpdatedAt
	if elapsed < minRateInterval || g.rateWeight == 0 && g.usedSinceRateUpdate == 0 {
		return
	}
	alpha := 1 - math.Exp(-min(elapsed, minRateInterval*4).Seconds()/rateTimeConstant.Seconds())
	rateWeight := g.rateWeight + alpha*(1-g.rateWeight)
	g.rate = max(0, g.rate+alpha/rateWeight*(float64(g.usedSinceRateUpdate)/elapsed.Seconds()-g.rate))
	g.rateWeight, g.usedSinceRateUpdate, g.rateUpdatedAt = rateWeight, 0, now
}

// ungranted returns the part of the budget that is not granted to any router.
func (g *grant) ungranted(prepaid int64) int64 {
	return max(0, prepaid-g.record.TotalGranted())
}

// plan returns the grant to write next, and whether a write is due. The account's home
// draws for all routers and a standby for those that ask it; other routers draw only what
// they could not borrow.
//
// threshold is the fraction of the wanted tokens below which a draw is due. When a write
// is made anyway, drawing early costs nothing.
func (g *grant) plan(prepaid int64, as role, threshold float64) (granted int64, due bool) {
	ungranted := g.ungranted(prepaid)
	unused := g.granted - g.used()
	headroom := g.headroom(grantHorizon, int64(initialGrantShare*float64(prepaid)), as)
	maxHeld := int64(maxHeldShare * float64(ungranted+max(0, unused)))
	headroom = max(min(headroom, maxHeld), g.waitingTokens)
	switch {
	case ungranted > 0 && (unused < g.waitingTokens || float64(unused) < threshold*float64(headroom)):
		more := min(headroom-unused, ungranted)
		return g.granted + max(0, more), more > 0
	case as == borrower && g.waitingTokens == 0 && unused > 0 && g.allowance.Ceiling < g.granted:
		// This router was the home before: it returns what is above the ceiling. Sweeps
		// send the rest to the new home.
		return max(g.used(), min(g.granted, g.allowance.Ceiling)), true
	case g.record.TotalGranted() > prepaid && unused > 0:
		// The budget was lowered. The excess is returned, or this router would go on
		// spending it.
		excess := g.record.TotalGranted() - prepaid
		lowered := max(0, g.used(), g.granted-excess) // used is negative if more was borrowed than spent
		return lowered, lowered < g.granted
	}
	return g.granted, false
}

// netSpent returns what the record should contain as GrantEntry.Spent.
func (g *grant) netSpent() int64 {
	return g.spent + g.lent - g.borrowed
}

// needsReport reports whether the spending in the record lags so far behind that a write
// is needed to update it, since no draw will.
func (g *grant) needsReport(reported GrantEntry, prepaid int64) bool {
	lag := math.Abs(float64(g.netSpent() - reported.Spent))
	return reported.Seq > 0 && g.ungranted(prepaid) == 0 && lag > maxUnreportedShare*float64(prepaid)
}

// nextCeiling returns the ceiling to write next, given the next grant, and whether too
// little is left below the present one. roundTrip is the duration of a write: the next
// ceiling takes effect only afterwards.
func (g *grant) nextCeiling(granted, prepaid int64, as role, roundTrip time.Duration) (ceiling int64, short bool) {
	headroom := g.headroom(g.ceilingHeadroom(prepaid)+writesInFlight*roundTrip, int64(initialCeilingShare*float64(g.remaining(prepaid))), as)
	headroom = max(min(headroom, g.lowCeilingHeadroom(prepaid)), g.waitingTokens)
	remaining := min(g.granted, g.allowance.Ceiling) - g.used()
	ceiling = max(0, min(granted, g.used()+headroom))
	short = ceiling > g.allowance.Ceiling && (remaining < g.waitingTokens || float64(remaining) < refillThreshold*float64(headroom))
	return ceiling, short
}

// ceilingHeadroom returns how far a ceiling should be above what is used, as time at the
// present rate of use.
func (g *grant) ceilingHeadroom(prepaid int64) time.Duration {
	if g.rate <= 0 {
		return maxCeilingHeadroom
	}
	seconds := ceilingHeadroomShare * float64(g.remaining(prepaid)) / g.rate
	return min(max(minCeilingHeadroom, time.Duration(min(seconds, maxCeilingHeadroom.Seconds())*float64(time.Second))), maxCeilingHeadroom)
}

// headroom returns the tokens that a router in the given role should have left to last for
// the period. A home has at least minTokens, also before it has seen any use.
func (g *grant) headroom(period time.Duration, minTokens int64, as role) int64 {
	switch as {
	case home:
		return max(int64(g.rate*period.Seconds()), minTokens)
	case standby:
		return int64(g.rate * min(period, standbyHorizon).Seconds())
	}
	return 0
}
