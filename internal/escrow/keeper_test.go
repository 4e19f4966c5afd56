package escrow

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/store/memstore"
)

// bench is one keeper on a store, with a clock that only the test moves.
type bench struct {
	store  *memstore.Store
	steady time.Duration
	paid   map[string]int64
	home   string // of the account; empty: this router
}

func newBench(paid int64) *bench {
	b := &bench{paid: map[string]int64{"boatyard": paid}}
	b.store = memstore.New(func() time.Time { return time.Unix(0, 0).Add(b.steady) })
	return b
}

func (b *bench) keeper(incarnation string, peers Peers) *GrantManager {
	return New(Options{
		Store: b.store, Prefix: "budget/", VM: "vm", Address: "vm", Incarnation: incarnation,
		Budgets: func() map[string]int64 { return b.paid }, Log: event.Discard(),
		Clock: func() ClockReading { return ClockReading{Boot: "boot", Steady: b.steady, Wall: noon.Add(b.steady)} },
		Home:  func(string) string { return b.home }, Holders: func(string) []string { return []string{b.home} }, Peers: peers,
	})
}

// startedBench is a bench whose keeper holds the account's first grant.
func startedBench() (*bench, *GrantManager, *grant) {
	b := newBench(1_000_000)
	k := b.keeper("p1", noPeers{})
	k.syncStore(context.Background(), true)
	return b, k, k.grant("boatyard")
}

func (b *bench) record(c *qt.C) Record {
	snapshot, err := b.store.Read(context.Background(), "budget/account/boatyard")
	c.Assert(err, qt.IsNil)
	c.Assert(snapshot.Items, qt.HasLen, 1)
	record, err := DecodeRecord(snapshot.Items[0].Value)
	c.Assert(err, qt.IsNil)
	return record
}

// Guards against a first caller that waits for a draw.
func TestFirstGrantComesBeforeTheFirstRequest(t *testing.T) {
	c := qt.New(t)
	_, k, _ := startedBench()
	reservation, err := k.Reserve(context.Background(), "boatyard", 9_000)
	c.Assert(err, qt.IsNil)
	reservation.Settle(5_000)
	reservation.Settle(9_000)
	c.Assert(k.grant("boatyard").spent, qt.Equals, int64(5_000), qt.Commentf("only the first settlement counts"))
}

// Guards against losing with a process what it could not have used.
func TestSuccessorFreesWhatWasOutOfReach(t *testing.T) {
	c := qt.New(t)
	b := newBench(1_000_000)
	b.keeper("p1", noPeers{}).syncStore(context.Background(), true)
	c.Assert(b.record(c).TotalGranted() >= 200_000, qt.IsTrue)

	b.steady += time.Second
	b.keeper("p2", noPeers{}).syncStore(context.Background(), true)
	c.Assert(b.record(c).Closed <= int64(initialCeilingShare*1_000_000), qt.IsTrue, qt.Commentf("closed %d", b.record(c).Closed))
}

// Guards against grants that nobody frees because the account's home has moved.
func TestSuccessorFreesAlsoWhereItIsNotHome(t *testing.T) {
	c := qt.New(t)
	b := newBench(1_000_000)
	b.keeper("p1", noPeers{}).syncStore(context.Background(), true)
	granted := b.record(c).TotalGranted()
	b.home = "elsewhere"
	b.steady += time.Second
	b.keeper("p2", noPeers{}).syncStore(context.Background(), true)
	c.Assert(b.record(c).TotalGranted() < granted/10, qt.IsTrue, qt.Commentf("%d of %d", b.record(c).TotalGranted(), granted))
}

// Guards against freeing what a process without contact may have spent.
func TestSuccessorOfAnIsolatedProcessFreesNothing(t *testing.T) {
	c := qt.New(t)
	b := newBench(1_000_000)
	b.keeper("p1", noPeers{}).syncStore(context.Background(), true)
	granted := b.record(c).TotalGranted()

	b.steady += 5 * time.Minute
	b.keeper("p2", noPeers{}).syncStore(context.Background(), true)
	c.Assert(b.record(c).Closed, qt.Equals, granted)
}

// Guards against losing a whole grant by a death right after an outage.
func TestDeathRightAfterAnOutageDoesNotLoseTheWholeGrant(t *testing.T) {
	c := qt.New(t)
	b, k, _ := startedBench()
	granted := b.record(c).TotalGranted()
	b.steady += 3500 * time.Millisecond
	k.storeDown, k.recordsReadAt = true, b.steady // a write failed; no read has succeeded since
	k.syncStore(context.Background(), true)
	c.Assert(k.storeDown, qt.IsFalse)

	b.steady += time.Second
	b.keeper("p2", noPeers{}).syncStore(context.Background(), true)
	closed := b.record(c).Closed
	c.Assert(closed < granted/2, qt.IsTrue, qt.Commentf("%d of %d", closed, granted))
}

// Guards against a home that holds nothing for ever since all was granted at its start.
func TestHomeReadsAgainWhileItIsShort(t *testing.T) {
	c := qt.New(t)
	b := newBench(1_000_000)
	all := newRecord().WithEntry("other-vm", "p0", GrantEntry{Seq: 1, Granted: 1_000_000}, nil)
	b.store.Put("budget/account/boatyard", all.Encode())
	k := b.keeper("p1", noPeers{})
	b.steady = time.Hour
	k.syncStore(context.Background(), true)
	c.Assert(k.grant("boatyard").granted, qt.Equals, int64(0))

	b.store.Put("budget/account/boatyard", newRecord().Encode())
	b.steady += readInterval
	k.syncStore(context.Background(), true)
	c.Assert(k.grant("boatyard").granted > 0, qt.IsTrue)
}

// Guards against reads of all records by routers that need no tokens.
func TestRouterThatNeedsNoTokensDoesNotReadAgain(t *testing.T) {
	c := qt.New(t)
	b := newBench(1_000_000)
	b.home = "elsewhere"
	b.store.Put("budget/account/boatyard", newRecord().WithEntry("other-vm", "p0", GrantEntry{Seq: 1, Granted: 1_000_000}, nil).Encode())
	k := b.keeper("p1", noPeers{})
	k.syncStore(context.Background(), true)
	p := k.grant("boatyard")
	p.spent = 5
	b.steady += readInterval
	c.Assert(k.isShort(), qt.IsFalse)
	p.waitingTokens = 1
	c.Assert(k.isShort(), qt.IsTrue)
}

// A planned stop returns all that was not spent.
func TestStopReturnsTheRest(t *testing.T) {
	c := qt.New(t)
	b, k, _ := startedBench()
	reservation, err := k.Reserve(context.Background(), "boatyard", 9_000)
	c.Assert(err, qt.IsNil)
	reservation.Settle(7_000)
	c.Assert(k.ReturnGrants(context.Background()), qt.IsNil)
	c.Assert(b.record(c).TotalGranted(), qt.Equals, int64(7_000))
}

func FuzzDecode(f *testing.F) {
	f.Add(newRecord().WithEntry("vm", "p", GrantEntry{Seq: 1, Granted: 5}, nil).Encode())
	f.Add(Ledger{Format: recordFormat, Incarnation: "p"}.Encode())
	f.Fuzz(func(t *testing.T, data []byte) {
		if record, err := DecodeRecord(data); err == nil {
			_ = record.WithEntry("vm", "new", GrantEntry{}, func(_ string, f GrantEntry) int64 { return f.Granted }).Encode()
		}
		if ledger, err := DecodeLedger(data); err == nil {
			_ = ledger.BoundSpending("a", "p", "vm", 10, ClockReading{}, true)
		}
	})
}

// Guards against spending a grant beyond a budget that was lowered.
func TestLoweredBudgetIsNotSpent(t *testing.T) {
	c := qt.New(t)
	b, k, p := startedBench()
	first, err := k.Reserve(context.Background(), "boatyard", 5_000)
	c.Assert(err, qt.IsNil)
	first.Settle(5_000)
	b.paid["boatyard"] = 6_000
	p.rate, p.rateWeight, p.rateUpdatedAt = 100_000, 1, b.steady // a busy account: its ceiling is high
	k.syncStore(context.Background(), true)
	c.Assert(b.record(c).TotalGranted() <= 6_000, qt.IsTrue, qt.Commentf("%d granted", b.record(c).TotalGranted()))
	c.Assert(p.available(0) <= 1_000, qt.IsTrue, qt.Commentf("%d available", p.available(0)))
}
