package store

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"
)

// ErrPanicked is the error of a call whose code panicked. The follower handles and reports it
// like any failed call; otherwise it would wait for an answer forever.
var ErrPanicked = errors.New("store: panic in a call")

// regularCall is the state of the one call, a watch or a read, that is always under way or due.
type regularCall struct {
	next time.Time // its earliest start
	busy bool
	// useStore makes the next call go to the store, because the other routers had no answer.
	useStore    bool
	burstTokens float64 // watches that may start after Pause only; see Follower.Burst
	started     time.Time
	// call is the last one that was started; nil: none.
	call *pendingCall
}

// checks is the state of the additional calls to the store that are made while the data is
// stale, in parallel with the regular call.
type checks struct {
	next      time.Time
	lastStart time.Time      // start of the last check
	period    int            // number of the stale period; results of earlier periods are ignored
	calls     []*pendingCall // checks that may be under way, oldest first
	count     int            // checks started in this period
}

// cancelArriving cancels the checks whose answers have begun to arrive; another answer was
// complete first. The others go on, since they still show whether the store answers them.
func (c *checks) cancelArriving() {
	c.calls = slices.DeleteFunc(c.calls, func(p *pendingCall) bool {
		arrived := p.lastPart.Load() != nil
		if arrived {
			p.cancel()
		}
		return arrived
	})
}

// Constants of the checks.
const (
	// checkTimeout lets a check be answered over a link that queues packets for half a second:
	// a new connection and a call take four of those delays. With a shorter timeout no check
	// succeeded on such a link, and a new configuration was not seen for five seconds.
	checkTimeout = 2400 * time.Millisecond
	// maxChecks limits the checks under way to those that start within checkTimeout at the
	// intervals of a Backoff. A new check replaces the oldest one.
	maxChecks = 6
	// relayedCheckDelay is by how much a router that follows a store reader, a router that reads
	// from the store for others, checks later than that reader. The reader's check then succeeds
	// first, and one call serves all.
	relayedCheckDelay = 150 * time.Millisecond
	// backoffPollInterval is how often a follower checks whether the Backoff allows a call
	// again, which another follower's answer may have caused.
	backoffPollInterval = 50 * time.Millisecond
)

// Times between two calls to other routers.
const (
	// relayPause is short because these calls cost only CPU time, and their answers omit
	// updates that change nothing.
	relayPause = 30 * time.Millisecond
	// relayRetryInterval spaces calls to routers that can't answer while the store doesn't
	// answer this router either.
	relayRetryInterval = 500 * time.Millisecond
)

// minWatchWait is the shortest wait of a watch.
const minWatchWait = 20 * time.Millisecond

// callKind is the destination and purpose of a call.
type callKind int

const (
	askPeers   callKind = iota
	askStore            // the regular call to the store
	checkStore          // a check, in parallel with the regular call
	askAny              // a fallback call to store readers of any failure domain, in parallel with all others
)

// relayed reports whether a call of the kind goes to other routers.
func (k callKind) relayed() bool {
	return k == askPeers || k == askAny
}

// callResult is the result of a call: a snapshot, changes or an error.
type callResult struct {
	kind      callKind
	period    int    // of checks only
	probe     *Probe // of checks only
	started   time.Time
	ended     time.Time
	abandoned bool     // cancelled or timed out by this router
	after     Revision // the follower's revision when the call started
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
	} else if f.checking(now) {
		return // the checks call the store
	} else if f.failing && !f.Backoff.Allow(now, f.maxBackoff()) {
		f.regular.next = now.Add(backoffPollInterval)
		return
	}
	f.regular.busy, f.regular.started = true, now
	f.regular.call = f.call(ctx, calls, callResult{kind: kind, started: now, after: f.at}, f.regularQuery(kind, now), !f.synced)
}

func (f *Follower) startCheck(ctx context.Context, calls *conc.WaitGroup, now time.Time) {
	if !f.checking(now) || now.Before(f.checks.next) {
		return
	}
	full, due := f.nextCheck(now)
	if !due {
		f.checks.next = now.Add(backoffPollInterval)
		return
	}
	first := f.checks.count == 0
	if first {
		f.becomeSilent(now)
	}
	// The first check doesn't wait for a backoff that calls over other connections have
	// started: only those connections may be dead, and waiting would let the data get too old.
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

// becomeSilent records that the store, or the routers that this one follows, did not answer in time.
func (f *Follower) becomeSilent(now time.Time) {
	f.silent = true
	f.fallback.resume(now)
	if f.StaleCheckStarted != nil {
		f.StaleCheckStarted(now.Sub(f.asOf), f.relaying, f.failing)
	}
}

// nextCheck reports whether the next check reads everything or only the changes, and whether it is
// due. The two kinds alternate: with full reads only, a router on a congested link had no answer for
// five seconds after an outage, because 50 KB took too long. No check is due while answers of both
// kinds are arriving: they share the link, and further calls would keep a large one from completing.
func (f *Follower) nextCheck(now time.Time) (full, due bool) {
	full = f.checks.count%2 == 0 || f.at == 0
	if !f.arriving(full, now) {
		return full, true
	}
	return !full, f.at > 0 && !f.arriving(!full, now)
}

// arriving reports whether an answer of the store is arriving, either to a read of everything or to
// one of the changes only.
func (f *Follower) arriving(full bool, now time.Time) bool {
	arriving := func(p *pendingCall) bool { return p.full == full && p.arriving(now) }
	regular := f.regular.busy && f.regular.call != nil && arriving(f.regular.call)
	return regular || slices.ContainsFunc(f.checks.calls, arriving)
}

// checkQuery returns the query of a check. It uses a new connection, since the open ones may be dead.
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

// query makes one call to the store or to other routers.
type query func(ctx context.Context) (*Snapshot, *Changes, error)

// call runs a query in a new goroutine, which sends the result to Run. full says whether the query
// reads everything.
func (f *Follower) call(ctx context.Context, calls *conc.WaitGroup, r callResult, query query, full bool) *pendingCall {
	callCtx, cancel := context.WithCancel(ctx)
	p := &pendingCall{full: full, cancel: cancel}
	callCtx = WithProgressFunc(callCtx, func() {
		now := f.now()
		p.lastPart.Store(&now)
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
	return p
}

// regularQuery returns the query of the next regular call: a watch if the follower is in sync, else a
// read of everything.
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

// watchWait returns how long a watch waits for a change: until the data is MaxWait + Pause old, but
// at most MaxWait. After an answer with changes it is less, since that answer confirms only the state
// at the start of its call.
func (f *Follower) watchWait(now time.Time) time.Duration {
	return min(f.MaxWait, max(minWatchWait, f.asOf.Add(f.MaxWait+f.Pause).Sub(now)))
}

// watchFunc is Store.Watch or Store.WatchNewConn.
type watchFunc func(ctx context.Context, prefix string, after Revision, wait time.Duration) (Changes, error)

// watch reads changes from the store. An answer without changes confirms the state at the end of the
// wait.
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
