package peers

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/linkdelay"
)

// cutAnswers passes calls to a peer on and the first limit bytes of its answers back. passed counts these.
func cutAnswers(t *testing.T, peer string, limit int64) (address string, passed *atomic.Int64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = listener.Close() }) // a failed close does not matter here
	passed = &atomic.Int64{}
	go func() { // returns when the listener is closed
		for {
			caller, err := listener.Accept()
			if err != nil {
				return
			}
			callee, err := net.Dial("tcp", peer)
			if err != nil {
				panic(err)
			}
			go func() { _, _ = io.Copy(callee, caller) }() // ends with the connections
			go func() {
				for n := int64(0); n < limit; n++ {
					if _, err := io.CopyN(caller, callee, 1); err != nil {
						break
					}
					passed.Add(1)
				}
				_ = caller.Close() // the client notices
				_ = callee.Close() // nobody waits for more
			}()
		}
	}()
	return listener.Addr().String(), passed
}

// Guards against a loan that counts though its answer broke off, since the lender takes it back.
func TestCutAnswerOfPeerIsNoLoan(t *testing.T) {
	borrow := func(limit int64) (tokens, passed int64) {
		_, peer := startPeer(t, 100)
		address, count := cutAnswers(t, peer, limit)
		c := NewClient("p1", func() []string { return []string{address} }, event.Discard(), linkdelay.New(nil))
		tokens, _ = c.Borrow(context.Background(), "a", 100)
		return tokens, count.Load()
	}
	whole, size := borrow(1 << 20)
	qt.Assert(t, whole, qt.Equals, int64(100))
	for cut := range size {
		tokens, _ := borrow(cut)
		qt.Assert(t, tokens, qt.Equals, int64(0), qt.Commentf("%d of %d bytes", cut, size))
	}
}
