package upstream

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against requests that wait for a path known to be down, and one that stays down for good.
func TestPathsAreProbedBesideRequests(t *testing.T) {
	now := time.Unix(1000, 0)
	p := newPaths(func() time.Time { return now })
	isDown := func() bool { down, _ := p.isDown("a"); return down }
	isUnreachable := func() bool { _, unreachable := p.isDown("a"); return unreachable }
	qt.Assert(t, isDown(), qt.IsFalse)
	qt.Assert(t, p.markDown("a"), qt.IsTrue)
	qt.Assert(t, p.markDown("a"), qt.IsFalse)
	qt.Assert(t, isDown(), qt.IsTrue)
	qt.Assert(t, p.startProbe("a"), qt.IsFalse, qt.Commentf("it was tried just now"))
	now = now.Add(probeInterval)
	qt.Assert(t, p.startProbe("a"), qt.IsTrue)
	qt.Assert(t, p.startProbe("a"), qt.IsFalse)

	p.markUnreachable("a")
	qt.Assert(t, isUnreachable(), qt.IsTrue)
	now = now.Add(unreachableTime)
	qt.Assert(t, isUnreachable(), qt.IsFalse)

	downFor, changed := p.markUp("a")
	qt.Assert(t, changed, qt.IsTrue)
	qt.Assert(t, downFor, qt.Equals, probeInterval+unreachableTime)
	qt.Assert(t, isDown(), qt.IsFalse)
	qt.Assert(t, p.startProbe("a"), qt.IsFalse)
}

// Guards against memory that grows with each server that ever went away.
func TestUnusedPathsAreForgotten(t *testing.T) {
	now := time.Unix(1000, 0)
	p := newPaths(func() time.Time { return now })
	p.markDown("a")
	p.markDown("b")
	now = now.Add(pathTTL - time.Second)
	p.isDown("b")
	now = now.Add(time.Second)
	p.expire()
	qt.Assert(t, p.count(), qt.Equals, 1)
}
