package escrow

import (
	"math"
	"time"
)

// Sizes of grants.
const (
	// grantHorizon is how much of a router's own use a grant covers: longer than the
	// store's usual outages of some eight seconds.
	grantHorizon = 20 * time.Second
	// minCeilingHeadroom and aheadMost bound how much of its use a router's ceiling is above what
	// it has used. What lies between is lost to the budget when the router dies; what is
	// missing makes requests wait through the first seconds of an outage.
	minCeilingHeadroom = 800 * time.Millisecond
	maxCeilingHeadroom = 2500 * time.Millisecond
	// ceilingHeadroomShare is the part of what is left of the budget within these bounds: a fresh
	// budget bears a loss, and one that is nearly used up refuses all that still comes for
	// the lack of a few hundredths.
	ceilingHeadroomShare = 0.07
	// outageReserveShare is the part of what is left of the budget that may be used at the full
	// outage rate in one outage. Where all routers die in it that much is lost at most, so that
	// the other half serves who comes afterwards.
	outageReserveShare = 0.5
	// writesInFlight is how many writes a ceiling reaches further: one that is under way and
	// the one that follows it.
	writesInFlight = 2
	// maxUnreportedShare is the part of a budget by which the use in a record may lag behind once all is
	// granted: nobody draws any more then, and others take what was used for what is held.
	maxUnreportedShare = 0.002
	// refillThreshold is the part of what is wanted below which a write of its own is due.
	refillThreshold = 0.5
	// topUpThreshold is that part where a write is sent in any case.
	topUpThreshold = 0.95
	// initialGrantShare is the part of a budget that its home holds before use is seen.
	initialGrantShare = 0.6
	// initialCeilingShare is the part of what is left that the ceiling lets it use. Where homes die
	// and move, each new one states it, and it is lost each time.
	initialCeilingShare = 0.01
	// outageRateFactor is the rate of use out of contact, in usual rates; outageRateLeast is a part of the
	// budget a second on top, for accounts whose few requests are large. Use comes in
	// clumps of several times its mean, and what goes beyond the rate is refused. What is stated is lost only by a router
	// that dies out of contact or stays down for longer than openAfter.
	outageRateFactor      = 2.2
	outageRateBudgetShare = 0.008
	// maxHeldShare bounds what a home holds to a part of what is left, so that another
	// router can draw when the home is lost.
	maxHeldShare = 0.8
	// rateTimeConstant is the time over which a router's use is averaged.
	rateTimeConstant = 6 * time.Second
	// minRateInterval is the least time between two updates of the rate.
	minRateInterval = 250 * time.Millisecond
)

// grant is one router's grant on one account. All fields are guarded by the Keeper.
type grant struct {
	account string
	granted int64 // lower bound of what the record gives this incarnation
	// allowance is the lowest of the ledgers that may be stored.
	allowance     Allowance
	spent         int64
	reserved      int64
	lent          int64 // given to other routers
	borrowed      int64 // got from other routers
	waitingTokens int64 // asked for by reservations that wait for a draw
	queue         queue // those that wait while the store is away

	lastAskedAt        time.Duration // when this router was last asked to hold; 0: never
	nextLastResortDraw time.Duration // before which it makes no draw of last resort
	emptyBorrowAt      time.Duration // when other routers had nothing; 0: never
	gathering          bool          // another router is being asked for what the record leaves it
	shortGatherAt      time.Duration // when one had less than was asked for; 0: never
	recentlyLent       recentLoans   // lent in the last moments: some of it may come back

	rate                float64 // tokens a second, averaged since the first use
	rateWeight          float64 // of what rate averages: near 0 at first, 1 in the long run
	rateUpdatedAt       time.Duration
	usedSinceRateUpdate int64 // settled and lent since rateAt, without what came back

	seq         int64 // of this incarnation's writes of the record
	recordKnown bool  // the record below was read from the store
	revision    int64 // of the record
	record      Record
	// pendingRevision is the revision that unanswered writes of the record expect; none
	// is under way if it is noWrite. While one is, it may land at any time until
	// the record has a higher revision, so granted stays at the lower of what the
	// record says with it and without it.
	pendingRevision int64
	shortageLog     sparseLog
	gatherLog       sparseLog
	reports         map[string]usageReport // by VM
}

// noPendingWrite says that no write of a record is unanswered.
const noPendingWrite = -1

func newGrant(account string) *grant {
	return &grant{account: account, pendingRevision: noPendingWrite, record: newRecord(), reports: make(map[string]usageReport)}
}

// applyRecord takes the record as the store has it. Once its revision has passed what
// the unanswered writes expect, none of them can land any more, and this
// incarnation's figure in it is the truth.
func (g *grant) applyRecord(record Record, revision int64, mine GrantEntry) {
	g.record, g.revision, g.recordKnown = record, revision, true
	if revision > g.pendingRevision {
		g.pendingRevision = noPendingWrite
	}
	if g.pendingRevision == noPendingWrite {
		g.granted = mine.Granted
	}
}

// used is what of the grant is no longer to be had. Tokens borrowed from others
// come on top of the grant.
func (g *grant) used() int64 {
	return g.spent + g.reserved + g.lent - g.borrowed
}

// available is what may be reserved at an age of the last contact; zero in contact.
func (g *grant) available(age time.Duration) int64 {
	return min(g.granted, g.allowance.limitAt(age)) - g.used()
}

// nextOutageRate is the outage rate to state: above the usual use, for its ups and downs.
func (g *grant) nextOutageRate(prepaid int64) int64 {
	return int64(outageRateFactor*g.rate + outageRateBudgetShare*float64(prepaid))
}

// remaining is what of the budget this router has or may yet draw.
func (g *grant) remaining(prepaid int64) int64 {
	return g.ungranted(prepaid) + max(0, g.granted-g.used())
}

// settle books what a reservation really used.
func (g *grant) settle(reserved, used int64) {
	g.reserved -= reserved
	g.spent += used
	g.usedSinceRateUpdate += used
}

// updateRate averages the use over rateMemory, or since the first use if that is
// shorter: without that the first outage finds too small a grant.
func (g *grant) updateRate(now time.Duration) {
	passed := now - g.rateUpdatedAt
	if passed < minRateInterval || g.rateWeight == 0 && g.usedSinceRateUpdate == 0 {
		return
	}
	part := 1 - math.Exp(-min(passed, minRateInterval*4).Seconds()/rateTimeConstant.Seconds())
	rateWeight := g.rateWeight + part*(1-g.rateWeight)
	g.rate = max(0, g.rate+part/rateWeight*(float64(g.usedSinceRateUpdate)/passed.Seconds()-g.rate))
	g.rateWeight, g.usedSinceRateUpdate, g.rateUpdatedAt = rateWeight, 0, now
}

// ungranted is what the record leaves to grant.
func (g *grant) ungranted(prepaid int64) int64 {
	return max(0, prepaid-g.record.TotalGranted())
}

// plan returns the grant to ask for next, and whether a write is due. The account's home
// holds for all, and a standby for those who ask it; the others only what they could not get
// from them.
//
// topUp is the part of what is wanted below which a draw is due: where a write is
// sent anyway it costs nothing to draw early.
func (g *grant) plan(prepaid int64, as role, topUp float64) (granted int64, due bool) {
	ungranted := g.ungranted(prepaid)
	unused := g.granted - g.used()
	headroom := g.headroom(grantHorizon, int64(initialGrantShare*float64(prepaid)), as)
	fair := int64(maxHeldShare * float64(ungranted+max(0, unused)))
	headroom = max(min(headroom, fair), g.waitingTokens)
	switch {
	case ungranted > 0 && (unused < g.waitingTokens || float64(unused) < topUp*float64(headroom)):
		more := min(headroom-unused, ungranted)
		return g.granted + max(0, more), more > 0
	case as == borrower && g.waitingTokens == 0 && unused > 0 && g.allowance.Ceiling < g.granted:
		// A former home's rest. What is below the ceiling goes to the new home.
		return max(g.used(), min(g.granted, g.allowance.Ceiling)), true
	case g.record.TotalGranted() > prepaid && unused > 0:
		// A budget that was lowered: what was granted beyond it is given back, or this
		// router would go on to spend it.
		excess := g.record.TotalGranted() - prepaid
		return max(g.used(), g.granted-excess), true
	}
	return g.granted, false
}

// netSpent is what the record should tell as spent.
func (g *grant) netSpent() int64 {
	return g.spent + g.lent - g.borrowed
}

// needsReport says whether the record lacks so much of this router's use that it has to be told, and no
// draw will tell it.
func (g *grant) needsReport(told GrantEntry, prepaid int64) bool {
	lag := math.Abs(float64(g.netSpent() - told.Spent))
	return told.Seq > 0 && g.ungranted(prepaid) == 0 && lag > maxUnreportedShare*float64(prepaid)
}

// nextCeiling returns the ceiling to ask for next, for the given grant, and whether
// what is left below the present one is short.
// roundTrip is what a write takes: the next ceiling counts only after it.
func (g *grant) nextCeiling(granted, prepaid int64, as role, roundTrip time.Duration) (ceiling int64, short bool) {
	headroom := max(g.headroom(g.ceilingHeadroom(prepaid)+writesInFlight*roundTrip, int64(initialCeilingShare*float64(g.remaining(prepaid))), as), g.waitingTokens)
	remaining := min(g.granted, g.allowance.Ceiling) - g.used()
	ceiling = max(0, min(granted, g.used()+headroom))
	short = ceiling > g.allowance.Ceiling && (remaining < g.waitingTokens || float64(remaining) < refillThreshold*float64(headroom))
	return ceiling, short
}

// ceilingHeadroom is how much of its use a ceiling should be above what is used.
func (g *grant) ceilingHeadroom(prepaid int64) time.Duration {
	if g.rate <= 0 {
		return maxCeilingHeadroom
	}
	share := ceilingHeadroomShare * float64(g.remaining(prepaid)) / g.rate // in seconds
	return min(max(minCeilingHeadroom, time.Duration(min(share, maxCeilingHeadroom.Seconds())*float64(time.Second))), maxCeilingHeadroom)
}

// headroom is what should be left for a time of use. A home holds at least so many tokens,
// also before use is seen.
func (g *grant) headroom(time time.Duration, least int64, as role) int64 {
	switch as {
	case home:
		return max(int64(g.rate*time.Seconds()), least)
	case standby:
		return int64(g.rate * min(time, standbyHorizon).Seconds())
	}
	return 0
}
