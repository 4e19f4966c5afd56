package peers

import (
	"context"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"

	"chicorytiller.example/chicorytiller/internal/escrow"
	"chicorytiller.example/chicorytiller/internal/event"
)

// held is a lender that keeps the requests of one waiter until the test lets them go.
type held struct {
	lender
	asked, let chan struct{}
}

const heldWaiter = "held"

func (h *held) Lend(account string, tokens int64, waiter string) escrow.Loan {
	if waiter == heldWaiter {
		h.asked <- struct{}{}
		<-h.let
	}
	return h.lender.Lend(account, tokens, waiter)
}

func startHeld(t *testing.T) (*held, string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = listener.Close() }) // the test is over
	h := &held{lender: lender{left: 1000}, asked: make(chan struct{}, 1), let: make(chan struct{})}
	go func() { _ = Serve(listener, h, nothing{}, event.Discard()) }() // ends with its listener
	return h, listener.Addr().String()
}

// Guards against passing a home by, and dropping other loans, because one caller left.
func TestCallerThatLeavesKeepsNobodyFromTheHome(t *testing.T) {
	h, home := startHeld(t)
	c := NewClient("p1", func() []string { return nil }, event.Discard())
	waits := make(chan escrow.Loan)
	go func() { waits <- c.BorrowFrom(context.Background(), home, "a", 5, heldWaiter) }()
	<-h.asked
	ctx, leave := context.WithCancel(context.Background())
	left := make(chan escrow.Loan)
	go func() { left <- c.BorrowFrom(ctx, home, "a", 5, heldWaiter) }()
	<-h.asked
	leave()
	qt.Assert(t, (<-left).Short, qt.Equals, escrow.PeerUnreachable)
	qt.Assert(t, c.BorrowFrom(context.Background(), home, "a", 5, "next").Tokens, qt.Equals, int64(5))
	close(h.let)
	qt.Assert(t, (<-waits).Tokens, qt.Equals, int64(5))
}

// Guards against avoiding a home that answers others because one call took too long.
func TestPeerThatAnswersOthersIsNotSilent(t *testing.T) {
	h, home := startHeld(t)
	defer close(h.let)
	c := NewClient("p1", func() []string { return nil }, event.Discard())
	late := make(chan escrow.Loan)
	go func() { late <- c.BorrowFrom(context.Background(), home, "a", 5, heldWaiter) }()
	<-h.asked
	qt.Assert(t, c.BorrowFrom(context.Background(), home, "a", 5, "other").Tokens, qt.Equals, int64(5))
	qt.Assert(t, (<-late).Short, qt.Equals, escrow.PeerUnreachable)
	qt.Assert(t, c.inBackoff(home), qt.IsFalse)
	qt.Assert(t, c.BorrowFrom(context.Background(), home, "a", 5, "next").Tokens, qt.Equals, int64(5))
}

// A home that answers nobody is avoided, so that requests go on elsewhere at once.
func TestSilentPeerIsAvoided(t *testing.T) {
	h, home := startHeld(t)
	defer close(h.let)
	c := NewClient("p1", func() []string { return nil }, event.Discard())
	go func() { <-h.asked }()
	qt.Assert(t, c.BorrowFrom(context.Background(), home, "a", 5, heldWaiter).Short, qt.Equals, escrow.PeerUnreachable)
	qt.Assert(t, c.inBackoff(home), qt.IsTrue)
}
