package escrow

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a router without a grant that refuses for ever after an outage.
func TestReturnOfTheStoreIsNoticedWithoutAnyGrant(t *testing.T) {
	c := qt.New(t)
	b := newBench(1_000_000)
	b.home = "elsewhere"
	k := b.keeper("p1", noPeers{})
	k.syncStore(context.Background(), true)
	k.grant("boatyard").waitingTokens = 10
	b.store.SetDown(true)
	k.syncStore(context.Background(), false)
	c.Assert(k.isStoreDown(), qt.IsTrue)
	k.grant("boatyard").waitingTokens = 0
	b.store.SetDown(false)
	k.syncStore(context.Background(), k.isStoreDown())
	c.Assert(k.isStoreDown(), qt.IsFalse)
}

// fewPeers lend what they have and tell what they used.
type fewPeers struct {
	noPeers
	left, used int64
}

func (p fewPeers) Borrow(_ context.Context, _ string, tokens int64) (int64, int64) {
	return min(tokens, p.left), p.used
}

// Guards against refusals in an outage while other routers have tokens.
func TestOutageIsRiddenOutOnLoans(t *testing.T) {
	c := qt.New(t)
	b := newBench(1_000_000)
	b.store.SetDown(true)
	k := b.keeper("p1", fewPeers{left: 10_000})
	k.syncStore(context.Background(), true)
	_, err := k.Reserve(context.Background(), "boatyard", 8_000)
	c.Assert(err, qt.IsNil)

	b.steady += time.Minute // nothing opens soon: no use in waiting
	k = b.keeper("p2", noPeers{})
	k.syncStore(context.Background(), true)
	_, err = k.Reserve(context.Background(), "boatyard", 8_000)
	c.Assert(err, qt.Equals, ErrUnreachable)
}

// Guards against sending callers away a moment before a grant opens.
func TestReservationWaitsForTheOpening(t *testing.T) {
	c := qt.New(t)
	b, k, _ := startedBench()
	k.storeDown = true
	served := make(chan error, 1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	b.steady = outageGrace
	k.grant("boatyard").spent = k.grant("boatyard").allowance.Ceiling
	b.steady += 1200 * time.Millisecond
	go func() {
		_, err := k.Reserve(ctx, "boatyard", k.grant("boatyard").allowance.OutageRate)
		served <- err
	}()
	c.Assert(<-served, qt.IsNil)
}

// Guards against callers named to a router that can serve nobody.
func TestRouterThatFindsNobodyIsIsolated(t *testing.T) {
	c := qt.New(t)
	b := newBench(1_000_000)
	b.home = "elsewhere"
	b.store.SetDown(true)
	b.steady = time.Minute
	k := b.keeper("p1", noPeers{})
	k.syncStore(context.Background(), true)
	for i := 0; i < isolationThreshold; i++ {
		c.Assert(k.Isolated(), qt.IsFalse)
		_, err := k.Reserve(context.Background(), "boatyard", 8_000)
		c.Assert(err, qt.Equals, ErrUnreachable)
	}
	c.Assert(k.Isolated(), qt.IsTrue)
	k.Accept(map[string]int64{"boatyard": 8_000})
	_, err := k.Reserve(context.Background(), "boatyard", 8_000)
	c.Assert(err, qt.IsNil)
	c.Assert(k.Isolated(), qt.IsFalse)
}

// Guards against a final refusal while tokens may come back.
func TestExhaustedIsSaidOnlyWhenSure(t *testing.T) {
	c := qt.New(t)
	b := newBench(100_000)
	b.steady = time.Minute
	other := GrantEntry{Seq: 1, Granted: 100_000}
	b.store.Put("budget/account/boatyard", newRecord().WithEntry("lost-vm", "gone", other, nil).Encode())
	k := b.keeper("p1", noPeers{})
	k.syncStore(context.Background(), true)
	c.Assert(reserveError(k), qt.Equals, ErrContended)

	other.Spent = 95_000
	b.store.Put("budget/account/boatyard", newRecord().WithEntry("lost-vm", "gone", other, nil).Encode())
	k = b.keeper("p2", noPeers{})
	k.syncStore(context.Background(), true)
	c.Assert(reserveError(k), qt.Equals, ErrExhausted)

	b.store.Put("budget/account/boatyard", newRecord().Encode())
	k = b.keeper("p3", noPeers{})
	k.syncStore(context.Background(), true)
	p := k.grant("boatyard")
	p.granted, p.allowance.Ceiling = 100_000, 100_000
	p.record = newRecord().WithEntry("vm", "p3", GrantEntry{Seq: 1, Granted: 100_000}, nil)
	c.Assert(k.Lend("boatyard", 95_000, "waiter").Short, qt.Equals, NoShortage)
	c.Assert(reserveError(k), qt.Equals, ErrContended, qt.Commentf("lent a moment ago"))
	b.steady += 3 * recentLoanWindow
	k.recordsReadAt = b.steady
	c.Assert(reserveError(k), qt.Equals, ErrExhausted)
}

// reserveError is what a request of 8,000 tokens is refused with. The records count as read
// just now, so that no round with the store is waited for.
func reserveError(k *GrantManager) error {
	k.recordsReadAt = k.o.Clock().Steady
	_, err := k.Reserve(context.Background(), "boatyard", 8_000)
	return err
}

// Guards against requests that each take a part of the little there is, so that none is served.
func TestLoansOfAnOutageAreServedInTurn(t *testing.T) {
	c := qt.New(t)
	b, k, _ := startedBench()
	b.store.SetDown(true)
	k.syncStore(context.Background(), true)
	p := k.grant("boatyard")
	p.allowance, p.granted = Allowance{OutageRate: 10_000}, 100_000
	lend := func(tokens int64, waiter string) int64 {
		return k.Lend("boatyard", tokens, waiter).Tokens
	}
	b.steady = outageGrace + 200*time.Millisecond // 2,000 tokens are open
	c.Assert(lend(3_000, "first"), qt.Equals, int64(0))
	c.Assert(lend(1_500, "second"), qt.Equals, int64(0))
	c.Assert(lend(100, ""), qt.Equals, int64(0))
	b.steady += 150 * time.Millisecond // 3,500
	c.Assert(lend(1_500, "second"), qt.Equals, int64(0))
	c.Assert(lend(3_000, "first"), qt.Equals, int64(3_000))
	b.steady += 100 * time.Millisecond // 1,500 are left
	c.Assert(lend(1_500, "second"), qt.Equals, int64(1_500))
}

// Guards against refusals that say exhausted, or held, where nobody knows.
func TestInDoubtIsToldFromExhausted(t *testing.T) {
	c := qt.New(t)
	b := newBench(1_000)
	b.steady = time.Minute
	record := newRecord()
	record.Closed = 900
	b.store.Put("budget/account/boatyard", record.Encode())
	k := b.keeper("p1", noPeers{})
	k.syncStore(context.Background(), true)
	c.Assert(k.Lend("boatyard", 500, "waiter").Short, qt.Equals, InDoubt)
	record.ClosedSpent = 900
	b.store.Put("budget/account/boatyard", record.Encode())
	c.Assert(k.readRecords(context.Background()), qt.IsTrue)
	c.Assert(k.Lend("boatyard", 500, "waiter").Short, qt.Equals, Exhausted)
}

// standbyPeers can't reach the home; the standby gives all.
type standbyPeers struct {
	noPeers
	asked []string
}

func (p *standbyPeers) BorrowFrom(_ context.Context, address, _ string, tokens int64, _ string) Loan {
	p.asked = append(p.asked, address)
	if address == "standby" {
		return Loan{Tokens: tokens}
	}
	return Loan{Short: PeerUnreachable}
}

// Guards against draws by all routers while a home is dead and still listed.
func TestDeputyGivesWhileTheHomeIsOutOfReach(t *testing.T) {
	c := qt.New(t)
	b := newBench(1_000_000)
	b.home = "home"
	peers := &standbyPeers{}
	k := b.keeper("p1", peers)
	k.o.Holders = func(string) []string { return []string{"home", "standby"} }
	k.syncStore(context.Background(), true)
	_, err := k.Reserve(context.Background(), "boatyard", 8_000)
	c.Assert(err, qt.IsNil)
	c.Assert(peers.asked, qt.DeepEquals, []string{"home", "standby"})
	c.Assert(k.grant("boatyard").granted, qt.Equals, int64(0))
}
