package escrow

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/store"
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

func (b *bench) keeper(incarnation string, peers Peers) *Keeper {
	return New(Options{
		Store: b.store, Prefix: "budget/", VM: "vm", Address: "vm", Incarnation: incarnation,
		Budgets: func() map[string]int64 { return b.paid }, Log: event.Discard(),
		Clock: func() Stamp { return Stamp{Boot: "boot", Steady: b.steady, Wall: noon.Add(b.steady)} },
		Home:  func(string) string { return b.home }, Deputy: func(string) string { return "" }, Peers: peers,
	})
}

// startedBench is a bench whose keeper holds the account's first grant.
func startedBench() (*bench, *Keeper, *purse) {
	b := newBench(1_000_000)
	k := b.keeper("p1", noPeers{})
	k.round(context.Background(), true)
	return b, k, k.purse("boatyard")
}

func (b *bench) record(c *qt.C) Record {
	snapshot, err := b.store.Read(context.Background(), "budget/account/boatyard")
	c.Assert(err, qt.IsNil)
	c.Assert(snapshot.Items, qt.HasLen, 1)
	record, err := DecodeRecord(snapshot.Items[0].Value)
	c.Assert(err, qt.IsNil)
	return record
}

// A caller of a budget that nobody used yet is served at once: the router holds a
// part of it before the first request.
func TestFirstGrantComesBeforeTheFirstRequest(t *testing.T) {
	c := qt.New(t)
	b := newBench(1_000_000)
	k := b.keeper("p1", noPeers{})
	k.round(context.Background(), true)
	reservation, err := k.Reserve(context.Background(), "boatyard", 9_000)
	c.Assert(err, qt.IsNil)
	reservation.Settle(5_000)
	reservation.Settle(9_000)
	c.Assert(k.purse("boatyard").spent, qt.Equals, int64(5_000), qt.Commentf("only the first settlement counts"))
}

// A process dies while it is in contact with the store; its successor on the VM has
// all back that lay above the ceiling.
func TestSuccessorFreesWhatWasOutOfReach(t *testing.T) {
	c := qt.New(t)
	b := newBench(1_000_000)
	b.keeper("p1", noPeers{}).round(context.Background(), true)
	c.Assert(b.record(c).Given() >= 200_000, qt.IsTrue)

	b.steady += time.Second
	b.keeper("p2", noPeers{}).round(context.Background(), true)
	c.Assert(b.record(c).Closed <= int64(firstCeiling*1_000_000), qt.IsTrue, qt.Commentf("closed %d", b.record(c).Closed))
}

// A router that holds nothing finds the store away when it needs a draw. It must find
// out by itself that the store is back, or it refuses for ever after.
func TestReturnOfTheStoreIsNoticedWithoutAnyGrant(t *testing.T) {
	c := qt.New(t)
	b := newBench(1_000_000)
	b.home = "elsewhere"
	k := b.keeper("p1", noPeers{})
	k.round(context.Background(), true)
	k.purse("boatyard").waiting = 10
	b.store.SetDown(true)
	k.round(context.Background(), false)
	c.Assert(k.isAway(), qt.IsTrue)
	k.purse("boatyard").waiting = 0
	b.store.SetDown(false)
	k.round(context.Background(), k.isAway())
	c.Assert(k.isAway(), qt.IsFalse)
}

// After a restart of many routers the account has another home, which knows nothing
// of this VM's dead process. Its successor frees the grant all the same.
func TestSuccessorFreesAlsoWhereItIsNotHome(t *testing.T) {
	c := qt.New(t)
	b := newBench(1_000_000)
	b.keeper("p1", noPeers{}).round(context.Background(), true)
	granted := b.record(c).Given()
	b.home = "elsewhere"
	b.steady += time.Second
	b.keeper("p2", noPeers{}).round(context.Background(), true)
	c.Assert(b.record(c).Given() < granted/10, qt.IsTrue, qt.Commentf("%d of %d", b.record(c).Given(), granted))
}

// The same, but the process was out of contact for minutes before it died: all
// that it held may be spent.
func TestSuccessorOfAnIsolatedProcessFreesNothing(t *testing.T) {
	c := qt.New(t)
	b := newBench(1_000_000)
	b.keeper("p1", noPeers{}).round(context.Background(), true)
	granted := b.record(c).Given()

	b.steady += 5 * time.Minute
	b.keeper("p2", noPeers{}).round(context.Background(), true)
	c.Assert(b.record(c).Closed, qt.Equals, granted)
}

// The store is back, and the first thing that a router writes tells of the outage.
// The process dies before it could write another. What it held counts as spent only
// as far as its pace allowed since the last contact, not whole.
func TestDeathRightAfterAnOutageDoesNotLoseTheWholeGrant(t *testing.T) {
	c := qt.New(t)
	b := newBench(1_000_000)
	k := b.keeper("p1", noPeers{})
	k.round(context.Background(), true)
	granted := b.record(c).Given()
	b.steady += 3500 * time.Millisecond
	k.away, k.readAt = true, b.steady // a write failed; no read has succeeded since
	k.round(context.Background(), true)
	c.Assert(k.away, qt.IsFalse)

	b.steady += time.Second
	b.keeper("p2", noPeers{}).round(context.Background(), true)
	closed := b.record(c).Closed
	c.Assert(closed < granted/2, qt.IsTrue, qt.Commentf("%d of %d", closed, granted))
}

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
	c.Assert(d.ledger.Stamp.Steady, qt.Equals, time.Second)
	c.Assert(k.age(), qt.Equals, 8*time.Second)
}

// At its start a home finds the whole budget granted to others, who then return it.
// Its copy of the record is as old as its own last write; unless it reads again, it
// holds nothing for as long as it runs.
func TestHomeReadsAgainWhileItIsShort(t *testing.T) {
	c := qt.New(t)
	b := newBench(1_000_000)
	all := newRecord().With("other-vm", "p0", Figure{Seq: 1, Granted: 1_000_000}, nil)
	b.store.Put("budget/account/boatyard", all.Encode())
	k := b.keeper("p1", noPeers{})
	b.steady = time.Hour
	k.round(context.Background(), true)
	c.Assert(k.purse("boatyard").granted, qt.Equals, int64(0))

	b.store.Put("budget/account/boatyard", newRecord().Encode())
	b.steady += readEvery
	k.round(context.Background(), true)
	c.Assert(k.purse("boatyard").granted > 0, qt.IsTrue)
}

// A planned stop returns all that was not spent.
func TestStopReturnsTheRest(t *testing.T) {
	c := qt.New(t)
	b := newBench(1_000_000)
	k := b.keeper("p1", noPeers{})
	k.round(context.Background(), true)
	reservation, err := k.Reserve(context.Background(), "boatyard", 9_000)
	c.Assert(err, qt.IsNil)
	reservation.Settle(7_000)
	c.Assert(k.Return(context.Background()), qt.IsNil)
	c.Assert(b.record(c).Given(), qt.Equals, int64(7_000))
}

// A ledger write is answered by nothing and done seconds later. It must not put an
// older ledger in the place of a newer one.
func TestLateLedgerDoesNotReplaceANewerOne(t *testing.T) {
	c := qt.New(t)
	b := newBench(1_000_000)
	k := b.keeper("p1", noPeers{})
	k.round(context.Background(), true)
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
// neither the tokens nor a pace above the lower one that it stated.
func TestUnansweredWriteBindsFromItsSending(t *testing.T) {
	c := qt.New(t)
	b, k, p := startedBench()
	pace, ceiling := p.pace, p.ceiling
	c.Assert(p.granted > ceiling, qt.IsTrue)

	b.home, b.paid["boatyard"] = "elsewhere", 500_000
	b.store.SetFate(func(store.Txn) memstore.Fate { return memstore.Late })
	b.steady += time.Second
	k.round(context.Background(), true)
	c.Assert(p.granted, qt.Equals, ceiling)
	c.Assert(p.pendingAt, qt.Equals, p.revision)
	c.Assert(p.pace < pace, qt.IsTrue)
}

func ledgerOf(c *qt.C, b *bench) Ledger {
	snapshot, err := b.store.Read(context.Background(), "budget/router/vm")
	c.Assert(err, qt.IsNil)
	ledger, err := DecodeLedger(snapshot.Items[0].Value)
	c.Assert(err, qt.IsNil)
	return ledger
}

// fewPeers lend what they have and tell what they used.
type fewPeers struct {
	noPeers
	left, used int64
}

func (p fewPeers) Borrow(_ context.Context, _ string, tokens int64) (int64, int64) {
	return min(tokens, p.left), p.used
}

// The store is away and this router has nothing left: others lend. Without them the
// caller is told to come back, not that its budget is exhausted.
func TestOutageIsRiddenOutOnLoans(t *testing.T) {
	c := qt.New(t)
	b := newBench(1_000_000)
	b.store.SetDown(true)
	k := b.keeper("p1", fewPeers{left: 10_000})
	k.round(context.Background(), true)
	_, err := k.Reserve(context.Background(), "boatyard", 8_000)
	c.Assert(err, qt.IsNil)

	b.steady += time.Minute // nothing opens soon: no use in waiting
	k = b.keeper("p2", noPeers{})
	k.round(context.Background(), true)
	_, err = k.Reserve(context.Background(), "boatyard", 8_000)
	c.Assert(err, qt.Equals, ErrUnreachable)
}

// The store goes away while a ceiling is nearly used up. A caller that comes then is
// served once the grant opens, instead of being sent away from a router that holds
// enough for it.
func TestReservationWaitsForTheOpening(t *testing.T) {
	c := qt.New(t)
	b := newBench(1_000_000)
	k := b.keeper("p1", noPeers{})
	k.round(context.Background(), true)
	k.away = true
	served := make(chan error, 1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	b.steady = openAfter
	k.purse("boatyard").spent = k.purse("boatyard").ceiling
	b.steady += 1200 * time.Millisecond
	go func() {
		_, err := k.Reserve(ctx, "boatyard", k.purse("boatyard").pace)
		served <- err
	}()
	c.Assert(<-served, qt.IsNil)
}

// A router is cut off from the store and from all others. After some callers that it
// could not serve it counts as stranded, so that it names others to those who ask
// where to go; the first it can serve again ends that.
func TestRouterThatFindsNobodyIsStranded(t *testing.T) {
	c := qt.New(t)
	b := newBench(1_000_000)
	b.home = "elsewhere"
	b.store.SetDown(true)
	b.steady = time.Minute
	k := b.keeper("p1", noPeers{})
	k.round(context.Background(), true)
	for i := 0; i < strandedMost; i++ {
		c.Assert(k.Stranded(), qt.IsFalse)
		_, err := k.Reserve(context.Background(), "boatyard", 8_000)
		c.Assert(err, qt.Equals, ErrUnreachable)
	}
	c.Assert(k.Stranded(), qt.IsTrue)
	k.Accept(map[string]int64{"boatyard": 8_000})
	_, err := k.Reserve(context.Background(), "boatyard", 8_000)
	c.Assert(err, qt.IsNil)
	c.Assert(k.Stranded(), qt.IsFalse)
}

// A caller is told that its budget is exhausted only where that is sure: the sum of
// what routers say they used leaves too little. Tokens that a lost router holds
// are no proof.
func TestExhaustedIsSaidOnlyWhenSure(t *testing.T) {
	c := qt.New(t)
	b := newBench(100_000)
	lost := newRecord().With("lost-vm", "gone", Figure{Seq: 1, Granted: 100_000}, nil)
	b.store.Put("budget/account/boatyard", lost.Encode())

	k := b.keeper("p1", fewPeers{used: 0})
	k.round(context.Background(), true)
	_, err := k.Reserve(context.Background(), "boatyard", 8_000)
	c.Assert(err, qt.Not(qt.Equals), ErrExhausted)
	c.Assert(err, qt.IsNotNil)

	k = b.keeper("p2", fewPeers{used: 95_000})
	k.round(context.Background(), true)
	_, err = k.Reserve(context.Background(), "boatyard", 8_000)
	c.Assert(err, qt.Equals, ErrExhausted)
}

func FuzzDecode(f *testing.F) {
	f.Add(newRecord().With("vm", "p", Figure{Seq: 1, Granted: 5}, nil).Encode())
	f.Add(Ledger{Format: recordFormat, Incarnation: "p"}.Encode())
	f.Fuzz(func(t *testing.T, data []byte) {
		if record, err := DecodeRecord(data); err == nil {
			_ = record.With("vm", "new", Figure{}, func(_ string, granted int64) int64 { return granted }).Encode()
		}
		if ledger, err := DecodeLedger(data); err == nil {
			_ = ledger.MostSpent("a", "p", "vm", 10, Stamp{}, true)
		}
	})
}

// An account's use falls after a busy time. With the next stamp its ceiling comes down
// too, so that a death then loses little: what it was in the busy time would be lost.
func TestCeilingFollowsTheUseDown(t *testing.T) {
	c := qt.New(t)
	b, k, p := startedBench()
	p.rate, p.weight, p.rateAt = 100_000, 1, b.steady // a busy time
	k.round(context.Background(), true)
	busy := ledgerOf(c, b).Ceilings["boatyard"]
	c.Assert(busy, qt.Equals, int64(100_000*aheadOf.Seconds()))
	p.rate = 1_000
	k.round(context.Background(), true)
	calm := ledgerOf(c, b).Ceilings["boatyard"]
	c.Assert(calm, qt.Equals, int64(firstCeiling*1_000_000))
	c.Assert(p.ceiling, qt.Equals, calm)
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
	c.Assert(p.ceiling, qt.Equals, int64(firstCeiling*1_000_000))
}

// In an outage requests wait or are refused, so the use that is seen falls. What may be
// spent out of contact must not fall with it, or it never recovers.
func TestOutageLowersNeitherPaceNorCeiling(t *testing.T) {
	c := qt.New(t)
	b, k, p := startedBench()
	p.rate, p.weight, p.rateAt = 50_000, 1, b.steady
	k.round(context.Background(), true)
	pace, ceiling := p.pace, p.ceiling
	b.store.SetDown(true)
	k.round(context.Background(), true)
	p.rate = 0
	k.round(context.Background(), true)
	c.Assert(p.pace, qt.Equals, pace)
	c.Assert(p.ceiling, qt.Equals, ceiling)
}

// The store is away, and two routers ask a home that may spend little. It serves the one
// that came first, whole, once it can; the other neither takes a part of that nor
// overtakes. A loan without a ticket gets nothing that they wait for.
func TestLoansOfAnOutageAreServedInTurn(t *testing.T) {
	c := qt.New(t)
	b := newBench(1_000_000)
	k := b.keeper("p1", noPeers{})
	k.round(context.Background(), true)
	b.store.SetDown(true)
	k.round(context.Background(), true)
	p := k.purse("boatyard")
	p.ceiling, p.pace, p.granted = 0, 10_000, 100_000
	lend := func(tokens int64, ticket string) int64 {
		given, _, _ := k.Lend("boatyard", tokens, ticket)
		return given
	}
	b.steady = openAfter + 200*time.Millisecond // 2,000 tokens are open
	c.Assert(lend(3_000, "first"), qt.Equals, int64(0))
	c.Assert(lend(1_500, "second"), qt.Equals, int64(0))
	c.Assert(lend(100, ""), qt.Equals, int64(0))
	b.steady += 150 * time.Millisecond // 3,500
	c.Assert(lend(1_500, "second"), qt.Equals, int64(0))
	c.Assert(lend(3_000, "first"), qt.Equals, int64(3_000))
	b.steady += 100 * time.Millisecond // 1,500 are left
	c.Assert(lend(1_500, "second"), qt.Equals, int64(1_500))
}

// Most of the budget may have been spent by routers that died, and nobody knows. A
// request that doesn't fit into the rest is refused as in doubt, not as exhausted, and
// not as if the rest were at another router.
func TestInDoubtIsToldFromExhausted(t *testing.T) {
	c := qt.New(t)
	b := newBench(1_000)
	record := newRecord()
	record.Closed = 900
	b.store.Put("budget/account/boatyard", record.Encode())
	k := b.keeper("p1", noPeers{})
	k.round(context.Background(), true)
	h := k.begin("boatyard", 500, true, "")
	c.Assert(k.borrow(context.Background(), h, ErrContended), qt.ErrorIs, ErrInDoubt)
	record.ClosedSpent = 900
	b.store.Put("budget/account/boatyard", record.Encode())
	c.Assert(k.read(context.Background()), qt.IsTrue)
	c.Assert(k.borrow(context.Background(), h, ErrContended), qt.ErrorIs, ErrExhausted)
}

// A router that is no longer the account's home holds idle tokens that it borrowed, so
// that by its own grant it has used less than nothing. What it gives back must not make
// its grant negative: nobody could read the record any more.
func TestBorrowedTokensMakeNoNegativeGrant(t *testing.T) {
	c := qt.New(t)
	b := newBench(1_000_000)
	k := b.keeper("p1", noPeers{})
	k.round(context.Background(), true)
	b.home = "elsewhere"
	k.purse("boatyard").borrowed = 5_000
	k.round(context.Background(), true)
	k.round(context.Background(), true)
	c.Assert(ledgerOf(c, b).Ceilings["boatyard"] >= 0, qt.IsTrue)
	c.Assert(b.record(c).Figure("vm", "p1").Granted >= 0, qt.IsTrue)
}

// deputyPeers can't reach the home; the deputy gives all.
type deputyPeers struct {
	noPeers
	asked []string
}

func (p *deputyPeers) BorrowFrom(_ context.Context, address, _ string, tokens int64, _ string) (int64, bool) {
	p.asked = append(p.asked, address)
	if address == "deputy" {
		return tokens, true
	}
	return 0, false
}

// An account's home has died, and its entry has not lapsed yet. A request gets its tokens
// from the next router in rank; none is drawn here, where it would be one small part of
// the budget among many.
func TestDeputyGivesWhileTheHomeIsOutOfReach(t *testing.T) {
	c := qt.New(t)
	b := newBench(1_000_000)
	b.home = "home"
	peers := &deputyPeers{}
	k := b.keeper("p1", peers)
	k.o.Deputy = func(string) string { return "deputy" }
	k.round(context.Background(), true)
	_, err := k.Reserve(context.Background(), "boatyard", 8_000)
	c.Assert(err, qt.IsNil)
	c.Assert(peers.asked, qt.DeepEquals, []string{"home", "deputy"})
	c.Assert(k.purse("boatyard").granted, qt.Equals, int64(0))
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
	c.Assert(ledgerOf(c, b).Ceilings["boatyard"], qt.Equals, int64(100_000*(aheadOf.Seconds()+1)))
	c.Assert(k.patience() > 500*time.Millisecond, qt.IsTrue)
	for range 30 {
		k.noteRoundTrip(5 * time.Millisecond)
	}
	p.rate, p.rateAt = 100_000, b.steady
	k.round(context.Background(), true)
	c.Assert(k.patience(), qt.Equals, drawPatience)
	c.Assert(ledgerOf(c, b).Ceilings["boatyard"] < int64(100_000*(aheadOf.Seconds()+0.1)), qt.IsTrue)
}
