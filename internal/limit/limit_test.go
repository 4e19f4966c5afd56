package limit

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// Guards against a refusal with a wrong wait: after it the next request must be admitted.
func TestAdmittedAfterReportedWait(t *testing.T) {
	now := time.Unix(0, 0)
	l := New(func() int { return 1 }, func() time.Time { return now })
	limits := Limits{PerSecond: 10, Burst: 2, Concurrency: 5}
	for range limits.Burst {
		_, _, ok := l.Admit("boatyard", limits)
		qt.Assert(t, ok, qt.IsTrue)
	}
	_, wait, ok := l.Admit("boatyard", limits)
	qt.Assert(t, ok, qt.IsFalse)
	qt.Assert(t, wait, qt.Equals, 100*time.Millisecond)
	_, _, ok = l.Admit("harbour", limits)
	qt.Assert(t, ok, qt.IsTrue, qt.Commentf("another account has limits of its own"))
	now = now.Add(wait)
	_, _, ok = l.Admit("boatyard", limits)
	qt.Assert(t, ok, qt.IsTrue)
}

// Guards against a concurrency slot that is freed before its request has ended, or never.
func TestConcurrencyIsReleased(t *testing.T) {
	l := New(func() int { return 1 }, nil)
	limits := Limits{PerSecond: 1e6, Burst: 1000, Concurrency: 1}
	release, _, ok := l.Admit("boatyard", limits)
	qt.Assert(t, ok, qt.IsTrue)
	_, _, ok = l.Admit("boatyard", limits)
	qt.Assert(t, ok, qt.IsFalse)
	release()
	_, _, ok = l.Admit("boatyard", limits)
	qt.Assert(t, ok, qt.IsTrue)
}

// Guards against rate limits that grow with the number of routers.
func TestFleetStaysWithinTwiceTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		routers := rapid.IntRange(1, 9).Draw(t, "routers")
		now := time.Unix(0, 0)
		limits := Limits{PerSecond: 50, Burst: 1, Concurrency: 1000}
		admitted := 0
		for range routers {
			l := New(func() int { return routers }, func() time.Time { return now })
			start := now
			for range 200 {
				if _, _, ok := l.Admit("a", limits); ok {
					admitted++
				}
				now = now.Add(10 * time.Millisecond)
			}
			now = start
		}
		if allowed := routers + 2*50*2; admitted > allowed+routers {
			t.Fatalf("%d admitted in two seconds, at most %d", admitted, allowed)
		}
	})
}
