package predict

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// fixture is a model of one service with a few servers, and a clock.
type fixture struct {
	*Model
	service *Service
	now     time.Time
}

func newFixture() *fixture {
	m := NewModel()
	return &fixture{Model: m, service: m.Service("model"), now: time.Unix(1_700_000_000, 0)}
}

func (f *fixture) estimate(s *Server, w Work) Estimate {
	p, _ := f.Params(f.service, f.now)
	return f.Estimate(&p, s, &w, f.now)
}

// pass lets time pass in steps in which the process is seen to run.
func (f *fixture) pass(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(min(20*time.Millisecond, end.Sub(f.now)))
		f.Params(f.service, f.now)
	}
}

// run lets a stream have events at the given intervals.
func (f *fixture) run(st *Stream, events int, interval time.Duration) {
	for range events {
		f.pass(interval)
		st.Event(f.now)
	}
}

func (f *fixture) begin(s *Server, w Work) *Stream {
	return f.Begin(f.service, s, w, f.estimate(s, w), f.now)
}

// prompt is a request with unread tokens in a deployment with four tokens an event.
func prompt(unread float64) Work {
	return Work{Tokens: true, Unread: unread, TokensPerEvent: 4, LatencyGoal: time.Second, GapGoal: 400 * time.Millisecond}
}

// learnGap makes the service's normal gap known: 24 ms at a server that reports a pace of 100.
func (f *fixture) learnGap() {
	s := &Server{}
	st := f.begin(s, prompt(500))
	for range 60 {
		f.ObservePace(f.service, s, 100, 1, f.now)
		f.run(st, 1, 24*time.Millisecond)
	}
	st.End()
}

// Guards against a pace that is reported once and counts for ever: servers are slowed for some 0.6 s.
func TestPaceDecaysToMean(t *testing.T) {
	f, s := newFixture(), &Server{}
	mean := f.estimate(s, prompt(500)).Pace
	f.ObservePace(f.service, s, 250, 2, f.now)
	qt.Check(t, f.estimate(s, prompt(500)).Pace > 2.2, qt.IsTrue)
	f.pass(time.Second)
	f.pass(time.Second)
	qt.Check(t, math.Abs(f.estimate(s, prompt(500)).Pace-mean) < 0.1, qt.IsTrue)
	_, active := f.Params(f.service, f.now)
	qt.Check(t, active, qt.IsTrue)
	f.pass(activeTime)
	_, active = f.Params(f.service, f.now)
	qt.Check(t, active, qt.IsFalse)
}

// Guards against a slowed server that is noticed only by its next report: the gaps of a stream there show it.
func TestGapsRevealPace(t *testing.T) {
	f, s, other := newFixture(), &Server{}, &Server{}
	f.learnGap()
	st := f.begin(s, prompt(500))
	f.run(st, 8, 24*time.Millisecond)
	normal := f.estimate(s, prompt(500)).Pace
	f.run(st, 8, 60*time.Millisecond)
	slowed := f.estimate(s, prompt(500)).Pace
	qt.Check(t, normal < 1.1, qt.IsTrue, qt.Commentf("%.2f", normal))
	qt.Check(t, slowed > 2, qt.IsTrue, qt.Commentf("%.2f", slowed))
	qt.Check(t, f.estimate(other, prompt(500)).Pace < 1.4, qt.IsTrue)
}

// Guards against a prompt that is sent to a server whose stream stands still.
func TestStalledStreamRaisesCost(t *testing.T) {
	f, s := newFixture(), &Server{}
	f.learnGap()
	st := f.begin(s, prompt(500))
	f.run(st, 8, 24*time.Millisecond)
	before := f.estimate(s, prompt(3000))
	f.pass(300 * time.Millisecond)
	after := f.estimate(s, prompt(3000))
	qt.Check(t, after.FirstMs > before.FirstMs+250, qt.IsTrue, qt.Commentf("%+v, %+v", before, after))
	qt.Check(t, after.HarmMs > before.HarmMs+100, qt.IsTrue, qt.Commentf("%+v, %+v", before, after))
	st.End()
	qt.Check(t, f.estimate(s, prompt(3000)).FirstMs < before.FirstMs+30, qt.IsTrue)
}

// Guards against servers that are avoided because this router itself was stopped, or a caller read slowly.
func TestOwnPausesAreNotServers(t *testing.T) {
	f, s := newFixture(), &Server{}
	f.learnGap()
	st := f.begin(s, prompt(500))
	f.run(st, 8, 24*time.Millisecond)
	before := f.estimate(s, prompt(3000))
	f.now = f.now.Add(3 * time.Second)
	qt.Check(t, f.estimate(s, prompt(3000)).FirstMs < before.FirstMs+50, qt.IsTrue)
	f.run(st, 8, 24*time.Millisecond)
	qt.Check(t, f.estimate(s, prompt(3000)).Pace < 1.1, qt.IsTrue)
	st.BeginWrite()
	f.pass(800 * time.Millisecond)
	qt.Check(t, f.estimate(s, prompt(3000)).FirstMs < before.FirstMs+50, qt.IsTrue)
	st.EndWrite(800 * time.Millisecond)
	qt.Check(t, f.estimate(s, prompt(3000)).FirstMs < before.FirstMs+50, qt.IsTrue)
	f.run(st, 8, 24*time.Millisecond)
	qt.Check(t, f.estimate(s, prompt(3000)).Pace < 1.1, qt.IsTrue)
}

// Guards against costs that are not numbers, or without bounds, after nonsensical observations.
func TestNonsenseIsBounded(t *testing.T) {
	f, s := newFixture(), &Server{}
	for _, pace := range []float64{math.NaN(), -1, 0, math.Inf(1), 1e-300, 1e300} {
		f.ObservePace(f.service, s, pace, math.MaxInt, f.now)
		f.ObservePace(f.service, s, pace, math.MinInt, f.now)
	}
	st := f.begin(s, prompt(1e12))
	st.Event(f.now)
	f.now = f.now.Add(-time.Hour)
	for range 5 {
		st.Event(f.now)
	}
	f.now = f.now.Add(2 * time.Hour)
	for range 5 {
		st.Event(f.now)
	}
	e := f.estimate(s, Work{Tokens: true, Unread: 1e9, Own: math.MaxInt, GapGoal: time.Second})
	qt.Check(t, e.CostMs >= 0 && e.CostMs < 1e13, qt.IsTrue, qt.Commentf("%+v", e))
	qt.Check(t, e.Pace >= minTempo && e.Pace <= maxTempo*maxSlowRatio, qt.IsTrue, qt.Commentf("%+v", e))
}

// Guards against a server that always takes longer being taken for one of normal speed once nothing recent is known.
func TestMeanSpeedIsLearned(t *testing.T) {
	f, s, other := newFixture(), &Server{}, &Server{}
	f.learnGap()
	for range 20 {
		st := f.begin(s, prompt(500))
		f.ObservePace(f.service, s, 100, 1, f.now)
		f.run(st, 10, 31*time.Millisecond)
		st.End()
	}
	f.pass(4 * time.Second)
	ratio := f.estimate(s, prompt(500)).Pace / f.estimate(other, prompt(500)).Pace
	qt.Check(t, ratio > 1.15 && ratio < 1.35, qt.IsTrue, qt.Commentf("%.2f", ratio))
}

// Guards against long prompts that are read where streams run at a slowed server, and against short ones that
// avoid it for harm that they don't do.
func TestHarmToOtherStreams(t *testing.T) {
	f, s := newFixture(), &Server{}
	f.learnGap()
	f.ObservePace(f.service, s, 250, 4, f.now)
	long, short := f.estimate(s, prompt(6000)), f.estimate(s, prompt(500))
	qt.Check(t, long.HarmMs > 500, qt.IsTrue, qt.Commentf("%+v", long))
	qt.Check(t, short.HarmMs < 50, qt.IsTrue, qt.Commentf("%+v", short))
	waiting := prompt(500)
	waiting.Queued = 6000
	qt.Check(t, f.estimate(s, waiting).CostMs > short.CostMs+300, qt.IsTrue)
}
