package escrow

import (
	"math"
	"time"
)

// Sizes of grants.
const (
	// Horizon is how much of a router's own use a grant covers. Longer rides out
	// longer outages of the store; shorter strands less when a router dies.
	Horizon = 10 * time.Second
	// refillBelow is the part of the horizon below which more is drawn.
	refillBelow = 0.5
	// returnAbove is the multiple of the wanted grant above which the rest goes back.
	returnAbove = 2.0
	// firstShare is the part of a budget that all routers together hold before
	// they have seen any use of it.
	firstShare = 0.15
	// endShare bounds one router's draw to this part of an equal share of what is
	// left, so that the last tokens of a budget are not stranded at one router.
	endShare = 0.7
	// rateMemory is the time over which a router's use is averaged.
	rateMemory = 6 * time.Second
)

// purse is one router's grant on one account. All fields are guarded by the Keeper.
type purse struct {
	account  string
	granted  int64 // lower bound of what the record gives this incarnation
	spent    int64
	reserved int64
	lent     int64 // given to other routers
	borrowed int64 // got from other routers
	largest  int64 // largest reservation asked for lately
	waiting  int64 // asked for by reservations that wait for a draw

	rate   float64 // tokens a second, averaged
	rateAt time.Time
	use    int64 // settled since rateAt

	seq      int64 // of this incarnation's writes of the record
	decided  bool  // the record below was read from the store
	revision int64 // of the record
	record   Record
	// pendingAt is the revision that unanswered writes of the record expect; none
	// is under way if it is noWrite. While one is, it may land at any time until
	// the record has a higher revision, so granted stays at the lower of what the
	// record says with it and without it.
	pendingAt int64
}

// noWrite says that no write of a record is unanswered.
const noWrite = -1

// learned takes the record as the store has it. Once its revision has passed what
// the unanswered writes expect, none of them can land any more, and this
// incarnation's figure in it is the truth.
func (p *purse) learned(record Record, revision int64, mine Figure) {
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
func (p *purse) used() int64 {
	return p.spent + p.reserved + p.lent - p.borrowed
}

func (p *purse) available() int64 {
	return p.granted - p.used()
}

// settle books what a reservation really used.
func (p *purse) settle(reserved, used int64) {
	p.reserved -= reserved
	p.spent += used
	p.use += used
}

// rateInterval is the least time between two updates of the rate.
const rateInterval = 250 * time.Millisecond

func (p *purse) updateRate(now time.Time) {
	if p.rateAt.IsZero() {
		p.rateAt = now
		return
	}
	passed := now.Sub(p.rateAt)
	if passed < rateInterval {
		return
	}
	weight := 1 - math.Exp(-passed.Seconds()/rateMemory.Seconds())
	p.rate += weight * (float64(p.use)/passed.Seconds() - p.rate)
	p.use, p.rateAt = 0, now
}

// free is what the record leaves to grant.
func (p *purse) free(prepaid int64) int64 {
	return max(0, prepaid-p.record.Given())
}

// wanted is what should be available here: the horizon's use, and at first an
// equal part of what all routers hold before use is seen.
func (p *purse) wanted(prepaid int64, routers int) int64 {
	first := firstShare * float64(prepaid) / float64(max(1, routers))
	return int64(max(p.rate*Horizon.Seconds(), first))
}

// plan returns the grant to ask for next, and whether a write is due.
func (p *purse) plan(prepaid int64, routers int) (granted int64, due bool) {
	free := p.free(prepaid)
	fair := int64(endShare * float64(free+max(0, p.available())) / float64(max(1, routers)))
	ahead := p.wanted(prepaid, routers)
	scarce := ahead > fair
	ahead = min(ahead, fair)
	ahead = max(ahead, p.waiting)
	available := p.available()
	switch {
	case available < p.waiting && free > 0 || float64(available) < refillBelow*float64(ahead) && free > 0:
		more := min(ahead-available, free)
		if more <= 0 {
			return p.granted, false
		}
		return p.granted + more, true
	case scarce && float64(available) > returnAbove*float64(ahead) && available > p.largest:
		// Others may be refused for what lies here unused.
		return p.used() + max(ahead, p.largest), true
	}
	return p.granted, false
}
