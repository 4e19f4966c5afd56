package escrow

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A budget is used up and forty requests a second are refused for it. Its state is told
// once a second, with the number of times that it was not told.
func TestSparseLogTellsOnceASecond(t *testing.T) {
	l, now := sparseLog{}, time.Minute
	qt.Assert(t, l.due(now), qt.IsTrue)
	qt.Assert(t, l.take(), qt.Equals, 0)
	qt.Assert(t, l.due(now+1), qt.IsFalse)
	qt.Assert(t, l.due(now+sparseLogEvery-1), qt.IsFalse)
	qt.Assert(t, l.due(now+sparseLogEvery), qt.IsTrue)
	qt.Assert(t, l.take(), qt.Equals, 2)
}
