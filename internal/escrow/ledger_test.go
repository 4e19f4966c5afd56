package escrow

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var noon = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

func readingAt(boot string, steady time.Duration, wall time.Duration) ClockReading {
	return ClockReading{Boot: boot, Steady: steady, Wall: noon.Add(wall)}
}

// Guards against freeing too much because a clock is trusted that was reset or moved.
func TestMaxAgeAt(t *testing.T) {
	last := readingAt("boot-1", time.Hour, 0)
	for _, test := range []struct {
		name       string
		now        ClockReading
		leaseAlive bool
		age        time.Duration
		unknown    bool
	}{
		{name: "same boot", now: readingAt("boot-1", time.Hour+2*time.Second, -time.Hour), age: 2 * time.Second},
		{name: "another boot with a plausible steady clock", now: readingAt("boot-2", time.Hour+time.Second, 9*time.Second), age: 9*time.Second + wallClockMargin},
		{name: "steady clock that ran back", now: readingAt("boot-1", time.Minute, 9*time.Second), age: 9*time.Second + wallClockMargin},
		{name: "steady clock far ahead", now: readingAt("boot-1", 3*time.Hour, 9*time.Second), age: 9*time.Second + wallClockMargin},
		{name: "its lease alive", now: readingAt("boot-2", 0, 2*time.Second), leaseAlive: true, age: 2*time.Second + confirmedClockMargin},
		{name: "its lease still alive, through an outage and a restart", now: readingAt("boot-2", 0, 5400*time.Millisecond), leaseAlive: true, age: 5400*time.Millisecond + confirmedClockMargin},
		{name: "its lease alive, but the contact older than it", now: readingAt("boot-2", 0, 11*time.Second), leaseAlive: true, age: 11*time.Second + wallClockMargin},
		{name: "its lease alive, but now before the contact", now: readingAt("boot-2", 0, -time.Second), leaseAlive: true, age: wallClockMargin - time.Second},
		{name: "time of day moved back too far", now: readingAt("boot-2", 0, -time.Minute), unknown: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			age, basis := last.maxAgeAt(test.now, test.leaseAlive)
			qt.Assert(t, basis == BasisGrant, qt.Equals, test.unknown)
			qt.Assert(t, age, qt.Equals, test.age)
		})
	}
}

// Guards against freeing tokens that a dead process may have spent.
func TestBoundSpending(t *testing.T) {
	ledger := Ledger{Incarnation: "old", Address: "vm", Contact: readingAt("boot", 0, 0),
		Allowances: map[string]Allowance{"boatyard": {Ceiling: 300, OutageRate: 100}}}
	at := func(age time.Duration) ClockReading { return readingAt("boot", age, age) }
	for _, test := range []struct {
		name                 string
		ledger               Ledger
		incarnation, address string
		now                  ClockReading
		want                 int64
	}{
		{"in contact", ledger, "old", "vm", at(outageGrace), 300},
		{"a second out of contact", ledger, "old", "vm", at(outageGrace + time.Second), 400},
		{"seconds out of contact", ledger, "old", "vm", at(outageGrace + fullRatePeriod + 2*time.Second), 300 + 150 + 90},
		{"long out of contact", ledger, "old", "vm", at(time.Minute), 1000},
		{"another incarnation's ledger", ledger, "older", "vm", at(0), 1000},
		{"another VM of the same name", ledger, "old", "vm-2", at(0), 1000},
		{"no clock to go by", ledger, "old", "vm", readingAt("other", 0, -time.Hour), 1000},
	} {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, test.ledger.BoundSpending("boatyard", test.incarnation, test.address, 1000, test.now, false).Max, qt.Equals, test.want)
		})
	}
	qt.Assert(t, ledger.BoundSpending("boatyard", "old", "vm", 200, at(0), false).Max, qt.Equals, int64(200), qt.Commentf("a grant below its ceiling"))
}

// Guards against losing the rest of a budget when routers crash late in an outage.
func TestOutageRateLosesLittleLateInOutage(t *testing.T) {
	const prepaid, rate = 3_500_000, 100_000
	g := newGrant("boatyard")
	g.rate = rate
	outage := 6 * time.Second
	allowed := Allowance{OutageRate: g.nextOutageRate(prepaid)}.limitAt(outage)
	used := int64(rate * (outage - outageGrace).Seconds())
	qt.Assert(t, allowed > used, qt.IsTrue, qt.Commentf("%d allowed, %d used", allowed, used))
	qt.Assert(t, float64(allowed-used) < 0.1*prepaid, qt.IsTrue, qt.Commentf("%d of %d lost", allowed-used, prepaid))
}

// newTestGrant returns a grant of some tokens on an account without other grants.
func newTestGrant(tokens int64) *grant {
	g := newGrant("boatyard")
	own := GrantEntry{Seq: 1, Granted: tokens}
	g.applyRecord(newRecord().WithEntry("vm", "p1", own, nil), 1, own)
	return g
}

// Guards against refusals during an outage while most of the budget is left and no router crashes.
func TestOutageEarlyInBudgetCausesNoRefusals(t *testing.T) {
	const prepaid, rate = 3_500_000, 100_000
	g := newTestGrant(2_000_000)
	g.rate, g.rateWeight, g.spent = rate, 1, 500_000
	ceiling, _ := g.nextCeiling(g.granted, prepaid, home, 0)
	allowed := Allowance{Ceiling: ceiling, OutageRate: g.nextOutageRate(prepaid), OutageReserve: int64(outageReserveShare * float64(g.remaining(prepaid)))}
	for age := outageGrace + time.Second; age <= 8*time.Second; age += 100 * time.Millisecond {
		used := g.spent + int64(1.5*rate*age.Seconds())
		qt.Assert(t, allowed.limitAt(age) >= used, qt.IsTrue, qt.Commentf("after %v: %d allowed, %d used", age, allowed.limitAt(age), used))
	}
	qt.Assert(t, allowed.limitAt(outageGrace) >= g.spent+int64(rate*minCeilingHeadroom.Seconds()), qt.IsTrue)
}

// Guards against an outage reserve that leaves no tokens for the time after the outage.
func TestOutageReserveLosesAtMostHalf(t *testing.T) {
	const prepaid, rate = 3_500_000, 100_000
	for spent := int64(0); spent < prepaid; spent += 100_000 {
		g := newTestGrant(prepaid)
		g.rate, g.spent = rate, spent
		remaining := g.remaining(prepaid)
		ceiling, _ := g.nextCeiling(g.granted, prepaid, home, 0)
		outageRate := g.nextOutageRate(prepaid)
		lost := Allowance{Ceiling: ceiling, OutageRate: outageRate, OutageReserve: int64(outageReserveShare * float64(remaining))}.limitAt(8*time.Second) - ceiling
		lostWithoutReserve := Allowance{Ceiling: ceiling, OutageRate: outageRate}.limitAt(8*time.Second) - ceiling
		qt.Assert(t, lost <= max(lostWithoutReserve, remaining/2), qt.IsTrue, qt.Commentf("%d of %d", lost, remaining))
	}
}

// Guards against crashes near the end of a budget that lose most of the rest.
func TestCeilingHeadroomShrinksWithBudget(t *testing.T) {
	const prepaid, rate = 3_500_000, 100_000
	g := newTestGrant(prepaid)
	g.rate = rate
	qt.Assert(t, g.ceilingHeadroom(prepaid) > 2400*time.Millisecond, qt.IsTrue)
	g.spent = 2_000_000
	qt.Assert(t, g.ceilingHeadroom(prepaid), qt.Equals, 1050*time.Millisecond)
	g.spent = 3_400_000
	qt.Assert(t, g.ceilingHeadroom(prepaid), qt.Equals, minCeilingHeadroom)
	g.rate = 0
	qt.Assert(t, g.ceilingHeadroom(prepaid), qt.Equals, maxCeilingHeadroom)
}

// Guards against spending tokens after an unanswered write that returns them.
func TestUnansweredReturnIsNotSpendable(t *testing.T) {
	g := newGrant("boatyard")
	g.applyRecord(newRecord(), 5, GrantEntry{Granted: 1000})
	qt.Assert(t, g.granted, qt.Equals, int64(1000))
	g.granted, g.pendingRevision = 400, 5 // a write that reduces the grant to 400 was sent and expects revision 5

	g.applyRecord(newRecord(), 5, GrantEntry{Granted: 1000})
	qt.Assert(t, g.granted, qt.Equals, int64(400), qt.Commentf("the write may still take effect"))

	g.applyRecord(newRecord(), 6, GrantEntry{Granted: 1000})
	qt.Assert(t, g.granted, qt.Equals, int64(1000), qt.Commentf("another write came first"))
}

// Guards against spending at a higher rate than a successor may find in the ledger.
func TestAvailableFollowsAllowance(t *testing.T) {
	g := newGrant("boatyard")
	g.granted, g.allowance = 10_000, Allowance{Ceiling: 100, OutageRate: 50}
	age := outageGrace + time.Second
	qt.Assert(t, g.available(0), qt.Equals, int64(100))
	qt.Assert(t, g.available(age), qt.Equals, int64(150))
	g.granted = 120
	qt.Assert(t, g.available(age), qt.Equals, int64(120), qt.Commentf("never beyond the grant"))
}
