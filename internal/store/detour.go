package store

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"
)

// Constants of detours.
const (
	// detourDelay lets the first check be answered before routers of other failure domains are asked.
	detourDelay = 150 * time.Millisecond
	// minDetourInterval and maxDetourInterval space the calls while no router has an answer. In an outage
	// for the whole fleet, every router makes them.
	minDetourInterval = time.Second
	maxDetourInterval = 4 * time.Second
	// verifyInterval spaces questions that are of use only for as long as the entries in doubt are kept.
	verifyInterval = 300 * time.Millisecond
	// verifyTime is how long after an outage that question is asked.
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

// detour is the state of the calls to routers of any failure domain that follow the store. They are made
// while the store answers neither this router nor the one that it follows, and after an outage to learn
// whether it was one for others too: for a router that the store answered all the time, an entry that
// disappeared has been removed, and has not expired because the store was away.
type detour struct {
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
func (d *detour) verifying(now time.Time) bool {
	return d.outageFrom > 0 && now.Before(d.verifyUntil)
}

// verifyOutage has the next detour verify the silence before an answer, if entries are missing since. known
// is the revision before it.
func (f *Follower) verifyOutage(known Revision, silence Silence, now time.Time) {
	if known == 0 || silence.LostWrites || silence.Length <= f.freshFor() {
		return
	}
	if f.Verifier == nil || f.Relay == nil || !f.Verifier.HasMissing() {
		return
	}
	f.detour.outageFrom, f.detour.verifyUntil, f.detour.next = known, now.Add(verifyTime), now
}

// detourDue reports whether a detour is of use now.
func (f *Follower) detourDue(now time.Time) bool {
	if f.Relay == nil || f.detour.busy || f.at == 0 {
		return false
	}
	return f.detour.verifying(now) || f.AskOthers && f.silent
}

func (f *Follower) startDetour(ctx context.Context, calls *conc.WaitGroup, now time.Time) {
	if !f.detourDue(now) || now.Before(f.detour.next) {
		return
	}
	if f.LinkWasFull != nil && f.LinkWasFull(now.Add(-minDetourInterval)) {
		f.detour.next = now.Add(minDetourInterval)
		return
	}
	after := f.at
	if f.detour.verifying(now) {
		after = f.detour.outageFrom
	}
	f.detour.busy = true
	f.call(ctx, calls, callResult{kind: askOthers, started: now, after: after}, func(ctx context.Context) (*Snapshot, *Changes, error) {
		changes, err := f.Relay.WatchAny(ctx, f.Prefix, after)
		if err == nil && changes.At < after {
			err = ErrBehind
		}
		return nil, &changes, err
	}, false)
}

// handleDetour processes the result of a call to other routers.
func (f *Follower) handleDetour(r callResult, now time.Time) {
	f.detour.busy = false
	question := f.detour.outageFrom > 0 && r.after == f.detour.outageFrom
	if r.err != nil {
		f.detour.next = now.Add(f.detour.retryInterval(question))
		return
	}
	f.detour.next, f.detour.interval = now.Add(relayPause), 0
	if r.after == f.at {
		f.setDetourActive(f.silent)
		f.applyAnswer(r, now)
	}
	if !question {
		return
	}
	f.detour.outageFrom = 0
	if r.changes.Silence.Length == 0 {
		f.Feed.refuteSilence()
		f.Verifier.RefuteOutage()
	}
}

// resume plans the first call after the store has become silent. The interval holds beyond short periods of
// silence: a slow store causes many of them, in which no router knows more.
func (d *detour) resume(now time.Time) {
	if now.Sub(d.next) > maxDetourInterval {
		d.interval = 0
	}
	if soonest := now.Add(detourDelay); d.next.Before(soonest) {
		d.next = soonest
	}
}

// retryInterval returns the time until the next call after a failed one.
func (d *detour) retryInterval(question bool) time.Duration {
	if question {
		return verifyInterval
	}
	d.interval = min(max(minDetourInterval, 2*d.interval), maxDetourInterval)
	return d.interval
}

func (f *Follower) setDetourActive(active bool) {
	if f.detour.active == active {
		return
	}
	f.detour.active = active
	if f.DetourChanged != nil {
		f.DetourChanged(active)
	}
}
