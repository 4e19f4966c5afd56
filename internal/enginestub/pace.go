package enginestub

import (
	"strconv"
	"time"
)

// Figures of the deployments that the engines stand in for (docs/design/load.md).
const (
	paceInterval  = 600 * time.Millisecond // between two changes of an engine's pace
	paceReportAge = 100 * time.Millisecond // age of a reported pace
	slowShare     = 1.0 / 7                // share of intervals in which an engine is slowed
	slowFactor    = 2.5
	oldShare      = 1.0 / 3 // share of engines on machines that always take longer
	oldFactor     = 1.3
)

// pace is the time that work takes at an engine, where 1 is normal. It is a function of the time
// alone, so that reports can refer to the past.
type pace struct {
	uneven  Uneven
	machine float64 // pace of the machine without other workloads
	phase   time.Duration
}

func newPace(u Uneven) pace {
	p := pace{uneven: u, machine: 1}
	if u.draw(drawMachine, 0) < oldShare {
		p.machine = oldFactor
	}
	p.phase = time.Duration(u.draw(drawPhase, 0) * float64(paceInterval))
	return p
}

// at returns the pace at a time.
func (p pace) at(t time.Time) float64 {
	if !p.uneven.Pace {
		return 1
	}
	if p.uneven.draw(drawPace, p.interval(t)) < slowShare {
		return p.machine * slowFactor
	}
	return p.machine
}

// interval returns the number of the interval that contains t.
func (p pace) interval(t time.Time) int64 {
	return (t.UnixNano() + int64(p.phase)) / int64(paceInterval)
}

// intervalEnd returns the end of the interval that contains t.
func (p pace) intervalEnd(t time.Time) time.Time {
	return t.Add(paceInterval - time.Duration((t.UnixNano()+int64(p.phase))%int64(paceInterval)))
}

// workDone returns the work that is done between two times, as the time it takes at normal pace.
func (p pace) workDone(from, to time.Time) time.Duration {
	if !p.uneven.Pace {
		return to.Sub(from)
	}
	work := time.Duration(0)
	for from.Before(to) {
		end := p.intervalEnd(from)
		if end.After(to) {
			end = to
		}
		work += time.Duration(float64(end.Sub(from)) / p.at(from))
		from = end
	}
	return work
}

// timeFor returns how long work takes from t on. If the pace changes before its end, it returns
// the time until the change.
func (p pace) timeFor(t time.Time, work time.Duration) time.Duration {
	if !p.uneven.Pace {
		return work
	}
	return min(time.Duration(float64(work)*p.at(t)), p.intervalEnd(t).Sub(t))
}

// paceClock is a clock that advances with the work done instead of the time.
type paceClock struct {
	pace pace
	last time.Time // of the last call
	work time.Time
}

// now returns the clock's time at a time that is not before the one of the last call.
func (c *paceClock) now(t time.Time) time.Time {
	if c.last.IsZero() {
		c.last, c.work = t, t
	}
	c.work = c.work.Add(c.pace.workDone(c.last, t))
	c.last = t
	return c.work
}

// loadReport is the content of a load header.
type loadReport struct {
	running, waiting, slots int
}

// header returns the value of the load header: "running,waiting,slots", followed by the pace in
// percent if the engine reports it. number is the number of the report; some have a nonsensical
// pace or number of figures.
func (r loadReport) header(p pace, now time.Time, number int64) string {
	counts := strconv.Itoa(r.running) + "," + strconv.Itoa(r.waiting)
	figures := counts + "," + strconv.Itoa(r.slots)
	if !p.uneven.Pace {
		return figures
	}
	percent := strconv.Itoa(int(p.at(now.Add(-paceReportAge))*100 + 0.5))
	if p.uneven.draw(drawReport, number) >= p.uneven.NonsenseShare {
		return figures + "," + percent
	}
	nonsense := []string{
		counts,
		figures + "," + percent + ",7",
		figures + ",0",
		figures + ",-" + percent,
		figures + ",NaN",
		figures + ",Inf",
	}
	return nonsense[int(p.uneven.draw(drawNonsense, number)*float64(len(nonsense)))]
}
