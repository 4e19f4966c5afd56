package store

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// path is a router's path to the store, which is back at a moment.
type path struct {
	back time.Time
	trip time.Duration // there and back
}

// connected is when a connection comes about that is asked for at a moment: its first packet
// is sent again after one, three and seven seconds.
func (p path) connected(started time.Time) time.Time {
	sent := started
	for again := time.Second; sent.Before(p.back); again *= 2 {
		sent = sent.Add(again)
	}
	return sent.Add(p.trip)
}

// probeEvent is something that a router sees of a probe.
type probeEvent struct {
	at     time.Time
	number int
	do     func(g *Backoff, p *Probe, now time.Time)
}

// play lets a router make probes from the start on and returns what it takes for the moment
// of the return each time an answer comes.
func (p path) play(starts []time.Time, works []time.Duration) []time.Time {
	var events []probeEvent
	for i, started := range starts {
		connected := p.connected(started)
		answered := connected.Add(p.trip + works[i])
		events = append(events, probeEvent{started, i, nil})
		if connected.Sub(started) < checkPatience {
			events = append(events, probeEvent{connected, i, (*Backoff).ProbeConnected})
		}
		if answered.Sub(started) < checkPatience {
			events = append(events, probeEvent{answered, i, (*Backoff).ProbeAnswered})
			continue
		}
		events = append(events, probeEvent{started.Add(checkPatience), i, func(g *Backoff, p *Probe, now time.Time) { g.ProbeFailed(p, now, false) }})
	}
	slices.SortStableFunc(events, func(a, b probeEvent) int { return a.at.Compare(b.at) })
	g, under, returned := &Backoff{}, make([]*Probe, len(starts)), []time.Time(nil)
	for _, e := range events {
		if e.do == nil {
			under[e.number] = g.StartProbe(e.at)
			continue
		}
		e.do(g, under[e.number], e.at)
		earliest, _ := g.Outage(time.Time{})
		returned = append(returned, earliest)
	}
	return returned
}

// Guards against a grace for lapsed entries that ends too late, whatever a link's delay and the order of answers.
func TestStoreIsNotTakenForAwayAfterItsReturn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms := func(label string, least, most int) time.Duration {
			return time.Duration(rapid.IntRange(least, most).Draw(t, label)) * time.Millisecond
		}
		began := time.Unix(1000, 0)
		p := path{back: began.Add(ms("away", 0, 12_000)), trip: ms("trip", 0, 1000)}
		var starts []time.Time
		var works []time.Duration
		for at := began; at.Before(p.back.Add(5 * time.Second)); at = at.Add(ms("spacing", 10, 1000)) {
			starts = append(starts, at)
			works = append(works, ms("work", 0, int(answerJitter/time.Millisecond)-1))
		}
		for _, returned := range p.play(starts, works) {
			if returned.After(p.back) {
				t.Fatalf("taken for away %v after the return", returned.Sub(p.back))
			}
		}
	})
}

// Guards against services that are empty after an outage because its end is taken for earlier than it was.
func TestReturnOfTheStoreIsKnownToASpacing(t *testing.T) {
	for _, spacing := range []time.Duration{gateMost, gateMostRelayed} {
		for phase := time.Duration(0); phase < spacing; phase += 10 * time.Millisecond {
			began := time.Unix(1000, 0)
			p := path{back: began.Add(10*time.Second + phase), trip: 5 * time.Millisecond}
			var starts []time.Time
			for at := began; at.Before(p.back.Add(spacing)); at = at.Add(spacing) {
				starts = append(starts, at)
			}
			returned := p.play(starts, make([]time.Duration, len(starts)))
			first := returned[slices.IndexFunc(returned, func(at time.Time) bool { return !at.IsZero() })]
			qt.Assert(t, p.back.Sub(first) <= spacing+connectJitter, qt.IsTrue, qt.Commentf("phase %v: %v before it", phase, p.back.Sub(first)))
		}
	}
}

// Guards against a store that is taken for away because a large answer of it took long.
func TestAnswerOnItsWayIsNoSilence(t *testing.T) {
	g, began := &Backoff{}, time.Unix(1000, 0)
	at := func(ms int) time.Time { return began.Add(time.Duration(ms) * time.Millisecond) }
	large := g.StartProbe(at(0))
	g.ProbeConnected(large, at(5))
	g.ProbeAnswered(large, at(10)) // its first part
	small := g.StartProbe(at(1000))
	g.ProbeConnected(small, at(1005))
	g.ProbeAnswered(small, at(1010))
	g.ProbeFailed(large, at(3000), false) // its connection fell silent then
	g.ProbeAnswered(g.StartProbe(at(4000)), at(4010))
	_, broken := g.Outage(began.Add(-time.Second))
	qt.Assert(t, broken, qt.IsFalse)
}
