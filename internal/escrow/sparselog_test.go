package escrow

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against one log line per refusal once a budget is used up.
func TestSparseLogInterval(t *testing.T) {
	l, now := sparseLog{}, time.Minute
	qt.Assert(t, l.due(now), qt.IsTrue)
	qt.Assert(t, l.takeSuppressed(), qt.Equals, 0)
	qt.Assert(t, l.due(now+1), qt.IsFalse)
	qt.Assert(t, l.due(now+sparseLogInterval-1), qt.IsFalse)
	qt.Assert(t, l.due(now+sparseLogInterval), qt.IsTrue)
	qt.Assert(t, l.takeSuppressed(), qt.Equals, 2)
}
