package escrow

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytiller.example/chicorytiller/internal/event"
)

// unreachablePeers don't answer.
type unreachablePeers struct{ Peers }

func (unreachablePeers) BorrowFrom(context.Context, string, LoanRequest) Loan {
	return Loan{Short: PeerUnreachable}
}

// Guards against skipping the home for holderBackoff because one request was cancelled.
func TestCancelledRequestDoesNotMarkHomeUnavailable(t *testing.T) {
	m := New(Options{Log: event.Discard(), Peers: unreachablePeers{}, Clock: func() ClockReading { return ClockReading{Steady: time.Minute} }})
	r := &pendingReservation{manager: m, grant: m.grant("boatyard"), tokens: 1, missing: 1}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	m.borrowFrom(ctx, r, "home")
	qt.Assert(t, m.isUnavailable("home"), qt.IsFalse)
	m.borrowFrom(context.Background(), r, "home")
	qt.Assert(t, m.isUnavailable("home"), qt.IsTrue)
}
