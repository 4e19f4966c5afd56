package store

import (
	"context"
	"slices"
	"time"
)

// Constants of probes.
const (
	// connectJitter is by how much a connection that was asked for later may come about
	// earlier on a sound path.
	connectJitter = 50 * time.Millisecond
	// answerJitter is by how much an answer may take longer than another one on a sound
	// path: they differ in length and in work.
	answerJitter = 500 * time.Millisecond
	// maxProbes bounds the unanswered probes that are kept: those of checkPatience at the
	// shortest spacing.
	maxProbes = 16
)

// Probe is a call to the store over a connection of its own.
type Probe struct {
	started   time.Time
	connected time.Time // zero: the connection has not come about
	// abandonedAt is when the router gave the call up; zero: not yet. refused: the store ended it.
	abandonedAt time.Time
	refused     bool
	// answered: a part of its answer came.
	answered bool
}

// sent is when the packet was sent that made the connection, of a probe that was answered. A
// first packet that was lost is sent again after a second: then the connection took far
// longer than the rest.
func (p *Probe) sent(answered time.Time) time.Time {
	if p.connected.IsZero() {
		return p.started
	}
	sent := p.connected.Add(-answered.Sub(p.connected))
	if sent.Before(p.started) {
		return p.started
	}
	return sent
}

// waited is how long the router has waited for an answer over the probe's connection.
func (p *Probe) waited(now time.Time) time.Duration {
	if !p.abandonedAt.IsZero() {
		return p.abandonedAt.Sub(p.connected)
	}
	return now.Sub(p.connected)
}

// overtakenBy says whether the store could not be reached when the probe started, as a later
// one shows that was answered.
func (p *Probe) overtakenBy(other *Probe, now time.Time) bool {
	if p.connected.IsZero() {
		return other.sent(now).Sub(p.started) >= connectJitter
	}
	return other.started.After(p.started) && (p.refused || p.waited(now) >= now.Sub(other.connected)+answerJitter)
}

// probes are a router's calls over connections of their own. They tell since when the store
// may have answered this router again: packets don't overtake each other, so where a later
// one was answered first, the store could not be reached when the earlier one was sent. Other
// silent calls prove nothing: one over a connection that was open in an outage waits for its
// retransmission, also when new connections work again.
type probes struct {
	unanswered      []*Probe  // oldest first
	lastUnreachable time.Time // the last moment at which the store surely could not be reached
}

func (p *probes) start(now time.Time) *Probe {
	if len(p.unanswered) == maxProbes {
		p.unanswered = slices.Delete(p.unanswered, 0, 1)
	}
	probe := &Probe{started: now}
	p.unanswered = append(p.unanswered, probe)
	return probe
}

// recordAnswer takes an answer that came at a moment.
func (p *probes) recordAnswer(answered *Probe, now time.Time) {
	for _, earlier := range p.unanswered {
		if earlier.started.After(p.lastUnreachable) && earlier.overtakenBy(answered, now) {
			p.lastUnreachable = earlier.started
		}
	}
	p.unanswered = slices.DeleteFunc(p.unanswered, func(other *Probe) bool {
		return other == answered || !other.started.After(p.lastUnreachable)
	})
}

// connectedKey is the key of a context's function to call.
type connectedKey struct{}

// WithConnectedFunc returns a context whose calls to a Store report that they got a connection.
func WithConnectedFunc(ctx context.Context, report func()) context.Context {
	return context.WithValue(ctx, connectedKey{}, report)
}

// ReportConnected is called by a Store's adapter when a call has got its connection.
func ReportConnected(ctx context.Context) {
	if report, wanted := ctx.Value(connectedKey{}).(func()); wanted {
		report()
	}
}
