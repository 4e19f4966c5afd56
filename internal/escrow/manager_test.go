package escrow

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/store/memstore"
)

// testbed runs one GrantManager on an in-memory store, with a clock that only the test
// advances.
type testbed struct {
	store   *memstore.Store
	steady  time.Duration
	prepaid map[string]int64
	home    string // address of the account's home; empty: this router
}

func newTestbed(prepaid int64) *testbed {
	b := &testbed{prepaid: map[string]int64{"boatyard": prepaid}}
	b.store = memstore.New(func() time.Time { return time.Unix(0, 0).Add(b.steady) })
	return b
}

func (b *testbed) newManager(incarnation string, peers Peers) *GrantManager {
	return New(Options{
		Store: b.store, Prefix: "budget/", VM: "vm", Address: "vm", Incarnation: incarnation,
		Budgets: func() map[string]int64 { return b.prepaid }, Log: event.Discard(),
		Clock: func() ClockReading { return ClockReading{Boot: "boot", Steady: b.steady, Wall: noon.Add(b.steady)} },
		Home:  func(string) string { return b.home }, Holders: func(string) []string { return []string{b.home} }, Peers: peers,
	})
}

// startTestbed returns a testbed whose GrantManager has drawn the account's first grant.
func startTestbed() (*testbed, *GrantManager, *grant) {
	b := newTestbed(1_000_000)
	m := b.newManager("p1", noPeers{})
	m.syncStore(context.Background(), true)
	return b, m, m.grant("boatyard")
}

func (b *testbed) accountRecord(c *qt.C) Record {
	snapshot, err := b.store.Read(context.Background(), "budget/account/boatyard")
	c.Assert(err, qt.IsNil)
	c.Assert(snapshot.Items, qt.HasLen, 1)
	record, err := DecodeRecord(snapshot.Items[0].Value)
	c.Assert(err, qt.IsNil)
	return record
}

// Guards against a first request that waits for a draw.
func TestFirstGrantPrecedesFirstRequest(t *testing.T) {
	c := qt.New(t)
	_, m, _ := startTestbed()
	reservation, err := m.Reserve(context.Background(), "boatyard", 9_000, 0)
	c.Assert(err, qt.IsNil)
	reservation.Settle(5_000)
	reservation.Settle(9_000)
	c.Assert(m.grant("boatyard").spent, qt.Equals, int64(5_000), qt.Commentf("only the first settlement counts"))
}

// Guards against losing tokens that a dead process could not have used.
func TestSuccessorFreesUnspendableTokens(t *testing.T) {
	c := qt.New(t)
	b := newTestbed(1_000_000)
	b.newManager("p1", noPeers{}).syncStore(context.Background(), true)
	c.Assert(b.accountRecord(c).TotalGranted() >= 200_000, qt.IsTrue)

	b.steady += time.Second
	b.newManager("p2", noPeers{}).syncStore(context.Background(), true)
	c.Assert(b.accountRecord(c).Closed <= int64(initialCeilingShare*1_000_000), qt.IsTrue, qt.Commentf("closed %d", b.accountRecord(c).Closed))
}

// Guards against grants that are never freed because the account's home has moved.
func TestSuccessorFreesGrantWhenNotHome(t *testing.T) {
	c := qt.New(t)
	b := newTestbed(1_000_000)
	b.newManager("p1", noPeers{}).syncStore(context.Background(), true)
	granted := b.accountRecord(c).TotalGranted()
	b.home = "elsewhere"
	b.steady += time.Second
	b.newManager("p2", noPeers{}).syncStore(context.Background(), true)
	c.Assert(b.accountRecord(c).TotalGranted() < granted/10, qt.IsTrue, qt.Commentf("%d of %d", b.accountRecord(c).TotalGranted(), granted))
}

// Guards against freeing tokens that a process out of contact may have spent.
func TestSuccessorOfIsolatedProcessFreesNothing(t *testing.T) {
	c := qt.New(t)
	b := newTestbed(1_000_000)
	b.newManager("p1", noPeers{}).syncStore(context.Background(), true)
	granted := b.accountRecord(c).TotalGranted()

	b.steady += 5 * time.Minute
	b.newManager("p2", noPeers{}).syncStore(context.Background(), true)
	c.Assert(b.accountRecord(c).Closed, qt.Equals, granted)
}

// Guards against losing a whole grant when the router crashes right after an outage.
func TestCrashAfterOutageKeepsMostOfGrant(t *testing.T) {
	c := qt.New(t)
	b, m, _ := startTestbed()
	granted := b.accountRecord(c).TotalGranted()
	b.steady += 3500 * time.Millisecond
	m.storeDown, m.recordsReadAt = true, b.steady // a write failed; no read has succeeded since
	m.syncStore(context.Background(), true)
	c.Assert(m.storeDown, qt.IsFalse)

	b.steady += time.Second
	b.newManager("p2", noPeers{}).syncStore(context.Background(), true)
	closed := b.accountRecord(c).Closed
	c.Assert(closed < granted/2, qt.IsTrue, qt.Commentf("%d of %d", closed, granted))
}

// Guards against a home that never draws because the whole budget was granted when it
// started.
func TestHomeRereadsRecordsWhileShort(t *testing.T) {
	c := qt.New(t)
	b := newTestbed(1_000_000)
	fullyGranted := newRecord().WithEntry("other-vm", "p0", GrantEntry{Seq: 1, Granted: 1_000_000}, nil)
	b.store.Put("budget/account/boatyard", fullyGranted.Encode())
	m := b.newManager("p1", noPeers{})
	b.steady = time.Hour
	m.syncStore(context.Background(), true)
	c.Assert(m.grant("boatyard").granted, qt.Equals, int64(0))

	b.store.Put("budget/account/boatyard", newRecord().Encode())
	b.steady += readInterval
	m.syncStore(context.Background(), true)
	c.Assert(m.grant("boatyard").granted > 0, qt.IsTrue)
}

// Guards against reads of all records by routers that need no tokens.
func TestNoRereadWithoutNeed(t *testing.T) {
	c := qt.New(t)
	b := newTestbed(1_000_000)
	b.home = "elsewhere"
	b.store.Put("budget/account/boatyard", newRecord().WithEntry("other-vm", "p0", GrantEntry{Seq: 1, Granted: 1_000_000}, nil).Encode())
	m := b.newManager("p1", noPeers{})
	m.syncStore(context.Background(), true)
	g := m.grant("boatyard")
	g.spent = 5
	b.steady += readInterval
	c.Assert(m.isShort(), qt.IsFalse)
	g.waitingTokens = 1
	c.Assert(m.isShort(), qt.IsTrue)
}

func TestReturnGrantsReturnsUnspentTokens(t *testing.T) {
	c := qt.New(t)
	b, m, _ := startTestbed()
	reservation, err := m.Reserve(context.Background(), "boatyard", 9_000, 0)
	c.Assert(err, qt.IsNil)
	reservation.Settle(7_000)
	c.Assert(m.ReturnGrants(context.Background()), qt.IsNil)
	c.Assert(b.accountRecord(c).TotalGranted(), qt.Equals, int64(7_000))
}

func FuzzDecode(f *testing.F) {
	f.Add(newRecord().WithEntry("vm", "p", GrantEntry{Seq: 1, Granted: 5}, nil).Encode())
	f.Add(Ledger{Format: ledgerFormat, Incarnation: "p"}.Encode())
	f.Fuzz(func(t *testing.T, data []byte) {
		if record, err := DecodeRecord(data); err == nil {
			_ = record.WithEntry("vm", "new", GrantEntry{}, func(_ string, f GrantEntry) int64 { return f.Granted }).Encode()
		}
		if ledger, err := DecodeLedger(data); err == nil {
			_ = ledger.BoundSpending("a", "p", "vm", 10, ClockReading{}, true)
		}
	})
}

// Guards against spending more than a budget that was lowered.
func TestLoweredBudgetIsNotOverspent(t *testing.T) {
	c := qt.New(t)
	b, m, g := startTestbed()
	first, err := m.Reserve(context.Background(), "boatyard", 5_000, 0)
	c.Assert(err, qt.IsNil)
	first.Settle(5_000)
	b.prepaid["boatyard"] = 6_000
	g.rate, g.rateWeight, g.rateUpdatedAt = 100_000, 1, b.steady // a busy account: its ceiling is high
	m.syncStore(context.Background(), true)
	c.Assert(b.accountRecord(c).TotalGranted() <= 6_000, qt.IsTrue, qt.Commentf("%d granted", b.accountRecord(c).TotalGranted()))
	c.Assert(g.available(0) <= 1_000, qt.IsTrue, qt.Commentf("%d available", g.available(0)))
}

// Guards against a negative grant of a router that only borrowed, which would make the record of a lowered
// budget unreadable for all routers.
func TestLoweredBudgetLeavesNoNegativeGrant(t *testing.T) {
	for _, granted := range []int64{0, 300, 2_000} {
		g := newGrant("boatyard")
		g.granted, g.spent, g.borrowed = granted, 100, 300
		g.record.Closed = 9_000
		g.record.Entries["vm"] = map[string]GrantEntry{"p1": {Seq: 1, Granted: granted}}
		next, due := g.plan(8_500, borrower, refillThreshold)
		qt.Check(t, next >= 0, qt.IsTrue, qt.Commentf("%d granted before, %d after", granted, next))
		qt.Check(t, due, qt.Equals, next < granted)
	}
}

// Guards against an account that can't be used any more once a router of an older build has stored a negative
// grant.
func TestStoredNegativeGrantCountsAsNone(t *testing.T) {
	c := qt.New(t)
	record := newRecord()
	record.Closed = 1_000
	record.Entries["vm"] = map[string]GrantEntry{"p1": {Seq: 3, Granted: -200, Spent: -500}}
	decoded, err := DecodeRecord(record.Encode())
	c.Assert(err, qt.IsNil)
	c.Assert(decoded.GrantEntry("vm", "p1"), qt.Equals, GrantEntry{Seq: 3, Granted: 0, Spent: -500})
	c.Assert(decoded.TotalGranted(), qt.Equals, int64(1_000))
}
