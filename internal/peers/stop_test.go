package peers

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/sourcegraph/conc"

	"chicorytiller.example/chicorytiller/internal/escrow"
	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/linkdelay"
)

// Guards against a data race between the end of a router and calls to peers that are given up at that
// moment, whose late answers nobody would wait for, and against loans that nobody accounts for.
func TestCallsAreGivenUpWhileClientEnds(t *testing.T) {
	// If the lender answers while calls are given up, a call may end with its loan.
	for _, answersMeanwhile := range []bool{false, true} {
		t.Run(fmt.Sprintf("lender answers meanwhile %v", answersMeanwhile), func(t *testing.T) {
			for range 5 {
				endClientDuringCalls(t, answersMeanwhile)
			}
		})
	}
}

// endClientDuringCalls ends a client while calls to a lender are under way. The lender answers as soon as
// the client ends, or after the calls were given up.
func endClientDuringCalls(t *testing.T, answersMeanwhile bool) {
	const calls, tokens = 8, 5
	lender, address := startBlockingPeer(t)
	c := NewClient("p1", func() []string { return nil }, event.Discard(), linkdelay.New(nil))
	var late atomic.Int64
	c.OnReturnedTokens(func(loaned map[string]int64) bool {
		late.Add(loaned["a"])
		return true
	})
	ctx, cancel := context.WithCancel(context.Background())
	var client, borrowers conc.WaitGroup
	client.Go(func() { c.Run(ctx) })
	loans := make(chan escrow.Loan, calls)
	for range calls {
		borrowers.Go(func() {
			loans <- c.BorrowFrom(ctx, address, escrow.LoanRequest{Account: "a", Tokens: tokens, WaiterID: blockedWaiter})
		})
	}
	for range calls {
		<-lender.entered
	}
	cancel()
	if answersMeanwhile {
		close(lender.release)
	}
	borrowers.Wait()
	if !answersMeanwhile {
		close(lender.release)
	}
	client.Wait()
	close(loans)
	inTime := int64(0)
	for loan := range loans {
		inTime += loan.Tokens
		if loan.Tokens == 0 || !answersMeanwhile {
			qt.Check(t, loan.Short, qt.Equals, escrow.PeerUnreachable)
		}
	}
	// A loan without an answer in time is either taken late or to be voided.
	qt.Check(t, inTime+late.Load()+tokens*int64(len(c.pending)), qt.Equals, int64(calls*tokens))
}
