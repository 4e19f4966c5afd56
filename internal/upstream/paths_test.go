package upstream

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against requests that wait for a path known to be cut, and one that stays cut for good.
func TestCutPathsAreProbedBesideRequests(t *testing.T) {
	now := time.Unix(1000, 0)
	p := newPaths(func() time.Time { return now })
	isCut := func() bool { cut, _ := p.lookup("a"); return cut }
	qt.Assert(t, isCut(), qt.IsFalse)
	qt.Assert(t, p.markCut("a"), qt.IsTrue)
	qt.Assert(t, p.markCut("a"), qt.IsFalse)
	qt.Assert(t, isCut(), qt.IsTrue)
	qt.Assert(t, p.startProbe("a"), qt.IsFalse, qt.Commentf("it was tried just now"))
	now = now.Add(probeInterval)
	qt.Assert(t, p.startProbe("a"), qt.IsTrue)
	qt.Assert(t, p.startProbe("a"), qt.IsFalse)
	cutFor, changed := p.markConnected("a")
	qt.Assert(t, changed, qt.IsTrue)
	qt.Assert(t, cutFor, qt.Equals, probeInterval)
	qt.Assert(t, isCut(), qt.IsFalse)
}

// Guards against requests that one after the other wait for a server that nobody reaches, and against
// a path that is taken for cut because the server is gone.
func TestUnreachableServerIsProbedBesideRequests(t *testing.T) {
	now := time.Unix(1000, 0)
	p := newPaths(func() time.Time { return now })
	p.markUnreachable("a")
	cut, unreachable := p.lookup("a")
	qt.Assert(t, cut, qt.IsFalse)
	qt.Assert(t, unreachable, qt.IsTrue)
	qt.Assert(t, p.startProbe("a"), qt.IsTrue)
	qt.Assert(t, p.startProbe("a"), qt.IsFalse)
	_, changed := p.markConnected("a")
	qt.Assert(t, changed, qt.IsFalse)
	_, unreachable = p.lookup("a")
	qt.Assert(t, unreachable, qt.IsFalse)

	p.markUnreachable("a")
	p.markCut("a")
	cut, unreachable = p.lookup("a")
	qt.Assert(t, cut, qt.IsTrue)
	qt.Assert(t, unreachable, qt.IsFalse)
}

// Guards against memory that grows with each server that ever went away.
func TestUnusedPathsAreForgotten(t *testing.T) {
	now := time.Unix(1000, 0)
	p := newPaths(func() time.Time { return now })
	p.markCut("a")
	p.markCut("b")
	now = now.Add(pathTTL - time.Second)
	p.lookup("b")
	now = now.Add(time.Second)
	p.expire()
	qt.Assert(t, p.countCut(), qt.Equals, 1)
}
