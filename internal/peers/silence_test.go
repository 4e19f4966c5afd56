package peers

import (
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytiller.example/chicorytiller/internal/escrow"
	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/linkdelay"
	"chicorytiller.example/chicorytiller/internal/store"
)

// blockingLender blocks the calls of blockedWaiter until release is closed.
type blockingLender struct {
	fakeLender
	entered, release chan struct{}
}

const blockedWaiter = "held"

func (l *blockingLender) Lend(request escrow.LoanRequest) escrow.Loan {
	if request.WaiterID == blockedWaiter {
		l.entered <- struct{}{}
		<-l.release
	}
	return l.fakeLender.Lend(request)
}

func startBlockingPeer(t *testing.T) (*blockingLender, string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = listener.Close() }) // a failed close does not matter here
	l := &blockingLender{fakeLender: fakeLender{tokens: 1000}, entered: make(chan struct{}, 1), release: make(chan struct{})}
	go func() { _ = Serve(listener, l, emptyState{}, event.Discard(), nil) }() // returns when the listener is closed
	return l, listener.Addr().String()
}

// A cancelled call must neither put the peer in backoff nor close the connection that other calls
// use.
func TestCancelledCallDoesNotAffectOtherCalls(t *testing.T) {
	lender, address := startBlockingPeer(t)
	c := NewClient("p1", func() []string { return nil }, event.Discard(), linkdelay.New(nil))
	waiting := make(chan escrow.Loan)
	go func() {
		waiting <- c.BorrowFrom(context.Background(), address, escrow.LoanRequest{Account: "a", Tokens: 5, WaiterID: blockedWaiter})
	}()
	<-lender.entered
	ctx, cancel := context.WithCancel(context.Background())
	cancelled := make(chan escrow.Loan)
	go func() {
		cancelled <- c.BorrowFrom(ctx, address, escrow.LoanRequest{Account: "a", Tokens: 5, WaiterID: blockedWaiter})
	}()
	<-lender.entered
	cancel()
	qt.Assert(t, (<-cancelled).Short, qt.Equals, escrow.PeerUnreachable)
	qt.Assert(t, c.BorrowFrom(context.Background(), address, escrow.LoanRequest{Account: "a", Tokens: 5, WaiterID: "next"}).Tokens, qt.Equals, int64(5))
	close(lender.release)
	qt.Assert(t, (<-waiting).Tokens, qt.Equals, int64(5))
}

// A call that times out must not put a peer in backoff that has answered other calls meanwhile.
func TestTimeoutAtResponsivePeerStartsNoBackoff(t *testing.T) {
	lender, address := startBlockingPeer(t)
	defer close(lender.release)
	c := NewClient("p1", func() []string { return nil }, event.Discard(), linkdelay.New(nil))
	timedOut := make(chan escrow.Loan)
	go func() {
		timedOut <- c.BorrowFrom(context.Background(), address, escrow.LoanRequest{Account: "a", Tokens: 5, WaiterID: blockedWaiter})
	}()
	<-lender.entered
	qt.Assert(t, c.BorrowFrom(context.Background(), address, escrow.LoanRequest{Account: "a", Tokens: 5, WaiterID: "other"}).Tokens, qt.Equals, int64(5))
	qt.Assert(t, (<-timedOut).Short, qt.Equals, escrow.PeerUnreachable)
	qt.Assert(t, c.inBackoff(address), qt.IsFalse)
	qt.Assert(t, c.BorrowFrom(context.Background(), address, escrow.LoanRequest{Account: "a", Tokens: 5, WaiterID: "next"}).Tokens, qt.Equals, int64(5))
}

// A peer that answers no call is put in backoff, so that requests ask other peers immediately.
func TestUnresponsivePeerIsInBackoff(t *testing.T) {
	lender, address := startBlockingPeer(t)
	defer close(lender.release)
	c := NewClient("p1", func() []string { return nil }, event.Discard(), linkdelay.New(nil))
	go func() { <-lender.entered }()
	qt.Assert(t, c.BorrowFrom(context.Background(), address, escrow.LoanRequest{Account: "a", Tokens: 5, WaiterID: blockedWaiter}).Short, qt.Equals, escrow.PeerUnreachable)
	qt.Assert(t, c.inBackoff(address), qt.IsTrue)
}

// knownState answers Known with many items.
type knownState struct {
	emptyState
	items []store.Item
}

func (s knownState) Known() Known { return Known{Config: s.items, Servers: s.items} }

// Guards against a data race of a starting router that gives up the question for what another one knows
// while its answer arrives.
func TestAnswerThatIsGivenUpIsNotRead(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = listener.Close() }) // a failed close does not matter here
	state := knownState{items: make([]store.Item, 20_000)}
	go func() { _ = Serve(listener, &fakeLender{}, state, event.Discard(), nil) }() // returns when the listener is closed
	for i := range 24 {
		c := NewClient("p1", func() []string { return nil }, event.Discard(), linkdelay.New(nil))
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(10*i)*time.Millisecond)
		known, err := c.Known(ctx, listener.Addr().String())
		if err != nil {
			qt.Check(t, known.Config, qt.HasLen, 0)
		}
		cancel()
	}
}
