package escrow

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytiller.example/chicorytiller/internal/store"
	"chicorytiller.example/chicorytiller/internal/store/memstore"
)

// What a router writes while it holds the store for away may land before it learns
// that. It spends beyond its ceilings until then, so the write must not look like
// one of a router in contact.
func TestLedgerOfAnOutageCarriesTheLastContact(t *testing.T) {
	c := qt.New(t)
	b := newBench(1_000_000)
	k := b.keeper("p1", noPeers{})
	b.steady = time.Second
	k.round(context.Background(), true)
	k.away = true
	b.steady = 9 * time.Second
	d, due := k.plan(true)
	c.Assert(due, qt.IsTrue)
	c.Assert(d.ledger.Contact.Steady, qt.Equals, time.Second)
	c.Assert(k.age(), qt.Equals, 8*time.Second)
}

// A ledger write is answered by nothing and done seconds later. It must not put an
// older ledger in the place of a newer one.
func TestLateLedgerDoesNotReplaceANewerOne(t *testing.T) {
	c := qt.New(t)
	b, k, _ := startedBench()
	b.store.SetFate(func(store.Txn) memstore.Fate { return memstore.Late })
	b.steady += time.Second
	k.round(context.Background(), true)
	b.store.SetFate(func(store.Txn) memstore.Fate { return memstore.Answered })
	b.steady += 2 * time.Second // the contact lease that the late write is bound to still runs
	k.round(context.Background(), true)
	newest := ledgerOf(c, b)
	b.store.Settle()
	c.Assert(ledgerOf(c, b), qt.DeepEquals, newest)
}

// A router that is home no more gives back what lies above its ceiling. The write
// is not answered and may land at any time, so from its sending on the router uses
// neither the tokens nor an outage rate above the lower one that it stated.
func TestUnansweredWriteBindsFromItsSending(t *testing.T) {
	c := qt.New(t)
	b, k, p := startedBench()
	rate, ceiling := p.allowed.OutageRate, p.allowed.Ceiling
	c.Assert(p.granted > ceiling, qt.IsTrue)

	b.home, b.paid["boatyard"] = "elsewhere", 500_000
	b.store.SetFate(func(store.Txn) memstore.Fate { return memstore.Late })
	b.steady += time.Second
	k.round(context.Background(), true)
	c.Assert(p.granted, qt.Equals, ceiling)
	c.Assert(p.pendingAt, qt.Equals, p.revision)
	c.Assert(p.allowed.OutageRate < rate, qt.IsTrue)
}

func ledgerOf(c *qt.C, b *bench) Ledger {
	snapshot, err := b.store.Read(context.Background(), "budget/router/vm")
	c.Assert(err, qt.IsNil)
	ledger, err := DecodeLedger(snapshot.Items[0].Value)
	c.Assert(err, qt.IsNil)
	return ledger
}

// An account's use falls after a busy time. With the next ledger its ceiling comes down
// too, so that a death then loses little: what it was in the busy time would be lost.
func TestCeilingFollowsTheUseDown(t *testing.T) {
	c := qt.New(t)
	b, k, p := startedBench()
	p.rate, p.weight, p.rateAt = 100_000, 1, b.steady // a busy time
	k.round(context.Background(), true)
	busy := ledgerOf(c, b).Allowances["boatyard"].Ceiling
	c.Assert(busy, qt.Equals, int64(100_000*aheadLeast.Seconds()))
	p.rate = 1_000
	k.round(context.Background(), true)
	calm := ledgerOf(c, b).Allowances["boatyard"].Ceiling
	c.Assert(calm, qt.Equals, int64(firstCeiling*1_000_000))
	c.Assert(p.allowed.Ceiling, qt.Equals, calm)
}

// A write that lowers a ceiling is not answered. It may land at any time, so the router
// holds itself to the lower one from its sending on, also after it read the old one.
func TestLowerCeilingBindsFromItsSending(t *testing.T) {
	c := qt.New(t)
	b, k, p := startedBench()
	p.rate, p.weight, p.rateAt = 100_000, 1, b.steady
	k.round(context.Background(), true)
	p.rate = 1_000
	b.store.SetFate(func(store.Txn) memstore.Fate { return memstore.Late })
	k.round(context.Background(), true)
	c.Assert(k.read(context.Background()), qt.IsTrue)
	c.Assert(p.allowed.Ceiling, qt.Equals, int64(firstCeiling*1_000_000))
}

// In an outage requests wait or are refused, so the use that is seen falls. What may be
// spent out of contact must not fall with it, or it never recovers.
func TestOutageLowersNeitherPaceNorCeiling(t *testing.T) {
	c := qt.New(t)
	b, k, p := startedBench()
	p.rate, p.weight, p.rateAt = 50_000, 1, b.steady
	k.round(context.Background(), true)
	rate, ceiling := p.allowed.OutageRate, p.allowed.Ceiling
	b.store.SetDown(true)
	k.round(context.Background(), true)
	p.rate = 0
	k.round(context.Background(), true)
	c.Assert(p.allowed.OutageRate, qt.Equals, rate)
	c.Assert(p.allowed.Ceiling, qt.Equals, ceiling)
}

// A router that is no longer the account's home holds idle tokens that it borrowed, so
// that by its own grant it has used less than nothing. What it gives back must not make
// its grant negative: nobody could read the record any more.
func TestBorrowedTokensMakeNoNegativeGrant(t *testing.T) {
	c := qt.New(t)
	b, k, _ := startedBench()
	b.home = "elsewhere"
	k.grant("boatyard").borrowed = 5_000
	k.round(context.Background(), true)
	k.round(context.Background(), true)
	c.Assert(ledgerOf(c, b).Allowances["boatyard"].Ceiling >= 0, qt.IsTrue)
	c.Assert(b.record(c).Figure("vm", "p1").Granted >= 0, qt.IsTrue)
}

// The store answers, but takes half a second. Ceilings reach as much further as is used
// meanwhile, and reservations wait for the write that covers them; both come down again
// once the store is well.
func TestSlowStoreIsAllowedFor(t *testing.T) {
	c := qt.New(t)
	b, k, p := startedBench()
	p.rate, p.weight, p.rateAt = 100_000, 1, b.steady
	k.noteRoundTrip(500 * time.Millisecond)
	k.round(context.Background(), true)
	c.Assert(ledgerOf(c, b).Allowances["boatyard"].Ceiling, qt.Equals, int64(100_000*(aheadLeast.Seconds()+1)))
	c.Assert(k.patience() > 500*time.Millisecond, qt.IsTrue)
	for range 30 {
		k.noteRoundTrip(5 * time.Millisecond)
	}
	p.rate, p.rateAt = 100_000, b.steady
	k.round(context.Background(), true)
	c.Assert(k.patience(), qt.Equals, drawPatience)
	c.Assert(ledgerOf(c, b).Allowances["boatyard"].Ceiling < int64(100_000*(aheadLeast.Seconds()+0.1)), qt.IsTrue)
}

// A router once drew for itself, since the account's home was out of reach, and has used
// all of it. In a large fleet many have after each cut; if each wrote a ledger several times
// a second from then on, that would cost more calls to the store than all else.
func TestRouterThatUsedItsGrantWritesNoLedger(t *testing.T) {
	c := qt.New(t)
	b, k, p := startedBench()
	p.spent = p.allowed.Ceiling
	b.home = "elsewhere"
	k.round(context.Background(), true) // returns what is above the ceiling
	c.Assert(p.granted, qt.Equals, p.spent)
	_, due := k.plan(true)
	c.Assert(due, qt.IsFalse)
	c.Assert(k.idle, qt.IsTrue)
	p.spent -= int64(worthFreeing * 1_000_000)
	_, due = k.plan(true)
	c.Assert(due, qt.IsFalse, qt.Commentf("so much comes and goes with each request"))
	p.spent--
	_, due = k.plan(true)
	c.Assert(due, qt.IsTrue, qt.Commentf("a successor must be able to free it"))
}

// The store refuses a router for seconds, and is paid for each call. A router that holds
// grants asks at the latest each half second, one that holds nothing each second.
func TestAbsentStoreIsAskedLessAndLess(t *testing.T) {
	c := qt.New(t)
	_, k, _ := startedBench()
	pauses := func(idle bool) []time.Duration {
		k.away, k.idle = false, idle
		list := []time.Duration{k.pause()}
		k.away = true
		for range 4 {
			list = append(list, k.pause())
		}
		return list
	}
	c.Assert(pauses(false), qt.DeepEquals, []time.Duration{roundPause, awayPause, awayMost, awayMost, awayMost})
	c.Assert(pauses(true), qt.DeepEquals, []time.Duration{roundPause, awayPause, idlePause, idlePause, idlePause})
}

// A write of the ledger runs out in an outage. The store is not slow by that: right after the
// outage the ceiling is no higher than usual, or a loss of all power then loses a second of
// use more.
func TestCallThatRanOutIsNoSlowWrite(t *testing.T) {
	c := qt.New(t)
	b, k, p := startedBench()
	p.rate, p.weight, p.rateAt = 100_000, 1, b.steady
	k.round(context.Background(), true)
	usual := p.allowed.Ceiling
	b.store.SetFate(func(store.Txn) memstore.Fate {
		b.steady += callTimeout
		return memstore.Lost
	})
	k.round(context.Background(), true)
	b.store.SetFate(func(store.Txn) memstore.Fate { return memstore.Answered })
	p.rateAt = b.steady // no time for the rate to fall
	k.round(context.Background(), true)
	c.Assert(k.isAway(), qt.IsFalse)
	c.Assert(p.allowed.Ceiling <= usual, qt.IsTrue, qt.Commentf("%d, usually %d", p.allowed.Ceiling, usual))
}

// Homes move while a budget comes to its end, and each new one states a first ceiling before
// it has seen any use. That is a part of what is left: of the whole budget, a few homes that
// died would have taken what all who still come need.
func TestFirstCeilingIsAPartOfWhatIsLeft(t *testing.T) {
	c := qt.New(t)
	b := newBench(1_000_000)
	b.store.Put("budget/account/boatyard", newRecord().With("other-vm", "p0", Figure{Seq: 1, Granted: 900_000}, nil).Encode())
	k := b.keeper("p1", noPeers{})
	k.round(context.Background(), true)
	k.round(context.Background(), true)
	ceiling := k.grant("boatyard").allowed.Ceiling
	c.Assert(ceiling > 0 && ceiling <= int64(firstCeiling*100_000), qt.IsTrue, qt.Commentf("%d", ceiling))
}
