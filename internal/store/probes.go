package store

import (
	"context"
	"slices"
	"time"
)

// Constants of probes.
const (
	// connectJitter is by how much a connection that was requested later may be established
	// earlier on a working network path.
	connectJitter = 50 * time.Millisecond
	// answerJitter is by how much an answer may take longer than another one on a working
	// network path, since answers differ in size and in work for the store.
	answerJitter = 500 * time.Millisecond
	// answeringTime is how long after an answer the store counts as answering. Without an outage one of
	// a router's followers has an answer more often than that.
	answeringTime = 1500 * time.Millisecond
	// maxProbes limits the unanswered probes that are kept. It covers those that start within
	// checkTimeout at the shortest interval.
	maxProbes = 16
)

// Probe records the connection and the answer of a check, which calls the store over a new connection.
// Probes show when an outage ended.
type Probe struct {
	started   time.Time
	connected time.Time // zero: no connection yet
	// failedAt is when the call ended without an answer; zero: it has not. refused reports
	// whether the store or the network ended it, rather than this router.
	failedAt time.Time
	refused  bool
	// answered reports whether a part of the answer has arrived.
	answered bool
	// whileAnswering reports whether the store was answering other calls when the probe started. If it
	// gets no answer then, that is due to its prefix, the size of its answer or a lost packet.
	whileAnswering bool
}

// sent estimates when the packet was sent that established the connection of an answered
// probe. A lost first packet is retransmitted after a second; the connection then takes far
// longer than the rest of the call.
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

// waited returns how long the router has waited for an answer over the probe's connection.
func (p *Probe) waited(now time.Time) time.Duration {
	if !p.failedAt.IsZero() {
		return p.failedAt.Sub(p.connected)
	}
	return now.Sub(p.connected)
}

// overtakenBy reports whether other, a later probe that was answered, shows that the store was
// unreachable when p started.
func (p *Probe) overtakenBy(other *Probe, now time.Time) bool {
	if p.whileAnswering {
		return false
	}
	if p.connected.IsZero() {
		return other.sent(now).Sub(p.started) >= connectJitter
	}
	return other.started.After(p.started) && (p.refused || p.waited(now) >= now.Sub(other.connected)+answerJitter)
}

// probes tracks a router's calls over new connections. They show since when the store may have
// been reachable again: packets don't overtake each other, so if a later probe is answered first,
// the store was unreachable when the earlier one was sent. Other unanswered calls prove nothing: a
// call over a connection that was open during an outage waits for its retransmission even when
// new connections work again.
type probes struct {
	unanswered      []*Probe  // oldest first
	lastUnreachable time.Time // the last time at which the store was certainly unreachable
}

func (p *probes) start(now time.Time, answering bool) *Probe {
	if len(p.unanswered) == maxProbes {
		p.unanswered = slices.Delete(p.unanswered, 0, 1)
	}
	probe := &Probe{started: now, whileAnswering: answering}
	p.unanswered = append(p.unanswered, probe)
	return probe
}

// recordAnswer records that a probe was answered at the given time.
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

// connectedKey is the context key of the function set by WithConnectedFunc.
type connectedKey struct{}

// WithConnectedFunc returns a context with which a Store calls report when a call has got a
// connection.
func WithConnectedFunc(ctx context.Context, report func()) context.Context {
	return context.WithValue(ctx, connectedKey{}, report)
}

// ReportConnected must be called by implementations of Store when a call has got its connection.
func ReportConnected(ctx context.Context) {
	if report, ok := ctx.Value(connectedKey{}).(func()); ok {
		report()
	}
}
