package peers

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytiller.example/chicorytiller/internal/escrow"
	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/linkdelay"
)

// slowLink forwards connections to a peer and delays what the peer sends.
func slowLink(t *testing.T, target string, delay time.Duration) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = listener.Close() }) // a failed close does not matter here
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", target)
			if err != nil {
				_ = near.Close() // the client sees a broken connection
				continue
			}
			go func() { _, _ = io.Copy(far, near) }() // ends when either side closes
			go forwardLate(near, far, delay)
		}
	}()
	return listener.Addr().String()
}

// forwardLate copies from far to near, each part after the delay.
func forwardLate(near io.WriteCloser, far io.Reader, delay time.Duration) {
	buf := make([]byte, 4096)
	for {
		n, err := far.Read(buf)
		if err != nil {
			_ = near.Close() // the client sees a broken connection
			return
		}
		part := append([]byte(nil), buf[:n]...)
		time.AfterFunc(delay, func() { _, _ = near.Write(part) }) // fails only once the client has left
	}
}

// Guards against a router on a full link that gets no tokens for as long as the link is full,
// because every answer comes after the usual timeout.
func TestLoansSucceedOverFullLink(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = listener.Close() }) // a failed close does not matter here
	lender := &fakeLender{tokens: 1_000_000}
	go func() { _ = Serve(listener, lender, emptyState{}, event.Discard(), nil) }() // returns when the listener is closed
	address := slowLink(t, listener.Addr().String(), callTimeout+100*time.Millisecond)

	c := NewClient("p1", func() []string { return nil }, event.Discard(), linkdelay.New(nil))
	const enough = 3 // loans in a row, far from the first one
	const patience = 6 * time.Second
	got := 0
	for began := time.Now(); got < enough && time.Since(began) < patience; {
		loan := c.BorrowFrom(context.Background(), address, escrow.LoanRequest{Account: "a", Tokens: 5, WaiterID: "waiter"})
		if loan.Tokens == 5 {
			got++
			continue
		}
		time.Sleep(20 * time.Millisecond) // until the next request asks
	}
	qt.Assert(t, got, qt.Equals, enough)
}

// Guards against tokens that a router on a full link takes from the lender and never uses, because
// the loan arrived after its request had been refused.
func TestLateLoanIsPassedOn(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = listener.Close() }) // a failed close does not matter here
	lender := &fakeLender{tokens: 100}
	go func() { _ = Serve(listener, lender, emptyState{}, event.Discard(), nil) }() // returns when the listener is closed
	address := slowLink(t, listener.Addr().String(), callTimeout+100*time.Millisecond)

	c := NewClient("p1", func() []string { return nil }, event.Discard(), linkdelay.New(nil))
	late := make(chan map[string]int64, 1)
	c.OnReturnedTokens(func(tokens map[string]int64) bool {
		late <- tokens
		return true
	})
	loan := c.BorrowFrom(context.Background(), address, escrow.LoanRequest{Account: "a", Tokens: 5, WaiterID: "waiter"})
	qt.Assert(t, loan.Short, qt.Equals, escrow.PeerUnreachable)
	select {
	case tokens := <-late:
		qt.Assert(t, tokens, qt.DeepEquals, map[string]int64{"a": 5})
	case <-time.After(5 * time.Second):
		t.Fatal("the loan was not passed on")
	}
	c.settlePending(context.Background())
	lender.mu.Lock()
	defer lender.mu.Unlock()
	qt.Assert(t, lender.tokens, qt.Equals, int64(95), qt.Commentf("the loan must not be voided as well"))
}

// Guards against large answers to a follower that go on coming, beside the next one, after the
// follower has given up on them.
func TestLateAnswerToFollowerIsCutOff(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = listener.Close() })                                             // a failed close does not matter here
	go func() { _ = Serve(listener, &fakeLender{}, emptyState{}, event.Discard(), nil) }() // returns when the listener is closed
	address := slowLink(t, listener.Addr().String(), time.Minute)

	c := NewClient("p1", func() []string { return nil }, event.Discard(), linkdelay.New(nil))
	err = c.callWithTimeout(context.Background(), 10*time.Millisecond, address, "Follow", FollowRequest{}, &FollowAnswer{}, nil)
	qt.Assert(t, err, qt.ErrorIs, ErrUnreachable)
	c.mu.Lock()
	defer c.mu.Unlock()
	qt.Assert(t, c.connections[address], qt.IsNil)
}
