package store

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"
)

// Sink takes what a Follower learns. Calls come from one goroutine, in order.
type Sink interface {
	// Reset replaces all that is known under the prefix. silence is the time without
	// an answer of the store before it; none at the first read.
	Reset(items []Item, silence Silence)
	// Apply takes changes, in the order of their revisions.
	Apply(events []Event, silence Silence)
	// Contact tells whether the last call was answered. It is called at each change,
	// and after what an answer told.
	Contact(reached bool, cause error)
}

// Relay reads other routers' Feeds of a prefix.
type Relay interface {
	// Read returns all items, from a router that knows the store up to a revision.
	Read(ctx context.Context, prefix string, after Revision) (Snapshot, error)
	// Watch returns the changes after a revision, as soon as there is one and at the
	// latest after some time of its own.
	Watch(ctx context.Context, prefix string, after Revision) (Changes, error)
	// Used says whether this router should follow others rather than the store.
	Used() bool
}

// Follower keeps a Sink up to date with all keys under a prefix: one read, then
// watches from there; another read whenever the history was lost or a watch failed.
// It asks other routers if there are some to ask, and the store where they can't tell.
//
// It notes with each answer which moment's state of the store that told at least. When
// that moment is CheckAfter ago, it reads from the store beside whatever call is under
// way, and again a little later as long as no answer came. So while the store answers new
// calls, the age of what is known is bounded by CheckAfter, the spacing of the Gate and a
// round trip, whatever other calls, pauses and timeouts take: their sum was over the
// bound that leaving servers set with the second call that failed.
type Follower struct {
	Store  Store
	Prefix string
	// Relay reads from other routers; nil: all comes from the store.
	Relay Relay
	// Gate spaces the calls that follow a failed one, over all followers of a router;
	// nil: over this one.
	Gate *Gate
	// Feed gets what came from the store, for other routers; nil: nobody.
	Feed *Feed
	Sink Sink

	// Wait is how long one watch may wait at the store at the most.
	Wait time.Duration
	// Patience is the time an answer may need beyond its wait. A call that is silent for
	// longer is given up, since an open connection can go silent without a reset.
	Patience time.Duration
	// Pause is the least time between two calls: changes of one pause come in one answer.
	Pause time.Duration
	// Burst is how many watches may follow each other by Pause alone, before there is
	// one each Wait + Pause only. It bounds the calls on a prefix that changes all the
	// time, at no cost to the age of what is known. Zero: any number.
	Burst int
	// CheckAfter is the age of what is known at which the store is asked beside the call
	// under way; zero: never.
	CheckAfter time.Duration

	// SourceChanged is told where answers come from, at the first one and each change;
	// nil: nobody is told.
	SourceChanged func(relayed bool)
	// Checked is told when what is known got old: how old, whether others were asked,
	// and whether calls to the store failed before. Nil: nobody is told.
	Checked func(age time.Duration, relayed, failing bool)
	// Now is a clock that goes on while the VM is suspended; nil means time.Now.
	Now func() time.Time

	answers chan answer

	at     Revision
	synced bool
	asOf   time.Time // what is known is the store's state of this moment or a later one
	lastOK time.Time // of the last answer, from wherever
	// reached is whether the last call to the store was answered, as the sink was told.
	reached, started bool
	// failing: the last call to the store got no answer.
	failing bool
	sourced bool // an answer came
	relayed bool // the last usual one came from another router

	usual  usualCall
	checks checks
}

// usualCall is the one call that is always under way or due: a watch, or a read.
type usualCall struct {
	next   time.Time // its earliest start
	busy   bool
	serial int // of the call under way
	stop   context.CancelFunc
	// toStore: other routers could not tell, so the store is asked once.
	toStore bool
	credit  float64 // watches that may follow by Pause alone
	started time.Time
}

// checks are the reads beside the usual call.
type checks struct {
	next   time.Time
	serial int                  // of those that count
	stops  []context.CancelFunc // of those that may be under way, oldest first
	told   bool                 // Checked was told of this time
}

// Constants of the checks.
const (
	// checkPatience lets also a store that takes a second answer a check.
	checkPatience = 1200 * time.Millisecond
	// checksMost bounds the checks under way: as many as start within checkPatience at
	// the spacing of a Gate. The oldest is given up for a new one.
	checksMost = 4
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
	serial   int
	started  time.Time
	snapshot *Snapshot
	changes  *Changes
	err      error
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	var calls conc.WaitGroup
	defer calls.Wait()
	defer cancel()
	f.begin()
	for {
		f.startDue(ctx, &calls)
		timer := time.NewTimer(f.untilDue())
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case a := <-f.answers:
			f.take(a)
		case <-timer.C:
		}
		timer.Stop()
	}
}

// begin counts the start as knowledge of nothing, so that the first call has its time.
func (f *Follower) begin() {
	if f.Gate == nil {
		f.Gate = &Gate{}
	}
	f.answers = make(chan answer)
	f.asOf = f.now()
	f.usual.credit = float64(f.Burst)
}

func (f *Follower) now() time.Time {
	if f.Now == nil {
		return time.Now()
	}
	return f.Now()
}

// relaying says whether this router follows others.
func (f *Follower) relaying() bool {
	return f.Relay != nil && f.Relay.Used()
}

// gateMost is the longest time between two calls to a store that doesn't answer.
func (f *Follower) gateMost() time.Duration {
	if f.relaying() {
		return gateMostRelayed
	}
	return gateMost
}

// lateAt is when what is known gets old.
func (f *Follower) lateAt() time.Time {
	if f.relaying() {
		return f.asOf.Add(f.CheckAfter + checkLead)
	}
	return f.asOf.Add(f.CheckAfter)
}

func (f *Follower) late(now time.Time) bool {
	return f.CheckAfter > 0 && !now.Before(f.lateAt())
}

// untilDue is how long nothing is to be started.
func (f *Follower) untilDue() time.Duration {
	now := f.now()
	due := now.Add(time.Hour)
	earlier := func(t time.Time) {
		if t.Before(due) {
			due = t
		}
	}
	if !f.usual.busy && (f.usualKind() == askOthers || !f.late(now)) {
		earlier(f.usual.next)
	}
	if f.CheckAfter > 0 {
		at := f.lateAt()
		if at.Before(f.checks.next) {
			at = f.checks.next
		}
		earlier(at)
	}
	return max(0, due.Sub(now))
}

// usualKind is whom the next usual call asks.
func (f *Follower) usualKind() callKind {
	if f.relaying() && !f.usual.toStore {
		return askOthers
	}
	return askStore
}

// startDue starts the calls whose time has come.
func (f *Follower) startDue(ctx context.Context, calls *conc.WaitGroup) {
	now := f.now()
	f.startUsual(ctx, calls, now)
	f.startCheck(ctx, calls, now)
}

func (f *Follower) startUsual(ctx context.Context, calls *conc.WaitGroup, now time.Time) {
	if f.usual.busy || now.Before(f.usual.next) {
		return
	}
	kind := f.usualKind()
	if kind == askOthers {
		f.Feed.stop()
	} else if f.late(now) {
		return // the checks ask
	} else if f.failing && !f.Gate.Take(now, f.gateMost()) {
		f.usual.next = now.Add(gatePoll)
		return
	}
	f.usual.busy, f.usual.started = true, now
	f.usual.serial++
	f.usual.stop = f.call(ctx, calls, answer{kind: kind, serial: f.usual.serial, started: now}, f.usualAsk(kind, now))
}

func (f *Follower) startCheck(ctx context.Context, calls *conc.WaitGroup, now time.Time) {
	if !f.late(now) || now.Before(f.checks.next) {
		return
	}
	first := !f.checks.told
	f.checks.told = true
	if first && f.Checked != nil {
		f.Checked(now.Sub(f.asOf), f.relaying(), f.failing)
	}
	// The first check doesn't wait for a gate that calls on other connections have shut:
	// they may have fallen silent, and by its wait what is known would get too old.
	if !f.Gate.Take(now, f.gateMost()) && !first {
		f.checks.next = now.Add(gatePoll)
		return
	}
	f.checks.next = now.Add(gateFirst)
	if len(f.checks.stops) == checksMost {
		f.checks.stops[0]()
		f.checks.stops = f.checks.stops[1:]
	}
	stop := f.call(ctx, calls, answer{kind: checkStore, serial: f.checks.serial, started: now}, func(ctx context.Context) (*Snapshot, *Changes, error) {
		ctx, cancel := context.WithTimeout(ctx, checkPatience)
		defer cancel()
		snapshot, err := f.Store.ReadAnew(ctx, f.Prefix)
		return &snapshot, nil, err
	})
	f.checks.stops = append(f.checks.stops, stop)
}

// ask makes one call.
type ask func(ctx context.Context) (*Snapshot, *Changes, error)

// call makes a call in a goroutine of its own, whose answer comes to Run.
func (f *Follower) call(ctx context.Context, calls *conc.WaitGroup, a answer, ask ask) context.CancelFunc {
	callCtx, stop := context.WithCancel(ctx)
	calls.Go(func() {
		defer stop()
		a.snapshot, a.changes, a.err = ask(callCtx)
		select {
		case f.answers <- a:
		case <-ctx.Done():
		}
	})
	return stop
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
			ctx, cancel := context.WithTimeout(ctx, f.Patience)
			defer cancel()
			snapshot, err := f.Store.Read(ctx, f.Prefix)
			return &snapshot, nil, err
		}
	}
	wait := f.watchWait(now)
	return func(ctx context.Context) (*Snapshot, *Changes, error) { return f.watch(ctx, after, wait) }
}

// watchWait lets a watch come back when what is known is Wait + Pause old: an answer with
// changes may have been sent as early as its call, so the one after it waits less.
func (f *Follower) watchWait(now time.Time) time.Duration {
	return min(f.Wait, max(watchLeast, f.asOf.Add(f.Wait+f.Pause).Sub(now)))
}

// watch asks the store for changes. An answer without any is of the end of the wait.
func (f *Follower) watch(ctx context.Context, after Revision, wait time.Duration) (*Snapshot, *Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+f.Patience)
	defer cancel()
	began := f.now()
	changes, err := f.Store.Watch(ctx, f.Prefix, after, wait)
	if len(changes.Events) == 0 {
		changes.Lag = -min(wait, f.now().Sub(began))
	}
	return nil, &changes, err
}
