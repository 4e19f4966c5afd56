package escrow

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytiller.example/chicorytiller/internal/store"
	"chicorytiller.example/chicorytiller/internal/store/memstore"
)

// Guards against a late ledger of an outage that looks like one of a router in contact.
func TestLedgerOfAnOutageCarriesTheLastContact(t *testing.T) {
	c := qt.New(t)
	b := newBench(1_000_000)
	k := b.keeper("p1", noPeers{})
	b.steady = time.Second
	k.syncStore(context.Background(), true)
	k.storeDown = true
	b.steady = 9 * time.Second
	d, due := k.plan(true)
	c.Assert(due, qt.IsTrue)
	c.Assert(d.ledger.Contact.Steady, qt.Equals, time.Second)
	c.Assert(k.contactAge(), qt.Equals, 8*time.Second)
}

// Guards against a late, older ledger in the place of a newer one.
func TestLateLedgerDoesNotReplaceANewerOne(t *testing.T) {
	c := qt.New(t)
	b, k, _ := startedBench()
	b.store.SetFate(func(store.Txn) memstore.Fate { return memstore.Late })
	b.steady += time.Second
	k.syncStore(context.Background(), true)
	b.store.SetFate(func(store.Txn) memstore.Fate { return memstore.Answered })
	b.steady += 2 * time.Second // the contact lease that the late write is bound to still runs
	k.syncStore(context.Background(), true)
	newest := ledgerOf(c, b)
	b.store.Settle()
	c.Assert(ledgerOf(c, b), qt.DeepEquals, newest)
}

// Guards against spending what an unanswered write gives back.
func TestUnansweredWriteBindsFromItsSending(t *testing.T) {
	c := qt.New(t)
	b, k, p := startedBench()
	rate, ceiling := p.allowance.OutageRate, p.allowance.Ceiling
	c.Assert(p.granted > ceiling, qt.IsTrue)

	b.home, b.paid["boatyard"] = "elsewhere", 500_000
	b.store.SetFate(func(store.Txn) memstore.Fate { return memstore.Late })
	b.steady += time.Second
	k.syncStore(context.Background(), true)
	c.Assert(p.granted, qt.Equals, ceiling)
	c.Assert(p.pendingRevision, qt.Equals, p.revision)
	c.Assert(p.allowance.OutageRate < rate, qt.IsTrue)
}

func ledgerOf(c *qt.C, b *bench) Ledger {
	snapshot, err := b.store.Read(context.Background(), "budget/router/vm")
	c.Assert(err, qt.IsNil)
	ledger, err := DecodeLedger(snapshot.Items[0].Value)
	c.Assert(err, qt.IsNil)
	return ledger
}

// Guards against deaths that lose a ceiling of a busier time.
func TestCeilingFollowsTheUseDown(t *testing.T) {
	c := qt.New(t)
	b, k, p := startedBench()
	p.rate, p.rateWeight, p.rateUpdatedAt = 100_000, 1, b.steady // a busy time
	k.syncStore(context.Background(), true)
	busy := ledgerOf(c, b).Allowances["boatyard"].Ceiling
	c.Assert(busy, qt.Equals, int64(100_000*minCeilingHeadroom.Seconds()))
	p.rate = 1_000
	k.syncStore(context.Background(), true)
	calm := ledgerOf(c, b).Allowances["boatyard"].Ceiling
	c.Assert(calm, qt.Equals, int64(initialCeilingShare*1_000_000))
	c.Assert(p.allowance.Ceiling, qt.Equals, calm)
}

// Guards against spending above a lower ceiling whose write is not answered.
func TestLowerCeilingBindsFromItsSending(t *testing.T) {
	c := qt.New(t)
	b, k, p := startedBench()
	p.rate, p.rateWeight, p.rateUpdatedAt = 100_000, 1, b.steady
	k.syncStore(context.Background(), true)
	p.rate = 1_000
	b.store.SetFate(func(store.Txn) memstore.Fate { return memstore.Late })
	k.syncStore(context.Background(), true)
	c.Assert(k.readRecords(context.Background()), qt.IsTrue)
	c.Assert(p.allowance.Ceiling, qt.Equals, int64(initialCeilingShare*1_000_000))
}

// Guards against outages in which less and less may be spent because requests wait.
func TestOutageLowersNeitherPaceNorCeiling(t *testing.T) {
	c := qt.New(t)
	b, k, p := startedBench()
	p.rate, p.rateWeight, p.rateUpdatedAt = 50_000, 1, b.steady
	k.syncStore(context.Background(), true)
	rate, ceiling := p.allowance.OutageRate, p.allowance.Ceiling
	b.store.SetDown(true)
	k.syncStore(context.Background(), true)
	p.rate = 0
	k.syncStore(context.Background(), true)
	c.Assert(p.allowance.OutageRate, qt.Equals, rate)
	c.Assert(p.allowance.Ceiling, qt.Equals, ceiling)
}

// Guards against a negative grant, with which nobody can read the record any more.
func TestBorrowedTokensMakeNoNegativeGrant(t *testing.T) {
	c := qt.New(t)
	b, k, _ := startedBench()
	b.home = "elsewhere"
	k.grant("boatyard").borrowed = 5_000
	k.syncStore(context.Background(), true)
	k.syncStore(context.Background(), true)
	c.Assert(ledgerOf(c, b).Allowances["boatyard"].Ceiling >= 0, qt.IsTrue)
	c.Assert(b.record(c).GrantEntry("vm", "p1").Granted >= 0, qt.IsTrue)
}

// Guards against refusals while a store takes half a second for a write.
func TestSlowStoreIsAllowedFor(t *testing.T) {
	c := qt.New(t)
	b, k, p := startedBench()
	p.rate, p.rateWeight, p.rateUpdatedAt = 100_000, 1, b.steady
	k.noteRoundTrip(500 * time.Millisecond)
	k.syncStore(context.Background(), true)
	c.Assert(ledgerOf(c, b).Allowances["boatyard"].Ceiling, qt.Equals, int64(100_000*(minCeilingHeadroom.Seconds()+1)))
	c.Assert(k.drawTimeout() > 500*time.Millisecond, qt.IsTrue)
	for range 30 {
		k.noteRoundTrip(5 * time.Millisecond)
	}
	p.rate, p.rateUpdatedAt = 100_000, b.steady
	k.syncStore(context.Background(), true)
	c.Assert(k.drawTimeout(), qt.Equals, minDrawTimeout)
	c.Assert(ledgerOf(c, b).Allowances["boatyard"].Ceiling < int64(100_000*(minCeilingHeadroom.Seconds()+0.1)), qt.IsTrue)
}

// Guards against paid writes by routers that hold nothing any more.
func TestRouterThatUsedItsGrantWritesNoLedger(t *testing.T) {
	c := qt.New(t)
	b, k, p := startedBench()
	p.spent = p.allowance.Ceiling
	b.home = "elsewhere"
	k.syncStore(context.Background(), true) // returns what is above the ceiling
	c.Assert(p.granted, qt.Equals, p.spent)
	_, due := k.plan(true)
	c.Assert(due, qt.IsFalse)
	c.Assert(k.idle, qt.IsTrue)
	p.spent -= int64(minFreeableShare * 1_000_000)
	_, due = k.plan(true)
	c.Assert(due, qt.IsFalse, qt.Commentf("so much comes and goes with each request"))
	p.spent--
	_, due = k.plan(true)
	c.Assert(due, qt.IsTrue, qt.Commentf("a successor must be able to free it"))
}

// Guards against paid calls without pause to a store that refuses.
func TestAbsentStoreIsAskedLessAndLess(t *testing.T) {
	c := qt.New(t)
	_, k, _ := startedBench()
	pauses := func(idle bool) []time.Duration {
		k.storeDown, k.idle = false, idle
		list := []time.Duration{k.nextPause()}
		k.storeDown = true
		for range 4 {
			list = append(list, k.nextPause())
		}
		return list
	}
	c.Assert(pauses(false), qt.DeepEquals, []time.Duration{syncPause, minOutagePause, maxOutagePause, maxOutagePause, maxOutagePause})
	c.Assert(pauses(true), qt.DeepEquals, []time.Duration{syncPause, minOutagePause, idleOutagePause, idleOutagePause, idleOutagePause})
}

// Guards against higher ceilings after an outage because a write ran out in it.
func TestCallThatRanOutIsNoSlowWrite(t *testing.T) {
	c := qt.New(t)
	b, k, p := startedBench()
	p.rate, p.rateWeight, p.rateUpdatedAt = 100_000, 1, b.steady
	k.syncStore(context.Background(), true)
	usual := p.allowance.Ceiling
	b.store.SetFate(func(store.Txn) memstore.Fate {
		b.steady += callTimeout
		return memstore.Lost
	})
	k.syncStore(context.Background(), true)
	b.store.SetFate(func(store.Txn) memstore.Fate { return memstore.Answered })
	p.rateUpdatedAt = b.steady // no time for the rate to fall
	k.syncStore(context.Background(), true)
	c.Assert(k.isStoreDown(), qt.IsFalse)
	c.Assert(p.allowance.Ceiling <= usual, qt.IsTrue, qt.Commentf("%d, usually %d", p.allowance.Ceiling, usual))
}

// Guards against homes that die one after the other and take the end of a budget.
func TestFirstCeilingIsAPartOfWhatIsLeft(t *testing.T) {
	c := qt.New(t)
	b := newBench(1_000_000)
	b.store.Put("budget/account/boatyard", newRecord().WithEntry("other-vm", "p0", GrantEntry{Seq: 1, Granted: 900_000}, nil).Encode())
	k := b.keeper("p1", noPeers{})
	k.syncStore(context.Background(), true)
	k.syncStore(context.Background(), true)
	ceiling := k.grant("boatyard").allowance.Ceiling
	c.Assert(ceiling > 0 && ceiling <= int64(initialCeilingShare*100_000), qt.IsTrue, qt.Commentf("%d", ceiling))
}
