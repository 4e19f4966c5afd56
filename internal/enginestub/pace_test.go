package enginestub

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against stand-ins that are all alike, and against shares of slowed ones that differ from
// those of the deployments.
func TestPacesOfEngines(t *testing.T) {
	const engines, intervals = 600, 30
	old, slow := 0, 0
	for seed := range uint64(engines) {
		p := newPace(Uneven{Seed: seed, Pace: true})
		if p.machine == oldFactor {
			old++
		}
		for i := range intervals {
			if p.at(startTime.Add(time.Duration(i)*paceInterval)) == p.machine*slowFactor {
				slow++
			}
		}
	}
	within := func(count, of int, share float64) bool {
		got := float64(count) / float64(of)
		return got > share*0.85 && got < share*1.15
	}
	qt.Check(t, within(old, engines, oldShare), qt.IsTrue, qt.Commentf("%d old of %d", old, engines))
	qt.Check(t, within(slow, engines*intervals, slowShare), qt.IsTrue, qt.Commentf("%d slow of %d", slow, engines*intervals))
}

// Guards against a reported pace that differs from how long the engine's work takes.
func TestPaceIsReportedAndTaken(t *testing.T) {
	c := qt.New(t)
	p := newPace(Uneven{Seed: 3, Pace: true})
	clock := paceClock{pace: p}
	clock.now(startTime)
	for i, end := 0, p.intervalEnd(startTime); i < 50; i, end = i+1, end.Add(paceInterval) {
		before := clock.now(end)
		reported := loadReport{slots: 1}.header(p, end.Add(paceInterval+paceReportAge-1), 1)
		work := clock.now(end.Add(paceInterval / 2)).Sub(before)
		c.Assert(work, qt.Equals, time.Duration(float64(paceInterval/2)/p.at(end)))
		want := map[float64]string{1: "100", 1.3: "130", 2.5: "250", 3.25: "325"}[p.at(end)]
		c.Assert(reported, qt.Equals, "0,0,1,"+want)
	}
}

// Guards against kinds of nonsensical load headers that are never sent.
func TestNonsensicalLoadHeaders(t *testing.T) {
	p := newPace(Uneven{Seed: 3, Pace: true, NonsenseShare: 0.2})
	headers := make(map[string]int)
	valid := loadReport{running: 5, waiting: 1, slots: 8}.header(newPace(Uneven{Seed: 3, Pace: true}), startTime, 0)
	for number := range int64(1000) {
		headers[loadReport{running: 5, waiting: 1, slots: 8}.header(p, startTime, number)]++
	}
	qt.Assert(t, headers, qt.HasLen, 7, qt.Commentf("%v", headers))
	qt.Assert(t, headers[valid] > 700 && headers[valid] < 900, qt.IsTrue, qt.Commentf("%v", headers))
	qt.Assert(t, strings.Count(valid, ","), qt.Equals, 3)
}
