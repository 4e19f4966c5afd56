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

// usualCall is the one call that is always under way or due: a watch, or a read.
type usualCall struct {
	next time.Time // its earliest start
	busy bool
	// toStore: other routers could not tell, so the store is asked once.
	toStore bool
	credit  float64 // watches that may follow by Pause alone
	started time.Time
	// transfer is the last call to the store; nil: none.
	transfer *transfer
}

// checks are the reads beside the usual call.
type checks struct {
	next   time.Time
	asked  time.Time   // when the last one started
	serial int         // of the time in which what is known is old; others' answers don't count
	calls  []*transfer // those that may be under way, oldest first
	made   int         // in this time
}

// stopArrived ends those of whose answers a part has come, once another answer was there first. Of
// the others it is still to be seen whether the store is silent.
func (c *checks) stopArrived() {
	c.calls = slices.DeleteFunc(c.calls, func(t *transfer) bool {
		arrived := t.part.Load() != nil
		if arrived {
			t.stop()
		}
		return arrived
	})
}

// Constants of the checks.
const (
	// checkPatience lets a check be answered over a link whose queue holds packets for half
	// a second: a new connection and a call take four of those times. With less, no check
	// ever got through on such a link, and a configuration stayed unknown for five seconds.
	checkPatience = 2400 * time.Millisecond
	// checksMost bounds the checks under way: as many as start within checkPatience at
	// the spacing of a Backoff. The oldest is given up for a new one.
	checksMost = 6
	// checkLead is how much later than the router that reads for it a router checks: that
	// one's own check gets there first, and one call serves all.
	checkLead = 150 * time.Millisecond
	// gatePoll is how often a follower looks whether the gate was opened by another one.
	gatePoll = 50 * time.Millisecond
)

// Pauses between two calls to other routers.
const (
	// relayPause is short: these calls cost nothing but their processor time, and what
	// changes nothing is left out of their answers.
	relayPause = 30 * time.Millisecond
	// relayRetry spaces the calls to routers that have nothing to tell while the store
	// doesn't answer this one either.
	relayRetry = 500 * time.Millisecond
)

// watchLeast is the shortest wait that is asked for.
const watchLeast = 20 * time.Millisecond

// callKind says whom a call asks.
type callKind int

const (
	askOthers  callKind = iota
	askStore            // the usual call to the store
	checkStore          // a read beside the usual call
)

// answer is how a call ended: with a snapshot, changes or an error.
type answer struct {
	kind     callKind
	serial   int    // of checks
	probe    *Probe // of checks
	started  time.Time
	ended    time.Time
	gaveUp   bool     // this router ended it
	after    Revision // what was known then
	snapshot *Snapshot
	changes  *Changes
	err      error
}

func (f *Follower) startUsual(ctx context.Context, calls *conc.WaitGroup, now time.Time) {
	if f.usual.busy || now.Before(f.usual.next) {
		return
	}
	kind := f.usualKind(now)
	if kind == askOthers {
		f.Feed.stop()
	} else if f.late(now) {
		return // the checks ask
	} else if f.failing && !f.Backoff.Allow(now, f.gateMost()) {
		f.usual.next = now.Add(gatePoll)
		return
	}
	f.usual.busy, f.usual.started = true, now
	f.usual.transfer = f.call(ctx, calls, answer{kind: kind, started: now, after: f.at}, f.usualAsk(kind, now), !f.synced)
}

func (f *Follower) startCheck(ctx context.Context, calls *conc.WaitGroup, now time.Time) {
	if !f.late(now) || now.Before(f.checks.next) {
		return
	}
	whole, due := f.nextCheck(now)
	if !due {
		f.checks.next = now.Add(gatePoll)
		return
	}
	first := f.checks.made == 0
	if first && f.StaleCheckStarted != nil {
		f.StaleCheckStarted(now.Sub(f.asOf), f.relaying, f.failing)
	}
	// The first check doesn't wait for a gate that calls on other connections have shut:
	// they may have fallen silent, and by its wait what is known would get too old.
	free := first || f.Backoff.AnsweredSince(f.checks.asked)
	if !f.Backoff.Allow(now, f.gateMost()) && !free {
		f.checks.next = now.Add(gatePoll)
		return
	}
	f.checks.next, f.checks.asked = now.Add(gateFirst), now
	f.checks.made++
	if len(f.checks.calls) == checksMost {
		f.checks.calls[0].stop()
		f.checks.calls = f.checks.calls[1:]
	}
	a := answer{kind: checkStore, serial: f.checks.serial, probe: f.Backoff.StartProbe(now), started: now, after: f.at}
	ctx = WithConnectedFunc(ctx, func() { f.Backoff.ProbeConnected(a.probe, f.now()) })
	ctx = WithProgressFunc(ctx, func() { f.Backoff.ProbeAnswered(a.probe, f.now()) })
	f.checks.calls = append(f.checks.calls, f.call(ctx, calls, a, f.checkAsk(whole), whole))
}

// nextCheck says whether the next check is for everything or for the changes only. They take turns:
// over a full link some 50 KB take too long, and a router that was back from an outage stayed without
// an answer for five seconds. None is due while answers of both kinds are on their way: answers share
// the link, and with another one asked for every moment no large one ever ends.
func (f *Follower) nextCheck(now time.Time) (whole, due bool) {
	whole = f.checks.made%2 == 0 || f.at == 0
	if !f.isArriving(whole, now) {
		return whole, true
	}
	return !whole, f.at > 0 && !f.isArriving(!whole, now)
}

// isArriving says whether an answer of the store is on its way that tells everything, or the changes
// only.
func (f *Follower) isArriving(whole bool, now time.Time) bool {
	arriving := func(t *transfer) bool { return t.whole == whole && t.isArriving(now) }
	usual := f.usual.busy && f.usual.transfer != nil && arriving(f.usual.transfer)
	return usual || slices.ContainsFunc(f.checks.calls, arriving)
}

// checkAsk is a check, over a new connection, since the open ones may have fallen silent.
func (f *Follower) checkAsk(whole bool) ask {
	after := f.at
	if !whole {
		return func(ctx context.Context) (*Snapshot, *Changes, error) {
			return f.watch(ctx, f.Store.WatchNewConn, after, watchLeast, checkPatience)
		}
	}
	return func(ctx context.Context) (*Snapshot, *Changes, error) {
		ctx, cancel := patiently(ctx, checkPatience)
		defer cancel()
		snapshot, err := f.Store.ReadNewConn(ctx, f.Prefix)
		return &snapshot, nil, err
	}
}

// ask makes one call.
type ask func(ctx context.Context) (*Snapshot, *Changes, error)

// call makes a call in a goroutine of its own, whose answer comes to Run. whole says that it asks for
// everything.
func (f *Follower) call(ctx context.Context, calls *conc.WaitGroup, a answer, ask ask, whole bool) *transfer {
	callCtx, stop := context.WithCancel(ctx)
	t := &transfer{whole: whole, stop: stop}
	callCtx = WithProgressFunc(callCtx, func() {
		now := f.now()
		t.part.Store(&now)
	})
	calls.Go(func() {
		defer stop()
		if panics.Try(func() { a.snapshot, a.changes, a.err = ask(callCtx) }) != nil {
			a.err = ErrPanicked
		}
		a.ended = f.now()
		a.gaveUp = callCtx.Err() != nil || a.ended.Sub(a.started) >= checkPatience
		select {
		case f.answers <- a:
		case <-ctx.Done():
		}
	})
	return t
}

// usualAsk is the next usual call: of all, if nothing is known for sure, or of changes.
func (f *Follower) usualAsk(kind callKind, now time.Time) ask {
	after := f.at
	switch {
	case kind == askOthers && !f.synced:
		return func(ctx context.Context) (*Snapshot, *Changes, error) {
			snapshot, err := f.Relay.Read(ctx, f.Prefix, after)
			return &snapshot, nil, err
		}
	case kind == askOthers:
		return func(ctx context.Context) (*Snapshot, *Changes, error) {
			changes, err := f.Relay.Watch(ctx, f.Prefix, after)
			return nil, &changes, err
		}
	case !f.synced:
		return func(ctx context.Context) (*Snapshot, *Changes, error) {
			ctx, cancel := patiently(ctx, f.Timeout)
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
	return min(f.MaxWait, max(watchLeast, f.asOf.Add(f.MaxWait+f.Pause).Sub(now)))
}

// watchCall is Store.Watch or Store.WatchNewConn.
type watchCall func(ctx context.Context, prefix string, after Revision, wait time.Duration) (Changes, error)

// watch asks the store for changes. An answer without any is of the end of the wait.
func (f *Follower) watch(ctx context.Context, call watchCall, after Revision, wait, patience time.Duration) (*Snapshot, *Changes, error) {
	ctx, cancel := patiently(ctx, wait+patience)
	defer cancel()
	began := f.now()
	changes, err := call(ctx, f.Prefix, after, wait)
	if len(changes.Events) == 0 {
		changes.Lag = -min(wait, f.now().Sub(began))
	}
	return nil, &changes, err
}
