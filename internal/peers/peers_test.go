package peers

import (
	"context"
	"net"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"chicorytiller.example/chicorytiller/internal/escrow"
	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/store"
)

// lender has one account's tokens.
type lender struct {
	mu     sync.Mutex
	left   int64
	leaves bool
}

func (l *lender) Lend(_ string, tokens int64, _ string) escrow.Loan {
	l.mu.Lock()
	defer l.mu.Unlock()
	given := min(tokens, l.left)
	l.left -= given
	return escrow.Loan{Tokens: given, Used: 7}
}

func (l *lender) TakeBack(_ string, tokens int64) { l.Accept(map[string]int64{"a": tokens}) }

func (l *lender) Accept(tokens map[string]int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leaves {
		return false
	}
	l.left += tokens["a"]
	return true
}

// nothing is what a router knows that follows nothing.
type nothing struct{}

func (nothing) Known() Known            { return Known{} }
func (nothing) Feed(string) *store.Feed { return nil }

func start(t *testing.T, left int64) (*lender, string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = listener.Close() }) // the test is over
	l := &lender{left: left}
	go func() { _ = Serve(listener, l, nothing{}, event.Discard()) }() // ends with its listener
	return l, listener.Addr().String()
}

// Guards against a loan that stops at the first peer which has too little.
func TestBorrowAsksOneAfterTheOther(t *testing.T) {
	_, one := start(t, 60)
	_, two := start(t, 70)
	c := NewClient("p1", func() []string { return []string{one, two} }, event.Discard())
	got, used := c.Borrow(context.Background(), "a", 100)
	qt.Assert(t, got, qt.Equals, int64(100))
	qt.Assert(t, used, qt.Equals, int64(14))
}

// Guards against a lost loan that stays lent, or comes back twice.
func TestLostLoanIsTakenBackOnce(t *testing.T) {
	l := &lender{left: 100}
	s := &Service{lender: l, clock: event.Discard(), transfers: newTransfers()}
	id := TransferID{Incarnation: "p1", Serial: 1}
	loan := Loan{}
	qt.Assert(t, s.Lend(LoanRequest{ID: id, Account: "a", Tokens: 40}, &loan), qt.IsNil)
	qt.Assert(t, l.left, qt.Equals, int64(60))
	for i := 0; i < 2; i++ {
		qt.Assert(t, s.Void(id, &struct{}{}), qt.IsNil)
		qt.Assert(t, l.left, qt.Equals, int64(100))
	}
	qt.Assert(t, s.Lend(LoanRequest{ID: id, Account: "a", Tokens: 40}, &loan), qt.IsNil)
	qt.Assert(t, l.left, qt.Equals, int64(100), qt.Commentf("a loan that was voided before it was given"))
}

// A handing-over is repeated until it is acknowledged, and counts once.
func TestGiftCountsOnce(t *testing.T) {
	l := &lender{}
	s := &Service{lender: l, clock: event.Discard(), transfers: newTransfers()}
	gift := Gift{ID: TransferID{Incarnation: "p1", Serial: 1}, Tokens: map[string]int64{"a": 5}}
	for i := 0; i < 3; i++ {
		qt.Assert(t, s.HandOver(gift, &GiftAnswer{}), qt.IsNil)
	}
	qt.Assert(t, l.left, qt.Equals, int64(5))
}

// A router that is gone gets nothing, and the giver knows that it still has it.
func TestGiftToNobodyStaysHere(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	address := listener.Addr().String()
	qt.Assert(t, listener.Close(), qt.IsNil)
	c := NewClient("p1", func() []string { return nil }, event.Discard())
	qt.Assert(t, c.HandOver(context.Background(), address, map[string]int64{"a": 5}), qt.IsFalse)
}

// Guards against tokens lost between two routers that stop at the same moment.
func TestRouterThatLeavesRefusesGifts(t *testing.T) {
	l, address := start(t, 0)
	l.leaves = true
	c := NewClient("p1", func() []string { return nil }, event.Discard())
	qt.Assert(t, c.HandOver(context.Background(), address, map[string]int64{"a": 5}), qt.IsFalse)
}

// Guards against logs whose order wrong clocks turn round.
func TestMessagesCarryTheClock(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = listener.Close() }) // the test is over
	lenderLog, borrowerLog := event.Discard(), event.Discard()
	go func() { _ = Serve(listener, &lender{left: 9}, nothing{}, lenderLog) }() // ends with its listener
	borrowerLog.Observe(100)
	c := NewClient("p1", func() []string { return nil }, borrowerLog)
	got := c.BorrowFrom(context.Background(), listener.Addr().String(), "a", 5, "").Tokens
	qt.Assert(t, got, qt.Equals, int64(5))
	answered := lenderLog.Tick() - 1
	qt.Assert(t, answered > 101, qt.IsTrue)
	qt.Assert(t, borrowerLog.Tick() > answered, qt.IsTrue)
}
