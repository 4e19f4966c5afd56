package pacing

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var testLimits = []float64{0, 0.3, 1.2, 1.6, 5, 20}

// Guards against routers that each keep to a server's limit and overrun it together, at any size of the fleet.
func TestLimitHoldsOverAllRouters(t *testing.T) {
	for _, routers := range []int{1, 9, 100} {
		for i, perSecond := range testLimits {
			w := newWorld(routers, uint64(routers*10+i))
			w.run(2 * time.Second)
			w.name(perSecond)
			w.run(20 * time.Second)
			w.assertWithin(t, perSecond)
			late := 0
			for _, a := range w.got {
				if a.at.Sub(w.named) >= 10*time.Second {
					late++
				}
			}
			// Callers come at random, and a place that nobody wants is lost.
			offered := w.asks * float64(min(routers, senders(perSecond))) / testStep.Seconds()
			least := 0.5 * 10 * min(perSecond, offered/2)
			qt.Check(t, float64(late) >= least, qt.IsTrue, qt.Commentf("%d routers, limit %v: %d requests in ten seconds", routers, perSecond, late))
		}
	}
}

// Guards against a bound that breaks while the senders die, restart and are replaced in series.
func TestLimitHoldsWhileSendersAreReplaced(t *testing.T) {
	for _, routers := range []int{9, 100} {
		for seed, perSecond := range testLimits {
			w := newWorld(routers, uint64(seed))
			w.run(time.Second)
			w.name(perSecond)
			w.run(6 * time.Second)
			for range 15 {
				first := w.firstInRank()
				w.kill(first)
				w.run(time.Duration(w.random.Int64N(int64(1500 * time.Millisecond))))
				w.back(first)
				w.run(time.Duration(w.random.Int64N(int64(1500 * time.Millisecond))))
			}
			w.assertWithin(t, perSecond)
		}
	}
}

// firstInRank is a router that is alive and ahead of the others.
func (w *world) firstInRank() *simRouter {
	best, ahead := w.routers[0], len(w.routers)
	for _, r := range w.routers {
		if p := w.place(r); r.alive && p.Valid && p.Position < ahead {
			best, ahead = r, p.Position
		}
	}
	return best
}

// Guards against a limit that stays in force after its end at routers that send nothing to the server.
func TestEndOfALimitIsKnownToAll(t *testing.T) {
	for _, routers := range []int{9, 100} {
		w := newWorld(routers, 7)
		w.run(time.Second)
		w.name(1.2)
		w.run(12 * time.Second)
		w.name(-1)
		w.run(15 * time.Second)
		for _, r := range w.routers {
			qt.Check(t, r.limits.Count(), qt.Equals, 0)
		}
		qt.Check(t, w.users(5*time.Second) > routers/2, qt.IsTrue, qt.Commentf("%d of %d routers send", w.users(5*time.Second), routers))
	}
}

// Guards against senders that go on at the rate of a limit that fell meanwhile.
func TestLimitThatFallsHolds(t *testing.T) {
	for _, routers := range []int{9, 100} {
		w := newWorld(routers, 11)
		w.name(20)
		w.run(10 * time.Second)
		w.name(0.3)
		w.run(10 * time.Second)
		w.assertWithin(t, 0.3)
	}
}

// Guards against a flood when a store comes back that was away while a server named its limit.
func TestLimitHoldsThroughAnOutage(t *testing.T) {
	for _, routers := range []int{9, 100} {
		w := newWorld(routers, 13)
		w.storeDown = true
		w.name(1.2)
		w.run(12 * time.Second)
		w.storeDown = false
		w.run(30 * time.Second)
		w.assertWithin(t, 1.2)
		qt.Check(t, w.users(10*time.Second) > 0, qt.IsTrue)
	}
}

// Guards against a limit whose end nobody hears since its senders have no callers.
func TestIdleSendersAreReplaced(t *testing.T) {
	w := newWorld(9, 17)
	w.name(1.2)
	w.run(8 * time.Second)
	for _, r := range w.routers {
		if place := w.place(r); place.Position < senders(1.2) {
			r.limiter.SenderRank = func(string) SenderRank { return SenderRank{} } // it never asks
		}
	}
	w.name(-1)
	w.run(refreshInterval + rotationInterval + 10*time.Second)
	for _, r := range w.routers {
		qt.Check(t, r.limits.Count(), qt.Equals, 0)
	}
}

// Guards against writes that grow with the routers that were told, or go on while nothing changes.
func TestWritesOfALimitDoNotGrowWithTheFleet(t *testing.T) {
	for _, routers := range []int{9, 195} {
		w := newWorld(routers, 19)
		w.asks = 0.2
		w.name(5)
		w.run(60 * time.Second)
		const most = 30 + 2*6 // at the begin, and twice each ten seconds of the minute
		qt.Check(t, len(w.records) <= most, qt.IsTrue, qt.Commentf("%d routers: %d records", routers, len(w.records)))
	}
}

// Guards against old and new senders that overrun a limit together while some don't know yet that they are replaced.
func TestLimitHoldsWhileAllSendersAreReplacedAtOnce(t *testing.T) {
	for _, perSecond := range testLimits {
		w := newWorld(9, 23)
		w.asks = 1
		w.name(perSecond)
		w.run(12 * time.Second)
		old := func(r *simRouter) bool { return w.place(r).Position < senders(perSecond) }
		for _, r := range w.routers {
			r.lag = 0
			if old(r) {
				r.lag = viewOld
			}
		}
		w.list(w.now, func(listed map[int]time.Time) {
			for _, r := range w.routers {
				if r.lag > 0 {
					delete(listed, r.index)
				}
			}
		})
		w.run(10 * time.Second)
		w.assertWithin(t, perSecond)
	}
}
