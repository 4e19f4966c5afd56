package escrow

import (
	"math"
	"time"
)

// Sizes of grants.
const (
	// Horizon is how much of a router's own use a grant covers: longer than the
	// store's usual outages of some eight seconds.
	Horizon = 20 * time.Second
	// aheadLeast and aheadMost bound how much of its use a router's ceiling is above what
	// it has used. What lies between is lost to the budget when the router dies; what is
	// missing makes requests wait through the first seconds of an outage.
	aheadLeast = 800 * time.Millisecond
	aheadMost  = 2500 * time.Millisecond
	// aheadShare is the part of what is left of the budget within these bounds: a fresh
	// budget bears a loss, and one that is nearly used up refuses all that still comes for
	// the lack of a few hundredths.
	aheadShare = 0.07
	// reserveShare is the part of what is left of the budget that may be used at the full
	// outage rate in one outage. Where all routers die in it that much is lost at most, so that
	// the other half serves who comes afterwards.
	reserveShare = 0.5
	// slowWrites is how many writes a ceiling reaches further: one that is under way and
	// the one that follows it.
	slowWrites = 2
	// untoldMost is the part of a budget by which the use in a record may lag behind once all is
	// granted: nobody draws any more then, and others take what was used for what is held.
	untoldMost = 0.002
	// refillBelow is the part of what is wanted below which a write of its own is due.
	refillBelow = 0.5
	// topUpBelow is that part where a write is sent in any case.
	topUpBelow = 0.95
	// firstShare is the part of a budget that its home holds before use is seen.
	firstShare = 0.6
	// firstCeiling is the part of what is left that the ceiling lets it use. Where homes die
	// and move, each new one states it, and it is lost each time.
	firstCeiling = 0.01
	// outageRateAbove is the rate of use out of contact, in usual rates; outageRateLeast is a part of the
	// budget a second on top, for accounts whose few requests are large. Use comes in
	// clumps of several times its mean, and what goes beyond the rate is refused. What is stated is lost only by a router
	// that dies out of contact or stays down for longer than openAfter.
	outageRateAbove = 2.2
	outageRateLeast = 0.008
	// endShare bounds what a home holds to a part of what is left, so that another
	// router can draw when the home is lost.
	endShare = 0.8
	// rateMemory is the time over which a router's use is averaged.
	rateMemory = 6 * time.Second
	// rateInterval is the least time between two updates of the rate.
	rateInterval = 250 * time.Millisecond
)

// grant is one router's grant on one account. All fields are guarded by the Keeper.
type grant struct {
	account string
	granted int64 // lower bound of what the record gives this incarnation
	// allowed is the lowest of the ledgers that may be stored.
	allowed  Allowance
	spent    int64
	reserved int64
	lent     int64 // given to other routers
	borrowed int64 // got from other routers
	waiting  int64 // asked for by reservations that wait for a draw
	queue    queue // those that wait while the store is away

	askedAt   time.Duration // when this router was last asked to hold; 0: never
	nextDraw  time.Duration // before which it makes no draw of last resort
	fruitless time.Duration // when other routers had nothing; 0: never
	gathering bool          // another router is being asked for what the record leaves it
	gathered  time.Duration // when one had less than was asked for; 0: never
	lately    recentLoans   // lent in the last moments: some of it may come back

	rate   float64 // tokens a second, averaged since the first use
	weight float64 // of what rate averages: near 0 at first, 1 in the long run
	rateAt time.Duration
	use    int64 // settled and lent since rateAt, without what came back

	seq      int64 // of this incarnation's writes of the record
	decided  bool  // the record below was read from the store
	revision int64 // of the record
	record   Record
	// pendingAt is the revision that unanswered writes of the record expect; none
	// is under way if it is noWrite. While one is, it may land at any time until
	// the record has a higher revision, so granted stays at the lower of what the
	// record says with it and without it.
	pendingAt int64
	lackLog   sparseLog
	gatherLog sparseLog
	reports   map[string]usageReport // by VM
}

// noWrite says that no write of a record is unanswered.
const noWrite = -1

func newGrant(account string) *grant {
	return &grant{account: account, pendingAt: noWrite, record: newRecord(), reports: make(map[string]usageReport)}
}

// learned takes the record as the store has it. Once its revision has passed what
// the unanswered writes expect, none of them can land any more, and this
// incarnation's figure in it is the truth.
func (p *grant) learned(record Record, revision int64, mine GrantEntry) {
	p.record, p.revision, p.decided = record, revision, true
	if revision > p.pendingAt {
		p.pendingAt = noWrite
	}
	if p.pendingAt == noWrite {
		p.granted = mine.Granted
	}
}

// used is what of the grant is no longer to be had. Tokens borrowed from others
// come on top of the grant.
func (p *grant) used() int64 {
	return p.spent + p.reserved + p.lent - p.borrowed
}

// available is what may be reserved at an age of the last contact; zero in contact.
func (p *grant) available(age time.Duration) int64 {
	return min(p.granted, p.allowed.limitAt(age)) - p.used()
}

// newOutageRate is the outage rate to state: above the usual use, for its ups and downs.
func (p *grant) newOutageRate(prepaid int64) int64 {
	return int64(outageRateAbove*p.rate + outageRateLeast*float64(prepaid))
}

// left is what of the budget this router has or may yet draw.
func (p *grant) left(prepaid int64) int64 {
	return p.free(prepaid) + max(0, p.granted-p.used())
}

// settle books what a reservation really used.
func (p *grant) settle(reserved, used int64) {
	p.reserved -= reserved
	p.spent += used
	p.use += used
}

// updateRate averages the use over rateMemory, or since the first use if that is
// shorter: without that the first outage finds too small a grant.
func (p *grant) updateRate(now time.Duration) {
	passed := now - p.rateAt
	if passed < rateInterval || p.weight == 0 && p.use == 0 {
		return
	}
	part := 1 - math.Exp(-min(passed, rateInterval*4).Seconds()/rateMemory.Seconds())
	weight := p.weight + part*(1-p.weight)
	p.rate = max(0, p.rate+part/weight*(float64(p.use)/passed.Seconds()-p.rate))
	p.weight, p.use, p.rateAt = weight, 0, now
}

// free is what the record leaves to grant.
func (p *grant) free(prepaid int64) int64 {
	return max(0, prepaid-p.record.TotalGranted())
}

// plan returns the grant to ask for next, and whether a write is due. The account's home
// holds for all, and a standby for those who ask it; the others only what they could not get
// from them.
//
// topUp is the part of what is wanted below which a draw is due: where a write is
// sent anyway it costs nothing to draw early.
func (p *grant) plan(prepaid int64, as role, topUp float64) (granted int64, due bool) {
	free := p.free(prepaid)
	left := p.granted - p.used()
	ahead := p.ahead(Horizon, int64(firstShare*float64(prepaid)), as)
	fair := int64(endShare * float64(free+max(0, left)))
	ahead = max(min(ahead, fair), p.waiting)
	switch {
	case free > 0 && (left < p.waiting || float64(left) < topUp*float64(ahead)):
		more := min(ahead-left, free)
		return p.granted + max(0, more), more > 0
	case as == borrower && p.waiting == 0 && left > 0 && p.allowed.Ceiling < p.granted:
		// A former home's rest. What is below the ceiling goes to the new home.
		return max(p.used(), min(p.granted, p.allowed.Ceiling)), true
	case p.record.TotalGranted() > prepaid && left > 0:
		// A budget that was lowered: what was granted beyond it is given back, or this
		// router would go on to spend it.
		excess := p.record.TotalGranted() - prepaid
		return max(p.used(), p.granted-excess), true
	}
	return p.granted, false
}

// netSpent is what the record should tell as spent.
func (p *grant) netSpent() int64 {
	return p.spent + p.lent - p.borrowed
}

// isUntold says whether the record lacks so much of this router's use that it has to be told, and no
// draw will tell it.
func (p *grant) isUntold(told GrantEntry, prepaid int64) bool {
	lag := math.Abs(float64(p.netSpent() - told.Spent))
	return told.Seq > 0 && p.free(prepaid) == 0 && lag > untoldMost*float64(prepaid)
}

// raised returns the ceiling to ask for next, for the given grant, and whether
// what is left below the present one is short.
// roundTrip is what a write takes: the next ceiling counts only after it.
func (p *grant) raised(granted, prepaid int64, as role, roundTrip time.Duration) (ceiling int64, short bool) {
	ahead := max(p.ahead(p.aheadTime(prepaid)+slowWrites*roundTrip, int64(firstCeiling*float64(p.left(prepaid))), as), p.waiting)
	left := min(p.granted, p.allowed.Ceiling) - p.used()
	ceiling = max(0, min(granted, p.used()+ahead))
	short = ceiling > p.allowed.Ceiling && (left < p.waiting || float64(left) < refillBelow*float64(ahead))
	return ceiling, short
}

// aheadTime is how much of its use a ceiling should be above what is used.
func (p *grant) aheadTime(prepaid int64) time.Duration {
	if p.rate <= 0 {
		return aheadMost
	}
	share := aheadShare * float64(p.left(prepaid)) / p.rate // in seconds
	return min(max(aheadLeast, time.Duration(min(share, aheadMost.Seconds())*float64(time.Second))), aheadMost)
}

// ahead is what should be left for a time of use. A home holds at least so many tokens,
// also before use is seen.
func (p *grant) ahead(time time.Duration, least int64, as role) int64 {
	switch as {
	case home:
		return max(int64(p.rate*time.Seconds()), least)
	case standby:
		return int64(p.rate * min(time, standbyHorizon).Seconds())
	}
	return 0
}
