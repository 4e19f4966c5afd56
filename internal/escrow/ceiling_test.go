package escrow

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytiller.example/chicorytiller/internal/store"
	"chicorytiller.example/chicorytiller/internal/store/memstore"
)

// Guards against a ledger written during an outage that looks like one written in contact.
func TestLedgerInOutageKeepsLastContact(t *testing.T) {
	c := qt.New(t)
	b := newTestbed(1_000_000)
	m := b.newManager("p1", noPeers{})
	b.steady = time.Second
	m.syncStore(context.Background(), true)
	m.storeDown = true
	b.steady = 9 * time.Second
	d, due := m.plan(true)
	c.Assert(due, qt.IsTrue)
	c.Assert(d.ledger.Contact.Steady, qt.Equals, time.Second)
	c.Assert(m.contactAge(), qt.Equals, 8*time.Second)
}

// Guards against an older ledger that is applied late and replaces a newer one.
func TestLateLedgerDoesNotReplaceNewerOne(t *testing.T) {
	c := qt.New(t)
	b, m, _ := startTestbed()
	b.store.SetOutcome(func(store.Txn) memstore.Outcome { return memstore.Delayed })
	b.steady += time.Second
	m.syncStore(context.Background(), true)
	b.store.SetOutcome(func(store.Txn) memstore.Outcome { return memstore.Answered })
	b.steady += 2 * time.Second // the contact lease that the late write is bound to still runs
	m.syncStore(context.Background(), true)
	newest := storedLedger(c, b)
	b.store.ApplyDelayed()
	c.Assert(storedLedger(c, b), qt.DeepEquals, newest)
}

// Guards against spending tokens that an unanswered write returns.
func TestReducedGrantAppliesWhenSent(t *testing.T) {
	c := qt.New(t)
	b, m, g := startTestbed()
	rate, ceiling := g.allowance.OutageRate, g.allowance.Ceiling
	c.Assert(g.granted > ceiling, qt.IsTrue)

	b.home, b.prepaid["boatyard"] = "elsewhere", 500_000
	b.store.SetOutcome(func(store.Txn) memstore.Outcome { return memstore.Delayed })
	b.steady += time.Second
	m.syncStore(context.Background(), true)
	c.Assert(g.granted, qt.Equals, ceiling)
	c.Assert(g.pendingRevision, qt.Equals, g.revision)
	c.Assert(g.allowance.OutageRate < rate, qt.IsTrue)
}

func storedLedger(c *qt.C, b *testbed) Ledger {
	snapshot, err := b.store.Read(context.Background(), "budget/router/vm")
	c.Assert(err, qt.IsNil)
	ledger, err := DecodeLedger(snapshot.Items[0].Value)
	c.Assert(err, qt.IsNil)
	return ledger
}

// Guards against a ceiling that stays high after a busy time: a crash then would lose the excess.
func TestCeilingDropsWithUse(t *testing.T) {
	c := qt.New(t)
	b, m, g := startTestbed()
	g.rate, g.rateWeight, g.rateUpdatedAt = 100_000, 1, b.steady // a busy time
	m.syncStore(context.Background(), true)
	busy := storedLedger(c, b).Allowances["boatyard"].Ceiling
	c.Assert(busy, qt.Equals, int64(100_000*minCeilingHeadroom.Seconds()))
	g.rate = 1_000
	m.syncStore(context.Background(), true)
	calm := storedLedger(c, b).Allowances["boatyard"].Ceiling
	c.Assert(calm, qt.Equals, int64(initialCeilingShare*1_000_000))
	c.Assert(g.allowance.Ceiling, qt.Equals, calm)
}

// Guards against spending above a lower ceiling whose write was not answered.
func TestLowerCeilingAppliesWhenSent(t *testing.T) {
	c := qt.New(t)
	b, m, g := startTestbed()
	g.rate, g.rateWeight, g.rateUpdatedAt = 100_000, 1, b.steady
	m.syncStore(context.Background(), true)
	g.rate = 1_000
	b.store.SetOutcome(func(store.Txn) memstore.Outcome { return memstore.Delayed })
	m.syncStore(context.Background(), true)
	c.Assert(m.readRecords(context.Background()), qt.IsTrue)
	c.Assert(g.allowance.Ceiling, qt.Equals, int64(initialCeilingShare*1_000_000))
}

// Guards against allowances that shrink during an outage because requests wait.
func TestOutageLowersNoAllowance(t *testing.T) {
	c := qt.New(t)
	b, m, g := startTestbed()
	g.rate, g.rateWeight, g.rateUpdatedAt = 50_000, 1, b.steady
	m.syncStore(context.Background(), true)
	rate, ceiling := g.allowance.OutageRate, g.allowance.Ceiling
	b.store.SetDown(true)
	m.syncStore(context.Background(), true)
	g.rate = 0
	m.syncStore(context.Background(), true)
	c.Assert(g.allowance.OutageRate, qt.Equals, rate)
	c.Assert(g.allowance.Ceiling, qt.Equals, ceiling)
}

// Guards against a negative grant, which makes the record unreadable.
func TestBorrowedTokensGiveNoNegativeGrant(t *testing.T) {
	c := qt.New(t)
	b, m, _ := startTestbed()
	b.home = "elsewhere"
	m.grant("boatyard").borrowed = 5_000
	m.syncStore(context.Background(), true)
	m.syncStore(context.Background(), true)
	c.Assert(storedLedger(c, b).Allowances["boatyard"].Ceiling >= 0, qt.IsTrue)
	c.Assert(b.accountRecord(c).GrantEntry("vm", "p1").Granted >= 0, qt.IsTrue)
}

// Guards against refusals while a store takes half a second for a write.
func TestSlowStoreRaisesCeilingAndTimeout(t *testing.T) {
	c := qt.New(t)
	b, m, g := startTestbed()
	g.rate, g.rateWeight, g.rateUpdatedAt = 100_000, 1, b.steady
	m.updateRoundTrip(500 * time.Millisecond)
	m.syncStore(context.Background(), true)
	c.Assert(storedLedger(c, b).Allowances["boatyard"].Ceiling, qt.Equals, int64(100_000*(minCeilingHeadroom.Seconds()+1)))
	c.Assert(m.drawTimeout() > 500*time.Millisecond, qt.IsTrue)
	for range 30 {
		m.updateRoundTrip(5 * time.Millisecond)
	}
	g.rate, g.rateUpdatedAt = 100_000, b.steady
	m.syncStore(context.Background(), true)
	c.Assert(m.drawTimeout(), qt.Equals, minDrawTimeout)
	c.Assert(storedLedger(c, b).Allowances["boatyard"].Ceiling < int64(100_000*(minCeilingHeadroom.Seconds()+0.1)), qt.IsTrue)
}

// Guards against paid writes by routers that hold no tokens any more.
func TestNoLedgerAfterGrantIsUsed(t *testing.T) {
	c := qt.New(t)
	b, m, g := startTestbed()
	g.spent = g.allowance.Ceiling
	b.home = "elsewhere"
	m.syncStore(context.Background(), true) // returns what is above the ceiling
	c.Assert(g.granted, qt.Equals, g.spent)
	_, due := m.plan(true)
	c.Assert(due, qt.IsFalse)
	c.Assert(m.idle, qt.IsTrue)
	g.spent -= int64(minFreeableShare * 1_000_000)
	_, due = m.plan(true)
	c.Assert(due, qt.IsFalse, qt.Commentf("this much is held between requests"))
	g.spent--
	_, due = m.plan(true)
	c.Assert(due, qt.IsTrue, qt.Commentf("a successor must be able to free it"))
}

// Guards against paid calls in quick succession to a store that refuses them.
func TestOutagePauses(t *testing.T) {
	c := qt.New(t)
	_, m, _ := startTestbed()
	pauses := func(idle bool) []time.Duration {
		m.storeDown, m.idle = false, idle
		list := []time.Duration{m.nextPause()}
		m.storeDown = true
		for range 4 {
			list = append(list, m.nextPause())
		}
		return list
	}
	c.Assert(pauses(false), qt.DeepEquals, []time.Duration{syncPause, minOutagePause, maxOutagePause, maxOutagePause, maxOutagePause})
	c.Assert(pauses(true), qt.DeepEquals, []time.Duration{syncPause, minOutagePause, idleOutagePause, idleOutagePause, idleOutagePause})
}

// Guards against higher ceilings after an outage because a write timed out in it.
func TestTimeoutDoesNotCountAsSlowWrite(t *testing.T) {
	c := qt.New(t)
	b, m, g := startTestbed()
	g.rate, g.rateWeight, g.rateUpdatedAt = 100_000, 1, b.steady
	m.syncStore(context.Background(), true)
	usual := g.allowance.Ceiling
	b.store.SetOutcome(func(store.Txn) memstore.Outcome {
		b.steady += callTimeout
		return memstore.ResponseLost
	})
	m.syncStore(context.Background(), true)
	b.store.SetOutcome(func(store.Txn) memstore.Outcome { return memstore.Answered })
	g.rateUpdatedAt = b.steady // keeps the rate from falling
	m.syncStore(context.Background(), true)
	c.Assert(m.isStoreDown(), qt.IsFalse)
	c.Assert(g.allowance.Ceiling <= usual, qt.IsTrue, qt.Commentf("%d, usually %d", g.allowance.Ceiling, usual))
}

// Guards against homes that crash one after the other and lose the rest of a budget.
func TestInitialCeilingIsShareOfRemainingBudget(t *testing.T) {
	c := qt.New(t)
	b := newTestbed(1_000_000)
	b.store.Put("budget/account/boatyard", newRecord().WithEntry("other-vm", "p0", GrantEntry{Seq: 1, Granted: 900_000}, nil).Encode())
	m := b.newManager("p1", noPeers{})
	m.syncStore(context.Background(), true)
	m.syncStore(context.Background(), true)
	ceiling := m.grant("boatyard").allowance.Ceiling
	c.Assert(ceiling > 0 && ceiling <= int64(initialCeilingShare*100_000), qt.IsTrue, qt.Commentf("%d", ceiling))
}
