package escrow

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against large requests that later, smaller ones overtake for ever.
func TestQueueServesWholeAndInOrder(t *testing.T) {
	l := queue{}
	now := time.Second
	qt.Assert(t, l.admit("a", 50, 10, now), qt.IsFalse)
	qt.Assert(t, l.admit("b", 5, 10, now), qt.IsFalse)
	qt.Assert(t, l.admit("c", 20, 10, now), qt.IsFalse)
	qt.Assert(t, l.queuedTokens(now), qt.Equals, int64(75))
	now += 100 * time.Millisecond
	qt.Assert(t, l.admit("b", 5, 54, now), qt.IsFalse)
	qt.Assert(t, l.admit("a", 50, 54, now), qt.IsTrue)
	qt.Assert(t, l.admit("b", 5, 4, now), qt.IsFalse)
	qt.Assert(t, l.admit("b", 5, 24, now), qt.IsTrue)
	qt.Assert(t, l.admit("c", 20, 20, now), qt.IsTrue)
	qt.Assert(t, l.queuedTokens(now), qt.Equals, int64(0))
}

// The first in the queue gives up without a word. The others don't wait for it.
func TestQueueForgetsWhoStoppedAsking(t *testing.T) {
	l := queue{}
	qt.Assert(t, l.admit("a", 50, 10, 0), qt.IsFalse)
	qt.Assert(t, l.admit("b", 5, 10, 300*time.Millisecond), qt.IsFalse)
	qt.Assert(t, l.admit("b", 5, 10, waiterTimeout+1), qt.IsTrue)
}
