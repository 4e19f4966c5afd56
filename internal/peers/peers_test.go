package peers

import (
	"context"
	"net"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"chicorytiller.example/chicorytiller/internal/escrow"
	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/explain"
	"chicorytiller.example/chicorytiller/internal/linkdelay"
	"chicorytiller.example/chicorytiller/internal/permits"
	"chicorytiller.example/chicorytiller/internal/store"
	"chicorytiller.example/chicorytiller/internal/streams"
)

// fakeLender has tokens of one account.
type fakeLender struct {
	mu       sync.Mutex
	tokens   int64
	stopping bool
}

func (l *fakeLender) Lend(request escrow.LoanRequest) escrow.Loan {
	l.mu.Lock()
	defer l.mu.Unlock()
	lent := min(request.Tokens, l.tokens)
	l.tokens -= lent
	return escrow.Loan{Tokens: lent, Used: 7}
}

func (l *fakeLender) KeepRecords([]escrow.StoredRecord) {}

func (l *fakeLender) VoidLoan(_ string, tokens int64) { l.Accept(map[string]int64{"a": tokens}) }

func (l *fakeLender) Accept(tokens map[string]int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopping {
		return false
	}
	l.tokens += tokens["a"]
	return true
}

// emptyState is the state of a router that knows nothing of the store.
type emptyState struct{}

func (emptyState) Known() Known            { return Known{} }
func (emptyState) Feed(string) *store.Feed { return nil }

func (emptyState) KeepCrashes([]store.Item)                     {}
func (emptyState) KeepStreams([]streams.Record)                 {}
func (emptyState) AcquirePermit(permits.Request) permits.Answer { return permits.Answer{Granted: true} }
func (emptyState) ReleasePermit(permits.Release)                {}
func (emptyState) ReportRequests(permits.Report)                {}
func (emptyState) RouterDisconnected(string)                    {}
func (emptyState) Explain(explain.Query) (explain.Report, error) {
	return explain.Report{}, nil
}
func (emptyState) FindStream(streams.Key) (string, bool) { return "", false }

// startPeer serves a fakeLender with the given tokens and returns it with its address.
func startPeer(t *testing.T, tokens int64) (*fakeLender, string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = listener.Close() }) // a failed close does not matter here
	l := &fakeLender{tokens: tokens}
	go func() { _ = Serve(listener, l, emptyState{}, event.Discard(), nil) }() // returns when the listener is closed
	return l, listener.Addr().String()
}

// Borrow must not stop at the first peer that has too few tokens.
func TestBorrowAsksSeveralPeers(t *testing.T) {
	_, one := startPeer(t, 60)
	_, two := startPeer(t, 70)
	c := NewClient("p1", func() []string { return []string{one, two} }, event.Discard(), linkdelay.New(nil))
	got, used := c.Borrow(context.Background(), "a", 100)
	qt.Assert(t, got, qt.Equals, int64(100))
	qt.Assert(t, used, qt.Equals, int64(14))
}

// A loan whose answer was lost is voided. Its tokens must be returned to the lender, but only once.
func TestVoidedLoanIsReturnedOnce(t *testing.T) {
	l := &fakeLender{tokens: 100}
	s := &Service{lender: l, clock: event.Discard(), transfers: newTransfers()}
	id := TransferID{Incarnation: "p1", Serial: 1}
	loan := Loan{}
	qt.Assert(t, s.Lend(LoanRequest{ID: id, Account: "a", Tokens: 40}, &loan), qt.IsNil)
	qt.Assert(t, l.tokens, qt.Equals, int64(60))
	for i := 0; i < 2; i++ {
		qt.Assert(t, s.Void(id, &struct{}{}), qt.IsNil)
		qt.Assert(t, l.tokens, qt.Equals, int64(100))
	}
	qt.Assert(t, s.Lend(LoanRequest{ID: id, Account: "a", Tokens: 40}, &loan), qt.IsNil)
	qt.Assert(t, l.tokens, qt.Equals, int64(100), qt.Commentf("a loan that was voided before it was asked for"))
}

// A gift is repeated until it is acknowledged; it must count once.
func TestGiftCountsOnce(t *testing.T) {
	l := &fakeLender{}
	s := &Service{lender: l, clock: event.Discard(), transfers: newTransfers()}
	gift := Gift{ID: TransferID{Incarnation: "p1", Serial: 1}, Tokens: map[string]int64{"a": 5}}
	for i := 0; i < 3; i++ {
		qt.Assert(t, s.HandOver(gift, &GiftAnswer{}), qt.IsNil)
	}
	qt.Assert(t, l.tokens, qt.Equals, int64(5))
}

// If the peer can't be connected to, the sender must know that it still has the tokens.
func TestHandOverToUnreachablePeerFails(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	address := listener.Addr().String()
	qt.Assert(t, listener.Close(), qt.IsNil)
	c := NewClient("p1", func() []string { return nil }, event.Discard(), linkdelay.New(nil))
	qt.Assert(t, c.HandOver(context.Background(), address, map[string]int64{"a": 5}), qt.IsFalse)
}

// Tokens that two stopping routers hand over to each other would be lost.
func TestStoppingRouterRefusesGifts(t *testing.T) {
	l, address := startPeer(t, 0)
	l.stopping = true
	c := NewClient("p1", func() []string { return nil }, event.Discard(), linkdelay.New(nil))
	qt.Assert(t, c.HandOver(context.Background(), address, map[string]int64{"a": 5}), qt.IsFalse)
}

// Without the Lamport clock in the messages, logs of routers on VMs with wrong clocks could not be
// merged in causal order.
func TestMessagesCarryLamportClock(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = listener.Close() }) // a failed close does not matter here
	lenderLog, borrowerLog := event.Discard(), event.Discard()
	go func() { _ = Serve(listener, &fakeLender{tokens: 9}, emptyState{}, lenderLog, nil) }() // returns when the listener is closed
	borrowerLog.Observe(100)
	c := NewClient("p1", func() []string { return nil }, borrowerLog, linkdelay.New(nil))
	got := c.BorrowFrom(context.Background(), listener.Addr().String(), escrow.LoanRequest{Account: "a", Tokens: 5}).Tokens
	qt.Assert(t, got, qt.Equals, int64(5))
	answerTime := lenderLog.Tick() - 1
	qt.Assert(t, answerTime > 101, qt.IsTrue)
	qt.Assert(t, borrowerLog.Tick() > answerTime, qt.IsTrue)
}
