package escrow

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

// Guards against an explanation that says a request of a low budget would be sent because no reservation came since
// the budget became low, and against one that rations a budget that was topped up since.
func TestLookRationsAsNextReservation(t *testing.T) {
	c := qt.New(t)
	b, m, g := startTestbed()
	g.rate, g.rateWeight, g.waitingTokens = 100_000, 1, 1_000_000-g.used()
	m.syncStore(context.Background(), true)
	g.spent, g.waitingTokens = 985_000, 0
	c.Assert(g.low, qt.IsNil)
	c.Check(m.Look("boatyard", 5_000, 0).Err, qt.ErrorIs, ErrRationed)
	c.Check(g.low, qt.IsNil, qt.Commentf("the question began to ration"))
	_, err := m.Reserve(context.Background(), "boatyard", 5_000, 0)
	c.Check(err, qt.ErrorIs, ErrRationed)
	c.Check(g.isRationed(), qt.IsTrue)

	b.prepaid["boatyard"] = 2_000_000
	c.Check(errors.Is(m.Look("boatyard", 5_000, 0).Err, ErrRationed), qt.IsFalse)
	c.Check(g.isRationed(), qt.IsTrue, qt.Commentf("the question ended the rationing"))
}
