package store

import (
	"time"

	"github.com/pkg/errors"
)

// take takes the end of a call.
func (f *Follower) take(a answer) {
	if a.kind == checkStore {
		f.judgeProbe(a)
	}
	if a.kind != checkStore {
		f.usual.busy = false
	} else if a.serial != f.checks.serial {
		return // another answer came first
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

// judgeProbe notes how a check ended, also of one that another answer came before.
func (f *Follower) judgeProbe(a answer) {
	if a.err == nil {
		f.Backoff.ProbeAnswered(a.probe, a.ended)
		return
	}
	f.Backoff.ProbeFailed(a.probe, a.ended, !a.gaveUp)
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
	if a.kind == askStore && f.storeOK.After(a.started) {
		f.usual.next = now // only its connection was silent: the store has answered a later call
		return
	}
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
	f.Backoff.RecordFailure(a.started)
	if a.kind == askStore && f.relaying {
		f.usual.toStore, f.usual.next = false, now.Add(gateFirst)
	}
	if f.reached || !f.started {
		f.reached, f.started = false, true
		f.Sink.SetReachable(false, a.err)
	}
}

// learn takes what an answer told.
func (f *Follower) learn(a answer, now time.Time) {
	relayed := a.kind == askOthers
	a = f.withoutKnown(a)
	silence := f.answered(a, now)
	asOf := a.started.Add(-a.lag())
	if relayed {
		f.Feed.hear(a.snapshot, a.changes, silence)
	} else {
		f.failing, f.storeOK = false, a.started
		f.Backoff.RecordSuccess(now)
		f.Feed.learn(a.snapshot, a.changes, silence, asOf, f.freshFor())
	}
	f.apply(a, silence)
	if asOf.After(f.asOf) {
		f.asOf = asOf
	}
	if f.Confirmed != nil {
		f.Confirmed(f.asOf)
	}
	if !f.late(now) {
		f.checks.made = 0
		f.checks.serial++
		f.checks.stopArrived()
	}
	f.contact()
	f.planNext(a.kind, now)
}

// freshFor is how long after its moment the store's state may be told to other routers:
// until this router's own check has had its time.
func (f *Follower) freshFor() time.Duration {
	if f.CheckAfter == 0 {
		return f.MaxWait + f.Timeout + f.Pause
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

// answered notes an answer and returns the silence before it. Of another router's answer it
// is that router's: where that one had the store all the time, nothing has lapsed. One that
// started meanwhile can't tell.
func (f *Follower) answered(a answer, now time.Time) Silence {
	last := f.lastOK
	f.lastOK = now
	if told, known := a.toldSilence(); known {
		told.Ago += now.Sub(a.started)
		return told
	}
	if last.IsZero() {
		return Silence{}
	}
	silence := Silence{Length: now.Sub(last), Ago: now.Sub(a.started)}
	returned, broken := f.Backoff.Outage(last)
	if a.kind == askOthers {
		returned, broken = f.Backoff.OngoingOutage(last, now)
	}
	if broken {
		silence.Broken, silence.Ago = true, now.Sub(returned)
	}
	return silence
}

// toldSilence is the silence of the store that another router told of with an answer, if it
// could tell.
func (a *answer) toldSilence() (told Silence, known bool) {
	switch {
	case a.kind != askOthers:
		return Silence{}, false
	case a.snapshot != nil:
		return a.snapshot.Silence, a.snapshot.Continuous
	}
	return a.changes.Silence, true
}

// withoutKnown leaves out what another call has overtaken: a check and the usual call may
// be answered in either order. What is known since must not be taken back, neither here nor
// at those who follow this router: a server that is new in it would be taken for gone.
func (f *Follower) withoutKnown(a answer) answer {
	switch {
	case f.at == a.after:
	case a.snapshot != nil && a.snapshot.At < f.at:
		a.changes = &Changes{At: a.snapshot.At, Lag: a.snapshot.Lag}
		a.snapshot = nil
	case a.changes != nil:
		changes := *a.changes
		changes.Events = nil
		for _, e := range a.changes.Events {
			if e.Revision > f.at {
				changes.Events = append(changes.Events, e)
			}
		}
		a.changes = &changes
	}
	return a
}

// apply passes an answer on.
func (f *Follower) apply(a answer, silence Silence) {
	if a.snapshot != nil {
		f.Sink.Reset(a.snapshot.Items, silence)
		f.at, f.synced = a.snapshot.At, true
		return
	}
	f.Sink.Apply(a.changes.Events, silence)
	f.at = max(f.at, a.changes.At)
}

func (f *Follower) contact() {
	if !f.reached {
		f.reached, f.started = true, true
		f.Sink.SetReachable(true, nil)
	}
}

// planNext sets when the next usual call starts, after an answer.
func (f *Follower) planNext(kind callKind, now time.Time) {
	if kind == checkStore {
		f.usual.next = f.afterPause(now) // of the next one, if none is under way
		return
	}
	f.note(kind == askOthers)
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
	cycle := f.MaxWait + f.Pause
	f.usual.credit = min(float64(f.Burst), f.usual.credit+float64(next.Sub(f.usual.started))/float64(cycle)) - 1
	if f.usual.credit >= 0 {
		return next
	}
	f.usual.credit = 0
	return f.usual.started.Add(cycle)
}

// note tells of the source of a usual answer if it is another one than before.
func (f *Follower) note(relayed bool) {
	if f.SourceChanged != nil && (!f.sourced || f.relayed != relayed) {
		f.SourceChanged(relayed)
	}
	f.sourced, f.relayed = true, relayed
}
