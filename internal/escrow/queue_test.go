package escrow

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against starvation of large requests by later, smaller ones.
func TestQueueAdmitsWholeRequestsInOrder(t *testing.T) {
	q := queue{}
	now := time.Second
	qt.Assert(t, q.admit("a", 50, 10, now), qt.IsFalse)
	qt.Assert(t, q.admit("b", 5, 10, now), qt.IsFalse)
	qt.Assert(t, q.admit("c", 20, 10, now), qt.IsFalse)
	qt.Assert(t, q.queuedTokens(now), qt.Equals, int64(75))
	now += 100 * time.Millisecond
	qt.Assert(t, q.admit("b", 5, 54, now), qt.IsFalse)
	qt.Assert(t, q.admit("a", 50, 54, now), qt.IsTrue)
	qt.Assert(t, q.admit("b", 5, 4, now), qt.IsFalse)
	qt.Assert(t, q.admit("b", 5, 24, now), qt.IsTrue)
	qt.Assert(t, q.admit("c", 20, 20, now), qt.IsTrue)
	qt.Assert(t, q.queuedTokens(now), qt.Equals, int64(0))
}

// Guards against a queue that waits for a request which has been abandoned.
func TestQueueDropsExpiredWaiters(t *testing.T) {
	q := queue{}
	qt.Assert(t, q.admit("a", 50, 10, 0), qt.IsFalse)
	qt.Assert(t, q.admit("b", 5, 10, 300*time.Millisecond), qt.IsFalse)
	qt.Assert(t, q.admit("b", 5, 10, waiterTimeout+1), qt.IsTrue)
}
