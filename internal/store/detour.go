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
	// detourRetryInterval spaces the calls while no router has an answer. In an outage for the whole
	// fleet, every router makes them.
	detourRetryInterval = time.Second
	// verifyRetryInterval is detourRetryInterval for a question that is of use only for as long as the
	// entries in doubt are kept.
	verifyRetryInterval = 300 * time.Millisecond
	// verifyTime is how long after an outage that question is asked.
	verifyTime = 2 * time.Second
)

// detour is the state of the calls to routers of any failure domain that follow the store. They are made
// while the store answers neither this router nor the one that it follows, and after an outage to learn
// whether it was one for others too: for a router that the store answered all the time, an entry that
// disappeared has been removed, and has not expired because the store was away.
type detour struct {
	next time.Time
	busy bool
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

// verifyOutage has the next detour verify the silence before an answer. known is the revision before it.
func (f *Follower) verifyOutage(known Revision, silence Silence, now time.Time) {
	if f.OutageRefuted == nil || f.Relay == nil || known == 0 || silence.LostWrites || silence.Length <= f.freshFor() {
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
	if f.LinkWasFull != nil && f.LinkWasFull(now.Add(-detourRetryInterval)) {
		f.detour.next = now.Add(detourRetryInterval)
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
	refuted := question && r.err == nil && r.changes.Silence.Length == 0
	switch {
	case question && !refuted:
		f.detour.next = now.Add(verifyRetryInterval)
	case r.err != nil:
		f.detour.next = now.Add(detourRetryInterval)
	default:
		f.detour.next = now.Add(relayPause)
	}
	if r.err == nil && r.after == f.at {
		f.setDetourActive(f.silent)
		f.applyAnswer(r, now)
	}
	if refuted {
		f.detour.outageFrom = 0
		f.Feed.refuteSilence()
		f.OutageRefuted()
	}
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
