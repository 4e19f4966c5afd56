package store

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"
)

// Constants of fallback calls.
const (
	// fallbackDelay lets the first check be answered before routers of other failure domains are asked.
	fallbackDelay = 150 * time.Millisecond
	// minFallbackInterval and maxFallbackInterval space the calls while no router has an answer. In an outage
	// for the whole fleet, every router makes them.
	minFallbackInterval = time.Second
	maxFallbackInterval = 4 * time.Second
	// verifyInterval spaces the calls about an outage, which are of use only while entries in doubt are kept.
	verifyInterval = 300 * time.Millisecond
	// verifyTime is how long after an outage they are made.
	verifyTime = 2 * time.Second
)

// OutageVerifier is told whether the store was away for all routers or only for this one.
type OutageVerifier interface {
	// HasMissing reports whether entries are kept that may have expired in an outage.
	HasMissing() bool
	// RefuteOutage is called when the store turns out to have answered another router all the time:
	// entries that disappeared meanwhile were removed.
	RefuteOutage()
}

// fallback is the state of the calls to routers of any failure domain that follow the store. They are made
// while the store answers neither this router nor the one that it follows, and after an outage to learn
// whether it was one for others too: for a router that the store answered all the time, an entry that
// disappeared has been removed, and has not expired because the store was away.
type fallback struct {
	next     time.Time
	interval time.Duration // until the next call if this one fails
	busy     bool
	// active is set while other routers' answers replace the store's.
	active bool
	// outageFrom is the revision known before an outage that is to be verified until verifyUntil; zero:
	// there is none.
	outageFrom  Revision
	verifyUntil time.Time
}

// verifying reports whether an outage is to be verified.
func (c *fallback) verifying(now time.Time) bool {
	return c.outageFrom > 0 && now.Before(c.verifyUntil)
}

// verifyOutage has the next fallback call verify the silence before an answer, if entries are missing since. known
// is the revision before it.
func (f *Follower) verifyOutage(known Revision, silence Silence, now time.Time) {
	if known == 0 || silence.LostWrites || silence.Length <= f.freshFor() {
		return
	}
	if f.Verifier == nil || f.Relay == nil || !f.Verifier.HasMissing() {
		return
	}
	f.fallback.outageFrom, f.fallback.verifyUntil, f.fallback.next = known, now.Add(verifyTime), now
}

// fallbackDue reports whether a fallback call is of use now.
func (f *Follower) fallbackDue(now time.Time) bool {
	if f.Relay == nil || f.fallback.busy || f.at == 0 {
		return false
	}
	return f.fallback.verifying(now) || f.AskAny && f.silent
}

func (f *Follower) startFallback(ctx context.Context, calls *conc.WaitGroup, now time.Time) {
	if !f.fallbackDue(now) || now.Before(f.fallback.next) {
		return
	}
	if f.LinkWasFull != nil && f.LinkWasFull(now.Add(-minFallbackInterval)) {
		f.fallback.next = now.Add(minFallbackInterval)
		return
	}
	after := f.at
	if f.fallback.verifying(now) {
		after = f.fallback.outageFrom
	}
	f.fallback.busy = true
	f.call(ctx, calls, callResult{kind: askAny, started: now, after: after}, func(ctx context.Context) (*Snapshot, *Changes, error) {
		changes, err := f.Relay.WatchAny(ctx, f.Prefix, after)
		if err == nil && changes.At < after {
			err = ErrBehind
		}
		return nil, &changes, err
	}, false)
}

// handleFallback processes the result of a call to other routers.
func (f *Follower) handleFallback(r callResult, now time.Time) {
	f.fallback.busy = false
	verifies := f.fallback.outageFrom > 0 && r.after == f.fallback.outageFrom
	if r.err != nil {
		f.fallback.next = now.Add(f.fallback.retryInterval(verifies))
		return
	}
	f.fallback.next, f.fallback.interval = now.Add(relayPause), 0
	if r.after == f.at {
		f.setFallbackActive(f.silent)
		f.applyAnswer(r, now)
	}
	if !verifies {
		return
	}
	f.fallback.outageFrom = 0
	if r.changes.Silence.Length == 0 {
		f.Feed.refuteSilence()
		f.Verifier.RefuteOutage()
	}
}

// resume plans the first call after the store has become silent. The interval holds beyond short periods of
// silence: a slow store causes many of them, in which no router knows more.
func (c *fallback) resume(now time.Time) {
	if now.Sub(c.next) > maxFallbackInterval {
		c.interval = 0
	}
	if soonest := now.Add(fallbackDelay); c.next.Before(soonest) {
		c.next = soonest
	}
}

// retryInterval returns the time until the next call after a failed one. verifies says whether that one was
// about an outage.
func (c *fallback) retryInterval(verifies bool) time.Duration {
	if verifies {
		return verifyInterval
	}
	c.interval = min(max(minFallbackInterval, 2*c.interval), maxFallbackInterval)
	return c.interval
}

func (f *Follower) setFallbackActive(active bool) {
	if f.fallback.active == active {
		return
	}
	f.fallback.active = active
	if f.FallbackChanged != nil {
		f.FallbackChanged(active)
	}
}
