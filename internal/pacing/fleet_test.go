package pacing

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var testLimits = []float64{0, 0.3, 1.2, 1.6, 5, 20}

// Guards against routers that each keep to a server's limit but exceed it together, whatever the
// size of the fleet.
func TestLimitHoldsAcrossRouters(t *testing.T) {
	for _, routers := range []int{1, 9, 100} {
		for i, perSecond := range testLimits {
			sim := newSimulation(routers, uint64(routers*10+i))
			sim.run(2 * time.Second)
			sim.setLimit(perSecond)
			sim.run(20 * time.Second)
			sim.assertWithinLimit(t, perSecond)
			admitted := 0
			for _, a := range sim.arrivals {
				if a.at.Sub(sim.limitSince) >= 10*time.Second {
					admitted++
				}
			}
			// Requests arrive at random, and capacity that is not used in time is lost.
			offered := sim.sendProbability * float64(min(routers, senders(perSecond))) / testStep.Seconds()
			minAdmitted := 0.5 * 10 * min(perSecond, offered/2)
			qt.Check(t, float64(admitted) >= minAdmitted, qt.IsTrue, qt.Commentf("%d routers, limit %v: %d requests in ten seconds", routers, perSecond, admitted))
		}
	}
}

// Guards against exceeding the limit while one sender after the other is killed, replaced and
// restarted.
func TestLimitHoldsWhileSendersRestart(t *testing.T) {
	for _, routers := range []int{9, 100} {
		for seed, perSecond := range testLimits {
			sim := newSimulation(routers, uint64(seed))
			sim.run(time.Second)
			sim.setLimit(perSecond)
			sim.run(6 * time.Second)
			for range 15 {
				sender := sim.firstInRank()
				sim.kill(sender)
				sim.run(time.Duration(sim.rng.Int64N(int64(1500 * time.Millisecond))))
				sim.restart(sender)
				sim.run(time.Duration(sim.rng.Int64N(int64(1500 * time.Millisecond))))
			}
			sim.assertWithinLimit(t, perSecond)
		}
	}
}

// firstInRank returns the running router with the lowest position.
func (sim *simulation) firstInRank() *simRouter {
	best, position := sim.routers[0], len(sim.routers)
	for _, r := range sim.routers {
		if rank := sim.senderRank(r); r.alive && rank.Valid && rank.Position < position {
			best, position = r, rank.Position
		}
	}
	return best
}

// Guards against a limit that stays in force after its end at routers that send nothing to the
// server.
func TestLimitEndReachesAllRouters(t *testing.T) {
	for _, routers := range []int{9, 100} {
		sim := newSimulation(routers, 7)
		sim.run(time.Second)
		sim.setLimit(1.2)
		sim.run(12 * time.Second)
		sim.setLimit(-1)
		sim.run(15 * time.Second)
		for _, r := range sim.routers {
			qt.Check(t, r.limits.Count(), qt.Equals, 0)
		}
		qt.Check(t, sim.activeRouters(5*time.Second) > routers/2, qt.IsTrue, qt.Commentf("%d of %d routers send", sim.activeRouters(5*time.Second), routers))
	}
}

// Guards against senders that continue at the old rate after the limit was lowered.
func TestLoweredLimitHolds(t *testing.T) {
	for _, routers := range []int{9, 100} {
		sim := newSimulation(routers, 11)
		sim.setLimit(20)
		sim.run(10 * time.Second)
		sim.setLimit(0.3)
		sim.run(10 * time.Second)
		sim.assertWithinLimit(t, 0.3)
	}
}

// Guards against a burst of requests when the store returns after an outage during which a server
// announced a limit.
func TestLimitHoldsThroughStoreOutage(t *testing.T) {
	for _, routers := range []int{9, 100} {
		sim := newSimulation(routers, 13)
		sim.storeDown = true
		sim.setLimit(1.2)
		sim.run(12 * time.Second)
		sim.storeDown = false
		sim.run(30 * time.Second)
		sim.assertWithinLimit(t, 1.2)
		qt.Check(t, sim.activeRouters(10*time.Second) > 0, qt.IsTrue)
	}
}

// Guards against a limit that never ends because its senders get no requests from callers.
func TestIdleSendersAreRotatedOut(t *testing.T) {
	sim := newSimulation(9, 17)
	sim.setLimit(1.2)
	sim.run(8 * time.Second)
	for _, r := range sim.routers {
		if rank := sim.senderRank(r); rank.Position < senders(1.2) {
			r.limiter.SenderRank = func(string) SenderRank { return SenderRank{} } // sends nothing
		}
	}
	sim.setLimit(-1)
	sim.run(refreshInterval + rotationInterval + 10*time.Second)
	for _, r := range sim.routers {
		qt.Check(t, r.limits.Count(), qt.Equals, 0)
	}
}

// Guards against record writes that grow with the number of routers that received the limit, or
// that continue while nothing changes.
func TestRecordWritesDoNotGrowWithFleet(t *testing.T) {
	for _, routers := range []int{9, 195} {
		sim := newSimulation(routers, 19)
		sim.sendProbability = 0.2
		sim.setLimit(5)
		sim.run(60 * time.Second)
		const maxRecords = 30 + 2*6 // 30 at the start, and two per refreshInterval of 10 s within the minute
		qt.Check(t, len(sim.records) <= maxRecords, qt.IsTrue, qt.Commentf("%d routers: %d records", routers, len(sim.records)))
	}
}

// Guards against old and new senders that exceed a limit together while the old ones haven't yet
// learned that they were replaced.
func TestLimitHoldsWhenAllSendersAreReplaced(t *testing.T) {
	for _, perSecond := range testLimits {
		sim := newSimulation(9, 23)
		sim.sendProbability = 1
		sim.setLimit(perSecond)
		sim.run(12 * time.Second)
		isSender := func(r *simRouter) bool { return sim.senderRank(r).Position < senders(perSecond) }
		for _, r := range sim.routers {
			r.viewLag = 0
			if isSender(r) {
				r.viewLag = maxViewLag
			}
		}
		sim.updateMembers(sim.now, func(listed map[int]time.Time) {
			for _, r := range sim.routers {
				if r.viewLag > 0 {
					delete(listed, r.index)
				}
			}
		})
		sim.run(10 * time.Second)
		sim.assertWithinLimit(t, perSecond)
	}
}
