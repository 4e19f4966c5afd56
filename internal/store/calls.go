package store

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"
)

// ErrPanicked: the code that makes a call is broken. Its follower goes on like after any
// failed call, and tells of it; else it would wait for an answer for ever.
var ErrPanicked = errors.New("store: panic in a call")

// regularCall is the one call that is always under way or due: a watch, or a read.
type regularCall struct {
	next time.Time // its earliest start
	busy bool
	// useStore: other routers could not tell, so the store is asked once.
	useStore    bool
	burstTokens float64 // watches that may follow by Pause alone
	started     time.Time
	// transfer is the last call to the store; nil: none.
	transfer *transfer
}

// checks are the reads beside the usual call.
type checks struct {
	next      time.Time
	lastStart time.Time   // when the last one started
	period    int         // of the time in which what is known is old; others' answers don't count
	calls     []*transfer // those that may be under way, oldest first
	count     int         // in this time
}

// cancelArriving ends those of whose answers a part has come, once another answer was there first. Of
// the others it is still to be seen whether the store is silent.
func (c *checks) cancelArriving() {
	c.calls = slices.DeleteFunc(c.calls, func(t *transfer) bool {
		arrived := t.lastPart.Load() != nil
		if arrived {
			t.cancel()
		}
		return arrived
	})
}

// Constants of the checks.
const (
	// checkTimeout lets a check be answered over a link whose queue holds packets for half
	// a second: a new connection and a call take four of those times. With less, no check
	// ever got through on such a link, and a configuration stayed unknown for five seconds.
	checkTimeout = 2400 * time.Millisecond
	// maxChecks bounds the checks under way: as many as start within checkPatience at
	// the spacing of a Backoff. The oldest is given up for a new one.
	maxChecks = 6
	// relayedCheckDelay is how much later than the router that reads for it a router checks: that
	// one's own check gets there first, and one call serves all.
	relayedCheckDelay = 150 * time.Millisecond
	// backoffPollInterval is how often a follower looks whether the gate was opened by another one.
	backoffPollInterval = 50 * time.Millisecond
)

// Pauses between two calls to other routers.
const (
	// relayPause is short: these calls cost nothing but their processor time, and what
	// changes nothing is left out of their answers.
	relayPause = 30 * time.Millisecond
	// relayRetryInterval spaces the calls to routers that have nothing to tell while the store
	// doesn't answer this one either.
	relayRetryInterval = 500 * time.Millisecond
)

// minWatchWait is the shortest wait that is asked for.
const minWatchWait = 20 * time.Millisecond

// callKind says whom a call asks.
type callKind int

const (
	askPeers   callKind = iota
	askStore            // the usual call to the store
	checkStore          // a read beside the usual call
)

// callResult is how a call ended: with a snapshot, changes or an error.
type callResult struct {
	kind      callKind
	period    int    // of checks
	probe     *Probe // of checks
	started   time.Time
	ended     time.Time
	abandoned bool     // this router ended it
	after     Revision // what was known then
	snapshot  *Snapshot
	changes   *Changes
	err       error
}

func (f *Follower) startRegular(ctx context.Context, calls *conc.WaitGroup, now time.Time) {
	if f.regular.busy || now.Before(f.regular.next) {
		return
	}
	kind := f.regularKind(now)
	if kind == askPeers {
		f.Feed.stop()
	} else if f.stale(now) {
		return // the checks ask
	} else if f.failing && !f.Backoff.Allow(now, f.maxBackoff()) {
		f.regular.next = now.Add(backoffPollInterval)
		return
	}
	f.regular.busy, f.regular.started = true, now
	f.regular.transfer = f.call(ctx, calls, callResult{kind: kind, started: now, after: f.at}, f.regularQuery(kind, now), !f.synced)
}

func (f *Follower) startCheck(ctx context.Context, calls *conc.WaitGroup, now time.Time) {
	if !f.stale(now) || now.Before(f.checks.next) {
		return
	}
	full, due := f.nextCheck(now)
	if !due {
		f.checks.next = now.Add(backoffPollInterval)
		return
	}
	first := f.checks.count == 0
	if first && f.StaleCheckStarted != nil {
		f.StaleCheckStarted(now.Sub(f.asOf), f.relaying, f.failing)
	}
	// The first check doesn't wait for a gate that calls on other connections have shut:
	// they may have fallen silent, and by its wait what is known would get too old.
	exempt := first || f.Backoff.AnsweredSince(f.checks.lastStart)
	if !f.Backoff.Allow(now, f.maxBackoff()) && !exempt {
		f.checks.next = now.Add(backoffPollInterval)
		return
	}
	f.checks.next, f.checks.lastStart = now.Add(backoffMin), now
	f.checks.count++
	if len(f.checks.calls) == maxChecks {
		f.checks.calls[0].cancel()
		f.checks.calls = f.checks.calls[1:]
	}
	r := callResult{kind: checkStore, period: f.checks.period, probe: f.Backoff.StartProbe(now), started: now, after: f.at}
	ctx = WithConnectedFunc(ctx, func() { f.Backoff.ProbeConnected(r.probe, f.now()) })
	ctx = WithProgressFunc(ctx, func() { f.Backoff.ProbeAnswered(r.probe, f.now()) })
	f.checks.calls = append(f.checks.calls, f.call(ctx, calls, r, f.checkQuery(full), full))
}

// nextCheck says whether the next check is for everything or for the changes only. They take turns:
// over a full link some 50 KB take too long, and a router that was back from an outage stayed without
// an answer for five seconds. None is due while answers of both kinds are on their way: answers share
// the link, and with another one asked for every moment no large one ever ends.
func (f *Follower) nextCheck(now time.Time) (full, due bool) {
	full = f.checks.count%2 == 0 || f.at == 0
	if !f.arriving(full, now) {
		return full, true
	}
	return !full, f.at > 0 && !f.arriving(!full, now)
}

// arriving says whether an answer of the store is on its way that tells everything, or the changes
// only.
func (f *Follower) arriving(full bool, now time.Time) bool {
	arriving := func(t *transfer) bool { return t.full == full && t.arriving(now) }
	regular := f.regular.busy && f.regular.transfer != nil && arriving(f.regular.transfer)
	return regular || slices.ContainsFunc(f.checks.calls, arriving)
}

// checkQuery is a check, over a new connection, since the open ones may have fallen silent.
func (f *Follower) checkQuery(full bool) query {
	after := f.at
	if !full {
		return func(ctx context.Context) (*Snapshot, *Changes, error) {
			return f.watch(ctx, f.Store.WatchNewConn, after, minWatchWait, checkTimeout)
		}
	}
	return func(ctx context.Context) (*Snapshot, *Changes, error) {
		ctx, cancel := withIdleTimeout(ctx, checkTimeout)
		defer cancel()
		snapshot, err := f.Store.ReadNewConn(ctx, f.Prefix)
		return &snapshot, nil, err
	}
}

// query makes one call.
type query func(ctx context.Context) (*Snapshot, *Changes, error)

// call makes a call in a goroutine of its own, whose answer comes to Run. whole says that it asks for
// everything.
func (f *Follower) call(ctx context.Context, calls *conc.WaitGroup, r callResult, query query, full bool) *transfer {
	callCtx, cancel := context.WithCancel(ctx)
	t := &transfer{full: full, cancel: cancel}
	callCtx = WithProgressFunc(callCtx, func() {
		now := f.now()
		t.lastPart.Store(&now)
	})
	calls.Go(func() {
		defer cancel()
		if panics.Try(func() { r.snapshot, r.changes, r.err = query(callCtx) }) != nil {
			r.err = ErrPanicked
		}
		r.ended = f.now()
		r.abandoned = callCtx.Err() != nil || r.ended.Sub(r.started) >= checkTimeout
		select {
		case f.results <- r:
		case <-ctx.Done():
		}
	})
	return t
}

// regularQuery is the next usual call: of all, if nothing is known for sure, or of changes.
func (f *Follower) regularQuery(kind callKind, now time.Time) query {
	after := f.at
	switch {
	case kind == askPeers && !f.synced:
		return func(ctx context.Context) (*Snapshot, *Changes, error) {
			snapshot, err := f.Relay.Read(ctx, f.Prefix, after)
			return &snapshot, nil, err
		}
	case kind == askPeers:
		return func(ctx context.Context) (*Snapshot, *Changes, error) {
			changes, err := f.Relay.Watch(ctx, f.Prefix, after)
			return nil, &changes, err
		}
	case !f.synced:
		return func(ctx context.Context) (*Snapshot, *Changes, error) {
			ctx, cancel := withIdleTimeout(ctx, f.Timeout)
			defer cancel()
			snapshot, err := f.Store.Read(ctx, f.Prefix)
			return &snapshot, nil, err
		}
	}
	wait := f.watchWait(now)
	return func(ctx context.Context) (*Snapshot, *Changes, error) {
		return f.watch(ctx, f.Store.Watch, after, wait, f.Timeout)
	}
}

// watchWait lets a watch come back when what is known is Wait + Pause old: an answer with
// changes may have been sent as early as its call, so the one after it waits less.
func (f *Follower) watchWait(now time.Time) time.Duration {
	return min(f.MaxWait, max(minWatchWait, f.asOf.Add(f.MaxWait+f.Pause).Sub(now)))
}

// watchFunc is Store.Watch or Store.WatchNewConn.
type watchFunc func(ctx context.Context, prefix string, after Revision, wait time.Duration) (Changes, error)

// watch asks the store for changes. An answer without any is of the end of the wait.
func (f *Follower) watch(ctx context.Context, call watchFunc, after Revision, wait, timeout time.Duration) (*Snapshot, *Changes, error) {
	ctx, cancel := withIdleTimeout(ctx, wait+timeout)
	defer cancel()
	start := f.now()
	changes, err := call(ctx, f.Prefix, after, wait)
	if len(changes.Events) == 0 {
		changes.Lag = -min(wait, f.now().Sub(start))
	}
	return nil, &changes, err
}
