package limit

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"chicorytiller.example/chicorytiller/internal/contract"
	"chicorytiller.example/chicorytiller/internal/id"
)

const (
	// smoothing is the time in which a changed demand is followed to 63%. Longer
	// makes the shares slow to follow, shorter makes them follow chance.
	smoothing = 2 * time.Second
	// linger is how long after its last request an account is still told of, so
	// that one with few requests doesn't begin anew with each.
	linger = 10 * time.Second
	// remembered is for how many rounds it is kept what was told.
	remembered = 64
)

// Round counts the periods of heartbeats at this router.
type Round uint64

// demand is what the account asks of this router, whether admitted or refused.
type demand struct {
	hash      uint64
	offered   int     // since the round began
	perSecond float64 // smoothed, at most the contract's rate
	lastAt    time.Time
	rate      float64 // of the contract; 0: none
	slots     int     // the contract's concurrency; 0: none
	told      [remembered]use
	toldFrom  Round // it has been told of in each round since; 0: not in this one
}

// use is what a router tells of an account: its demand in thousandths of a request
// a second, and how many run. A zero demand means that nothing is told.
type use struct {
	Demand  uint32
	Running uint32
}

func hashAccount(name id.ClientAccount) uint64 {
	return xxhash.Sum64String(string(name))
}

func (d *demand) offer(now time.Time, c *contract.Contract) {
	d.offered++
	d.lastAt = now
	d.rate = c.RequestsPerSecond
	d.slots = c.Concurrency
}

// endRound takes the requests of the round that ends into the smoothed demand.
//
// What is over the contract's rate is left out: else a caller who asks a hundred
// times as often at one router would take the share of his own others.
func (d *demand) endRound(lasted time.Duration) {
	seconds := max(lasted.Seconds(), 1e-3)
	keep := math.Exp(-seconds / smoothing.Seconds())
	d.perSecond = d.perSecond*keep + float64(d.offered)/seconds*(1-keep)
	if d.rate > 0 {
		d.perSecond = min(d.perSecond, d.rate)
	}
	d.offered = 0
}

// use is what is to be told of the account in this round.
func (d *demand) use(at time.Time, running int) use {
	if running == 0 && at.Sub(d.lastAt) >= linger {
		return use{}
	}
	thousandths := math.Ceil(d.perSecond * 1000)
	return use{
		Demand:  uint32(min(max(thousandths, 1), math.MaxUint32)),
		Running: uint32(min(running, math.MaxUint32)),
	}
}

// pressure ranks the accounts: those nearest to their limits gain most by a share
// that follows them. Accounts without a limit have none.
func (d *demand) pressure(running int) float64 {
	pressure := 0.0
	if d.rate > 0 {
		pressure = d.perSecond / d.rate
	}
	if d.slots > 0 {
		pressure = max(pressure, float64(running)/float64(d.slots))
	}
	return pressure
}

// tell notes what is told in a round; the zero use is nothing.
func (d *demand) tell(told use, round Round) {
	d.told[round%remembered] = told
	switch {
	case told.Demand == 0:
		d.toldFrom = 0
	case d.toldFrom == 0:
		d.toldFrom = round
	}
}

// knownTo tells whether a router that answered a heartbeat of that round knows of
// the demand. It has to have been told ever since: once it was not, others may have
// taken the share.
func (d *demand) knownTo(answered Round) bool {
	return d.toldFrom > 0 && answered >= d.toldFrom
}

// leastSince is the least demand and the fewest running that were told since, as far
// as it is remembered.
func (d *demand) leastSince(round, current Round) use {
	least := d.told[current%remembered]
	if current-round >= remembered {
		round = current - remembered + 1
	}
	for ; round < current; round++ {
		told := d.told[round%remembered]
		least.Demand = min(least.Demand, told.Demand)
		least.Running = min(least.Running, told.Running)
	}
	return least
}
