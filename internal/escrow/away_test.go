package escrow

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytiller.example/chicorytiller/internal/event"
)

// unreachedPeers answer nobody.
type unreachedPeers struct{ Peers }

func (unreachedPeers) BorrowFrom(context.Context, string, string, int64, string) Loan {
	return Loan{Short: PeerUnreachable}
}

// Guards against passing a home by for a second because one caller left.
func TestRequestWhoseTimeIsOverTellsNothingOfTheHome(t *testing.T) {
	k := New(Options{Log: event.Discard(), Peers: unreachedPeers{}, Clock: func() ClockReading { return ClockReading{Steady: time.Minute} }})
	h := &pendingReservation{manager: k, grant: k.grant("boatyard"), tokens: 1, missing: 1}
	ctx, leave := context.WithCancel(context.Background())
	leave()
	k.borrowFrom(ctx, h, "home")
	qt.Assert(t, k.isUnavailable("home"), qt.IsFalse)
	k.borrowFrom(context.Background(), h, "home")
	qt.Assert(t, k.isUnavailable("home"), qt.IsTrue)
}
