package escrow

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a router without a grant that goes on refusing requests after an outage.
func TestStoreReturnIsNoticedWithoutGrant(t *testing.T) {
	c := qt.New(t)
	b := newTestbed(1_000_000)
	b.home = "elsewhere"
	m := b.newManager("p1", noPeers{})
	m.syncStore(context.Background(), true)
	m.grant("boatyard").waitingTokens = 10
	b.store.SetDown(true)
	m.syncStore(context.Background(), false)
	c.Assert(m.isStoreDown(), qt.IsTrue)
	m.grant("boatyard").waitingTokens = 0
	b.store.SetDown(false)
	m.syncStore(context.Background(), m.isStoreDown())
	c.Assert(m.isStoreDown(), qt.IsFalse)
}

// lendingPeers lend what they have and report what they used.
type lendingPeers struct {
	noPeers
	available, used int64
}

func (p lendingPeers) Borrow(_ context.Context, _ string, tokens int64) (int64, int64) {
	return min(tokens, p.available), p.used
}

// Guards against refusals in an outage while other routers have tokens.
func TestReserveBorrowsDuringOutage(t *testing.T) {
	c := qt.New(t)
	b := newTestbed(1_000_000)
	b.store.SetDown(true)
	m := b.newManager("p1", lendingPeers{available: 10_000})
	m.syncStore(context.Background(), true)
	_, err := m.Reserve(context.Background(), "boatyard", 8_000, 0)
	c.Assert(err, qt.IsNil)

	b.steady += time.Minute // nothing becomes available soon: waiting is useless
	m = b.newManager("p2", noPeers{})
	m.syncStore(context.Background(), true)
	_, err = m.Reserve(context.Background(), "boatyard", 8_000, 0)
	c.Assert(err, qt.Equals, ErrUnreachable)
}

// Guards against refusing requests shortly before the outage rate covers them.
func TestReserveWaitsForOutageRate(t *testing.T) {
	c := qt.New(t)
	b, m, _ := startTestbed()
	m.storeDown = true
	served := make(chan error, 1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	b.steady = outageGrace
	m.grant("boatyard").spent = m.grant("boatyard").allowance.Ceiling
	b.steady += 1200 * time.Millisecond
	go func() {
		_, err := m.Reserve(ctx, "boatyard", m.grant("boatyard").allowance.OutageRate, 0)
		served <- err
	}()
	c.Assert(<-served, qt.IsNil)
}

// Guards against callers being sent to a router that can't serve any request.
func TestIsolated(t *testing.T) {
	c := qt.New(t)
	b := newTestbed(1_000_000)
	b.home = "elsewhere"
	b.store.SetDown(true)
	b.steady = time.Minute
	m := b.newManager("p1", noPeers{})
	m.syncStore(context.Background(), true)
	for i := 0; i < isolationThreshold; i++ {
		c.Assert(m.Isolated(), qt.IsFalse)
		_, err := m.Reserve(context.Background(), "boatyard", 8_000, 0)
		c.Assert(err, qt.Equals, ErrUnreachable)
	}
	c.Assert(m.Isolated(), qt.IsTrue)
	m.Accept(map[string]int64{"boatyard": 8_000})
	_, err := m.Reserve(context.Background(), "boatyard", 8_000, 0)
	c.Assert(err, qt.IsNil)
	c.Assert(m.Isolated(), qt.IsFalse)
}

// Guards against a final refusal while tokens may be returned.
func TestErrExhaustedOnlyIfCertain(t *testing.T) {
	c := qt.New(t)
	b := newTestbed(100_000)
	b.steady = time.Minute
	other := GrantEntry{Seq: 1, Granted: 100_000}
	b.store.Put("budget/account/boatyard", newRecord().WithEntry("lost-vm", "gone", other, nil).Encode())
	m := b.newManager("p1", noPeers{})
	m.syncStore(context.Background(), true)
	c.Assert(reserveError(m), qt.Equals, ErrContended)

	other.Spent = 95_000
	b.store.Put("budget/account/boatyard", newRecord().WithEntry("lost-vm", "gone", other, nil).Encode())
	m = b.newManager("p2", noPeers{})
	m.syncStore(context.Background(), true)
	c.Assert(reserveError(m), qt.Equals, ErrExhausted)

	b.store.Put("budget/account/boatyard", newRecord().Encode())
	m = b.newManager("p3", noPeers{})
	m.syncStore(context.Background(), true)
	g := m.grant("boatyard")
	g.granted, g.allowance.Ceiling = 100_000, 100_000
	g.record = newRecord().WithEntry("vm", "p3", GrantEntry{Seq: 1, Granted: 100_000}, nil)
	c.Assert(m.Lend(LoanRequest{Account: "boatyard", Tokens: 95_000, WaiterID: "waiter"}).Short, qt.Equals, NoShortage)
	c.Assert(reserveError(m), qt.Equals, ErrContended, qt.Commentf("lent a moment ago"))
	b.steady += 3 * recentLoanWindow
	m.recordsReadAt = b.steady
	c.Assert(reserveError(m), qt.Equals, ErrExhausted)
}

// reserveError returns the error of a request for 8,000 tokens. It marks the records as
// just read, so that the request doesn't wait for a round with the store.
func reserveError(m *GrantManager) error {
	m.recordsReadAt = m.opts.Clock().Steady
	_, err := m.Reserve(context.Background(), "boatyard", 8_000, 0)
	return err
}

// Guards against requests that each take a part of too few tokens, so that none is served.
func TestLoansInOutageAreServedInOrder(t *testing.T) {
	c := qt.New(t)
	b, m, _ := startTestbed()
	b.store.SetDown(true)
	m.syncStore(context.Background(), true)
	g := m.grant("boatyard")
	g.allowance, g.granted = Allowance{OutageRate: 10_000}, 100_000
	lend := func(tokens int64, waiterID string) int64 {
		return m.Lend(LoanRequest{Account: "boatyard", Tokens: tokens, WaiterID: waiterID}).Tokens
	}
	b.steady = outageGrace + 200*time.Millisecond // 2,000 tokens are available
	c.Assert(lend(3_000, "first"), qt.Equals, int64(0))
	c.Assert(lend(1_500, "second"), qt.Equals, int64(0))
	c.Assert(lend(100, ""), qt.Equals, int64(0))
	b.steady += 150 * time.Millisecond // 3,500
	c.Assert(lend(1_500, "second"), qt.Equals, int64(0))
	c.Assert(lend(3_000, "first"), qt.Equals, int64(3_000))
	b.steady += 100 * time.Millisecond // 1,500 are left
	c.Assert(lend(1_500, "second"), qt.Equals, int64(1_500))
}

// Guards against refusals as exhausted or held elsewhere while spending is in doubt.
func TestInDoubtIsNotExhausted(t *testing.T) {
	c := qt.New(t)
	b := newTestbed(1_000)
	b.steady = time.Minute
	record := newRecord()
	record.Closed = 900
	b.store.Put("budget/account/boatyard", record.Encode())
	m := b.newManager("p1", noPeers{})
	m.syncStore(context.Background(), true)
	c.Assert(m.Lend(LoanRequest{Account: "boatyard", Tokens: 500, WaiterID: "waiter"}).Short, qt.Equals, InDoubt)
	record.ClosedSpent = 900
	b.store.Put("budget/account/boatyard", record.Encode())
	c.Assert(m.readRecords(context.Background()), qt.IsTrue)
	c.Assert(m.Lend(LoanRequest{Account: "boatyard", Tokens: 500, WaiterID: "waiter"}).Short, qt.Equals, Exhausted)
}

// standbyPeers can't reach the home; the standby lends all that is asked for.
type standbyPeers struct {
	noPeers
	asked []string
}

func (p *standbyPeers) BorrowFrom(_ context.Context, address string, request LoanRequest) Loan {
	p.asked = append(p.asked, address)
	if address == "standby" {
		return Loan{Tokens: request.Tokens}
	}
	return Loan{Short: PeerUnreachable}
}

// Guards against draws by all routers while the home is dead but still listed.
func TestStandbyLendsWhileHomeIsUnreachable(t *testing.T) {
	c := qt.New(t)
	b := newTestbed(1_000_000)
	b.home = "home"
	peers := &standbyPeers{}
	m := b.newManager("p1", peers)
	m.opts.Holders = func(string) []string { return []string{"home", "standby"} }
	m.syncStore(context.Background(), true)
	_, err := m.Reserve(context.Background(), "boatyard", 8_000, 0)
	c.Assert(err, qt.IsNil)
	c.Assert(peers.asked, qt.DeepEquals, []string{"home", "standby"})
	c.Assert(m.grant("boatyard").granted, qt.Equals, int64(0))
}
