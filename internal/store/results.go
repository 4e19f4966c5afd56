package store

import (
	"time"

	"github.com/pkg/errors"
)

// handleResult processes the result of a call.
func (f *Follower) handleResult(r callResult) {
	if r.kind == askAny {
		f.handleFallback(r, f.now())
		return
	}
	if r.kind == checkStore {
		f.recordProbe(r)
	}
	if r.kind != checkStore {
		f.regular.busy = false
	} else if r.period != f.checks.period {
		return // another answer came first
	}
	now := f.now()
	switch {
	case r.err == nil:
		f.applyAnswer(r, now)
	case r.kind == askPeers:
		f.peersFailed(r.err, now)
	default:
		f.storeFailed(r, now)
	}
}

// recordProbe records how a check ended, even if another call was answered first.
func (f *Follower) recordProbe(r callResult) {
	if r.err == nil || errors.Is(r.err, ErrCompacted) {
		f.Backoff.ProbeAnswered(r.probe, r.ended)
		return
	}
	f.Backoff.ProbeFailed(r.probe, r.ended, !r.abandoned)
}

// peersFailed handles a failed call to other routers. If they no longer have the changes, the next
// regular call reads everything from them. Otherwise it goes to the store, unless the checks already
// call the store or its last call failed: then the other routers are called again.
func (f *Follower) peersFailed(err error, now time.Time) {
	f.regular.next = now
	if errors.Is(err, ErrCompacted) {
		f.synced = false
		return
	}
	if f.checking(now) || f.failing {
		f.regular.next = now.Add(relayRetryInterval)
		return
	}
	f.regular.useStore = true
}

// storeFailed handles a call that the store did not answer, or answered with an error.
func (f *Follower) storeFailed(r callResult, now time.Time) {
	if r.kind == askStore && f.lastStoreOKStart.After(r.started) {
		f.regular.next = now // only this connection is dead: the store has answered a later call
		return
	}
	// A store that has dropped its history may leave watches unanswered for a while, even new
	// ones, although there were changes: a router then served by an old configuration for
	// seconds. A read returns the current state at once.
	f.synced = false
	if r.kind == askStore {
		f.regular.next = now
	}
	if errors.Is(r.err, ErrCompacted) {
		// The store has answered. Without this the read waits for the backoff: up to 0.8 s after a silence
		// whose first answer is that the history is lost.
		f.Backoff.RecordSuccess(now)
		return
	}
	f.failing = true
	if f.refusedSince.IsZero() && errors.Is(r.err, ErrUnavailable) {
		f.refusedSince = r.started
	}
	f.Backoff.RecordFailure(r.started)
	if r.kind == askStore && f.relaying {
		f.regular.useStore, f.regular.next = false, now.Add(backoffMin)
	}
	if f.reachable || !f.reported {
		f.reachable, f.reported = false, true
		f.Sink.SetReachable(false, r.err)
	}
}

// applyAnswer passes an answer to the feed and the sink, and plans the next call.
func (f *Follower) applyAnswer(r callResult, now time.Time) {
	relayed, known := r.kind.relayed(), f.at
	r = f.withoutOutdated(r)
	silence := f.recordAnswer(r, now)
	silence.LostWrites = f.noticeLostWrites(r)
	asOf := r.started.Add(-r.lag())
	if relayed {
		f.Feed.updateFromPeer(r.snapshot, r.changes, silence)
	} else {
		f.failing, f.lastStoreOKStart = false, r.started
		f.Backoff.RecordSuccess(now)
		f.Feed.update(r.snapshot, r.changes, silence, asOf, f.freshFor())
	}
	f.deliver(r, silence)
	if asOf.After(f.asOf) {
		f.asOf = asOf
	}
	if f.Confirmed != nil {
		f.Confirmed(f.asOf)
	}
	f.verifyOutage(known, silence, now)
	if r.kind == askAny {
		return
	}
	if !f.stale(now) {
		f.endSilence()
	}
	f.reportReachable()
	f.scheduleNext(r.kind, now)
}

// endSilence ends the checks and the fallback calls.
func (f *Follower) endSilence() {
	f.silent = false
	f.setFallbackActive(false)
	f.checks.count = 0
	f.checks.period++
	f.checks.cancelArriving()
}

// noticeLostWrites reports whether the answer shows that the store has lost writes since the last one.
func (f *Follower) noticeLostWrites(r callResult) bool {
	revision := r.revision()
	lost := f.at > 0 && revision.Era() > f.at.Era()
	if lost && f.WritesLost != nil {
		f.WritesLost(f.at, revision)
	}
	return lost
}

// revision returns the revision of the returned state.
func (r *callResult) revision() Revision {
	if r.snapshot != nil {
		return r.snapshot.At
	}
	return r.changes.At
}

// freshFor returns how long after asOf the store's state may be served to other routers: until
// this router's own check has had time to succeed.
func (f *Follower) freshFor() time.Duration {
	if f.CheckAfter == 0 {
		return f.MaxWait + f.Timeout + f.Pause
	}
	return f.CheckAfter + relayedCheckDelay
}

// lag returns by how much the returned state may be older than the start of the call.
func (r *callResult) lag() time.Duration {
	if r.snapshot != nil {
		return r.snapshot.Lag
	}
	return r.changes.Lag
}

// recordAnswer records an answer and returns the silence of the store before it. For an answer of
// another router this is the silence seen by that router: if the store answered it all the time, no
// entry has expired because of an outage. A router that started following meanwhile can't tell, and
// the time since this router's last answer counts instead, unless its own link was full: then the
// store need not have been silent at all.
func (f *Follower) recordAnswer(r callResult, now time.Time) Silence {
	last, refusedSince := f.lastAnswer, f.refusedSince
	f.lastAnswer, f.refusedSince = now, time.Time{}
	if reported, known := r.reportedSilence(); known {
		reported.Ago += now.Sub(r.started)
		return reported
	}
	if last.IsZero() || f.LinkWasFull != nil && f.LinkWasFull(last) {
		return Silence{}
	}
	silence := Silence{Length: now.Sub(last), Ago: now.Sub(r.started), Broken: f.wasUnreachable(last, refusedSince, now)}
	earliestReturn, failed := f.Backoff.Outage(last)
	if r.kind.relayed() {
		earliestReturn, failed = f.Backoff.OngoingOutage(last, now)
		silence.Broken = failed
	}
	if failed {
		silence.Ago = now.Sub(earliestReturn)
	}
	return silence
}

// minOutage is how long calls must be refused to count as an outage that no probe shows. A single refused
// call is followed by the next one sooner.
const minOutage = time.Second

// wasUnreachable reports whether the store was unreachable between the last answer and now. refusedSince is
// the start of the first call that was refused meanwhile, or zero. Refused calls of one prefix don't count if
// the store answered others, and a call without any outcome may only have used a dead connection.
func (f *Follower) wasUnreachable(lastAnswer, refusedSince, now time.Time) bool {
	if f.Backoff.UnreachableSince(lastAnswer) {
		return true
	}
	return !refusedSince.IsZero() && now.Sub(refusedSince) >= minOutage && !f.Backoff.AnsweredSince(refusedSince)
}

// reportedSilence returns the silence of the store that another router reported with its answer.
// known is false if the answer is the store's own or the router could not tell.
func (r *callResult) reportedSilence() (reported Silence, known bool) {
	switch {
	case !r.kind.relayed():
		return Silence{}, false
	case r.snapshot != nil:
		return r.snapshot.Silence, r.snapshot.Continuous
	}
	return r.changes.Silence, true
}

// withoutOutdated removes what is older than the follower's data: a check and the regular call may
// be answered in either order. Newer data must not be reverted, neither here nor in the routers that
// follow this one: a backend server added by it would be considered gone.
func (f *Follower) withoutOutdated(r callResult) callResult {
	switch {
	case f.at == r.after:
	case r.snapshot != nil && r.snapshot.At < f.at:
		r.changes = &Changes{At: r.snapshot.At, Lag: r.snapshot.Lag}
		r.snapshot = nil
	case r.changes != nil:
		changes := *r.changes
		changes.Events = nil
		for _, e := range r.changes.Events {
			if e.Revision > f.at {
				changes.Events = append(changes.Events, e)
			}
		}
		r.changes = &changes
	}
	return r
}

// deliver passes an answer to the sink.
func (f *Follower) deliver(r callResult, silence Silence) {
	if r.snapshot != nil {
		f.Sink.Reset(r.snapshot.Items, silence)
		f.at, f.synced = r.snapshot.At, true
		return
	}
	f.Sink.Apply(r.changes.Events, silence)
	f.at = max(f.at, r.changes.At)
}

func (f *Follower) reportReachable() {
	if !f.reachable {
		f.reachable, f.reported = true, true
		f.Sink.SetReachable(true, nil)
	}
}

// scheduleNext sets the start of the next regular call after an answer.
func (f *Follower) scheduleNext(kind callKind, now time.Time) {
	if kind == checkStore {
		f.regular.next = f.nextWatchTime(now) // has no effect on a call under way
		return
	}
	f.reportSource(kind == askPeers)
	f.regular.useStore = false
	if kind == askPeers {
		f.regular.next = now.Add(relayPause)
		return
	}
	f.regular.next = f.nextWatchTime(now)
}

// nextWatchTime returns when the store may be watched again: after Pause while there are burst
// tokens, which are refilled over time, else MaxWait + Pause after the last start.
func (f *Follower) nextWatchTime(now time.Time) time.Time {
	next := now.Add(f.Pause)
	if f.Burst == 0 {
		return next
	}
	cycle := f.MaxWait + f.Pause
	f.regular.burstTokens = min(float64(f.Burst), f.regular.burstTokens+float64(next.Sub(f.regular.started))/float64(cycle)) - 1
	if f.regular.burstTokens >= 0 {
		return next
	}
	f.regular.burstTokens = 0
	return f.regular.started.Add(cycle)
}

// reportSource calls SourceChanged if the answer to a regular call has another source than the one
// before.
func (f *Follower) reportSource(relayed bool) {
	if f.SourceChanged != nil && (!f.sourceKnown || f.lastRelayed != relayed) {
		f.SourceChanged(relayed)
	}
	f.sourceKnown, f.lastRelayed = true, relayed
}
