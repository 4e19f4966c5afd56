package store

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// storePath is a router's network path to the store, which works from reachableAt on.
type storePath struct {
	reachableAt time.Time
	roundTrip   time.Duration
}

// connectedAt returns when a connection requested at the given time is established. Its first
// packet is retransmitted after one, three and seven seconds.
func (p storePath) connectedAt(started time.Time) time.Time {
	sent := started
	for retransmit := time.Second; sent.Before(p.reachableAt); retransmit *= 2 {
		sent = sent.Add(retransmit)
	}
	return sent.Add(p.roundTrip)
}

// probeEvent is an event of a probe as a router sees it. A nil apply starts the probe.
type probeEvent struct {
	at    time.Time
	probe int
	apply func(b *Backoff, p *Probe, now time.Time)
}

// simulate runs probes that start at the given times and take the given times at the store. It
// returns the router's estimate of when the store became reachable, after each event of a probe.
func (p storePath) simulate(starts []time.Time, workTimes []time.Duration) []time.Time {
	var events []probeEvent
	for i, started := range starts {
		connected := p.connectedAt(started)
		answered := connected.Add(p.roundTrip + workTimes[i])
		events = append(events, probeEvent{started, i, nil})
		if connected.Sub(started) < checkTimeout {
			events = append(events, probeEvent{connected, i, (*Backoff).ProbeConnected})
		}
		if answered.Sub(started) < checkTimeout {
			events = append(events, probeEvent{answered, i, (*Backoff).ProbeAnswered})
			continue
		}
		events = append(events, probeEvent{started.Add(checkTimeout), i, func(b *Backoff, p *Probe, now time.Time) { b.ProbeFailed(p, now, false) }})
	}
	slices.SortStableFunc(events, func(a, b probeEvent) int { return a.at.Compare(b.at) })
	b, started, estimates := &Backoff{}, make([]*Probe, len(starts)), []time.Time(nil)
	for _, e := range events {
		if e.apply == nil {
			started[e.probe] = b.StartProbe(e.at)
			continue
		}
		e.apply(b, started[e.probe], e.at)
		earliest, _ := b.Outage(time.Time{})
		estimates = append(estimates, earliest)
	}
	return estimates
}

// Guards against a grace period for expired entries that ends too late, whatever the link's latency and the order
// of answers.
func TestStoreIsNotTakenForAwayAfterItsReturn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms := func(label string, minMS, maxMS int) time.Duration {
			return time.Duration(rapid.IntRange(minMS, maxMS).Draw(t, label)) * time.Millisecond
		}
		start := time.Unix(1000, 0)
		p := storePath{reachableAt: start.Add(ms("away", 0, 12_000)), roundTrip: ms("trip", 0, 1000)}
		var starts []time.Time
		var workTimes []time.Duration
		for at := start; at.Before(p.reachableAt.Add(5 * time.Second)); at = at.Add(ms("spacing", 10, 1000)) {
			starts = append(starts, at)
			workTimes = append(workTimes, ms("work", 0, int(answerJitter/time.Millisecond)-1))
		}
		for _, estimate := range p.simulate(starts, workTimes) {
			if estimate.After(p.reachableAt) {
				t.Fatalf("considered unreachable until %v after its return", estimate.Sub(p.reachableAt))
			}
		}
	})
}

// Guards against services without servers after an outage because its end is dated too early.
func TestStoreReturnIsDatedToOneInterval(t *testing.T) {
	for _, spacing := range []time.Duration{backoffMax, backoffMaxRelayed} {
		for phase := time.Duration(0); phase < spacing; phase += 10 * time.Millisecond {
			start := time.Unix(1000, 0)
			p := storePath{reachableAt: start.Add(10*time.Second + phase), roundTrip: 5 * time.Millisecond}
			var starts []time.Time
			for at := start; at.Before(p.reachableAt.Add(spacing)); at = at.Add(spacing) {
				starts = append(starts, at)
			}
			estimates := p.simulate(starts, make([]time.Duration, len(starts)))
			first := estimates[slices.IndexFunc(estimates, func(at time.Time) bool { return !at.IsZero() })]
			qt.Assert(t, p.reachableAt.Sub(first) <= spacing+connectJitter, qt.IsTrue, qt.Commentf("phase %v: estimate is %v early", phase, p.reachableAt.Sub(first)))
		}
	}
}

// Guards against a store that is considered unreachable because a large answer took long.
func TestPartialAnswerIsNotAnOutage(t *testing.T) {
	b, start := &Backoff{}, time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	large := b.StartProbe(at(0))
	b.ProbeConnected(large, at(5))
	b.ProbeAnswered(large, at(10)) // its first part
	small := b.StartProbe(at(1000))
	b.ProbeConnected(small, at(1005))
	b.ProbeAnswered(small, at(1010))
	b.ProbeFailed(large, at(3000), false) // its connection has died
	b.ProbeAnswered(b.StartProbe(at(4000)), at(4010))
	_, broken := b.Outage(start.Add(-time.Second))
	qt.Assert(t, broken, qt.IsFalse)
}
