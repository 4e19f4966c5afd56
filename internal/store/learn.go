package store

import (
	"time"

	"github.com/pkg/errors"
)

// take takes the end of a call.
func (f *Follower) take(a answer) {
	if f.givenUp(a) {
		return
	}
	if a.kind != checkStore {
		f.usual.busy = false
	}
	now := f.now()
	switch {
	case a.err == nil:
		f.learn(a, now)
	case a.kind == askOthers:
		f.othersFailed(a.err, now)
	default:
		f.storeFailed(a, now)
	}
}

// givenUp says whether a call was ended because another one was answered: that it broke
// tells nothing.
func (f *Follower) givenUp(a answer) bool {
	if a.kind == checkStore {
		return a.serial != f.checks.serial
	}
	return a.serial != f.usual.serial || !f.usual.busy
}

// othersFailed turns to the store, or waits for its checks if they have begun.
func (f *Follower) othersFailed(err error, now time.Time) {
	f.usual.next = now
	if errors.Is(err, ErrCompacted) {
		f.synced = false
		return
	}
	if f.late(now) || f.failing {
		f.usual.next = now.Add(relayRetry)
		return
	}
	f.usual.toStore = true
}

// storeFailed judges a call that the store did not answer, or not with what was asked.
func (f *Follower) storeFailed(a answer, now time.Time) {
	// A store that drops its history may leave watches silent for a while, also new ones,
	// although there were changes: a router then serves by an old configuration for
	// seconds. A read sees what is there at once.
	f.synced = false
	if a.kind == askStore {
		f.usual.next = now
	}
	if errors.Is(a.err, ErrCompacted) {
		return
	}
	f.failing = true
	f.Gate.Failed(a.started)
	if a.kind == askStore && f.relaying {
		f.usual.toStore, f.usual.next = false, now.Add(gateFirst)
	}
	if f.reached || !f.started {
		f.reached, f.started = false, true
		f.Sink.Contact(false, a.err)
	}
}

// learn takes what an answer told.
func (f *Follower) learn(a answer, now time.Time) {
	relayed := a.kind == askOthers
	silence := f.answered(a, now)
	asOf := a.started.Add(-a.lag())
	if relayed {
		f.Feed.hear(a.snapshot, a.changes)
	} else {
		f.failing = false
		f.Gate.Answered(a.started)
		f.Feed.learn(a.snapshot, a.changes, silence, asOf, f.freshFor())
	}
	f.apply(a, silence)
	if asOf.After(f.asOf) {
		f.asOf = asOf
	}
	if !f.late(now) {
		f.stopChecks()
	}
	f.contact()
	f.planNext(a.kind, now)
}

// freshFor is how long after its moment the store's state may be told to other routers:
// until this router's own check has had its time.
func (f *Follower) freshFor() time.Duration {
	if f.CheckAfter == 0 {
		return f.Wait + f.Patience + f.Pause
	}
	return f.CheckAfter + checkLead
}

// lag is how much older than the call's start the state may be that its answer tells.
func (a *answer) lag() time.Duration {
	if a.snapshot != nil {
		return a.snapshot.Lag
	}
	return a.changes.Lag
}

// answered notes an answer and returns the silence before it.
func (f *Follower) answered(a answer, now time.Time) Silence {
	silence := Silence{}
	if !f.lastOK.IsZero() {
		silence.Length = now.Sub(f.lastOK)
	}
	ended := a.started
	if tried := f.Gate.Tried(a.started); tried.After(f.lastOK) {
		silence.Broken, ended = true, tried
	}
	silence.Ago = now.Sub(ended)
	f.lastOK = now
	if a.changes != nil && a.changes.Silence.Length > silence.Length {
		silence = a.changes.Silence
		silence.Ago += now.Sub(a.started)
	}
	return silence
}

// apply passes an answer on, unless what is known is newer: a check may have overtaken it.
func (f *Follower) apply(a answer, silence Silence) {
	if a.snapshot != nil {
		if a.snapshot.At >= f.at {
			f.Sink.Reset(a.snapshot.Items, silence)
			f.at, f.synced = a.snapshot.At, true
		}
		return
	}
	f.Sink.Apply(a.changes.Events, silence)
	f.at = max(f.at, a.changes.At)
}

func (f *Follower) contact() {
	if !f.reached {
		f.reached, f.started = true, true
		f.Sink.Contact(true, nil)
	}
}

// planNext sets when the next usual call starts, after an answer.
func (f *Follower) planNext(kind callKind, now time.Time) {
	if kind == checkStore {
		f.giveUpUsual()
	} else {
		f.note(kind == askOthers)
	}
	f.usual.toStore = false
	if kind == askOthers {
		f.usual.next = now.Add(relayPause)
		return
	}
	f.usual.next = f.afterPause(now)
}

// afterPause is when the store may be watched again: after Pause while there is credit,
// which comes back with time, else Wait + Pause after the last start.
func (f *Follower) afterPause(now time.Time) time.Time {
	next := now.Add(f.Pause)
	if f.Burst == 0 {
		return next
	}
	cycle := f.Wait + f.Pause
	f.usual.credit = min(float64(f.Burst), f.usual.credit+float64(next.Sub(f.usual.started))/float64(cycle)) - 1
	if f.usual.credit >= 0 {
		return next
	}
	f.usual.credit = 0
	return f.usual.started.Add(cycle)
}

// giveUpUsual ends a usual call that a check has overtaken: it is hanging, and what it
// waits for is known.
func (f *Follower) giveUpUsual() {
	if f.usual.busy {
		f.usual.stop()
		f.usual.busy = false
	}
}

// stopChecks ends the checks that are still under way when what is known is not old any more.
func (f *Follower) stopChecks() {
	for _, stop := range f.checks.stops {
		stop()
	}
	f.checks.stops, f.checks.told = nil, false
	f.checks.serial++
}

// note tells of the source of a usual answer if it is another one than before.
func (f *Follower) note(relayed bool) {
	if f.SourceChanged != nil && (!f.sourced || f.relayed != relayed) {
		f.SourceChanged(relayed)
	}
	f.sourced, f.relayed = true, relayed
}
