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
	// SetReachable tells whether the last call was answered. It is called at each change,
	// and after what an answer told.
	SetReachable(reached bool, cause error)
}

// Relay reads other routers' Feeds of a prefix.
type Relay interface {
	// Read returns all items, from a router that knows the store up to a revision.
	Read(ctx context.Context, prefix string, after Revision) (Snapshot, error)
	// Watch returns the changes after a revision, as soon as there is one and at the
	// latest after some time of its own.
	Watch(ctx context.Context, prefix string, after Revision) (Changes, error)
	// Active says whether this router should follow others rather than the store.
	Active() bool
}

// Follower keeps a Sink up to date with all keys under a prefix: one read, then
// watches from there; another read whenever the history was lost or a watch failed.
// It asks other routers if there are some to ask, and the store where they can't tell.
//
// It notes with each answer which moment's state of the store that told at least. When
// that moment is CheckAfter ago, it reads from the store beside whatever call is under
// way, and again a little later as long as no answer came. So while the store answers new
// calls, the age of what is known is bounded by CheckAfter, the spacing of the Backoff and a
// round trip, whatever other calls, pauses and timeouts take: their sum was over the
// bound that leaving servers set with the second call that failed.
type Follower struct {
	Store  Store
	Prefix string
	// Relay reads from other routers; nil: all comes from the store.
	Relay Relay
	// Backoff spaces the calls that follow a failed one, over all followers of a router;
	// nil: over this one.
	Backoff *Backoff
	// Feed gets what came from the store, for other routers; nil: nobody.
	Feed *Feed
	Sink Sink

	// MaxWait is how long one watch may wait at the store at the most.
	MaxWait time.Duration
	// Timeout is the time an answer may need beyond its wait. A call that is silent for
	// longer is given up, since an open connection can go silent without a reset.
	Timeout time.Duration
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
	// StaleCheckStarted is told when what is known got old: how old, whether others were asked,
	// and whether calls to the store failed before. Nil: nobody is told.
	StaleCheckStarted func(age time.Duration, relayed, failing bool)
	// Confirmed is told, after each answer, of which moment the state is that is known at the
	// least; nil: nobody is told.
	Confirmed func(asOf time.Time)
	// Now is a clock that goes on while the VM is suspended; nil means time.Now.
	Now func() time.Time

	results chan callResult

	at         Revision
	synced     bool
	asOf       time.Time // what is known is the store's state of this moment or a later one
	lastAnswer time.Time // of the last answer, from wherever
	// reachable is whether the last call to the store was answered, as the sink was told.
	reachable, reported bool
	// failing: the last call to the store got no answer. storeOK is the start of the last
	// one that got one.
	failing          bool
	lastStoreOKStart time.Time
	// relaying: this router follows others.
	relaying    bool
	sourceKnown bool // an answer came
	lastRelayed bool // the last usual one came from another router

	regular regularCall
	checks  checks
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	var calls conc.WaitGroup
	defer calls.Wait()
	defer cancel()
	f.setup()
	for {
		f.startDue(ctx, &calls)
		timer := time.NewTimer(f.untilNextDue())
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case r := <-f.results:
			f.handleResult(r)
		case <-timer.C:
		}
		timer.Stop()
		f.updateRelaying()
	}
}

// setup counts the start as knowledge of nothing, so that the first call has its time.
func (f *Follower) setup() {
	if f.Backoff == nil {
		f.Backoff = &Backoff{}
	}
	f.results = make(chan callResult)
	f.asOf = f.now()
	f.regular.burstTokens = float64(f.Burst)
	f.updateRelaying()
}

func (f *Follower) now() time.Time {
	if f.Now == nil {
		return time.Now()
	}
	return f.Now()
}

// updateRelaying sees whom to ask. It is done once a turn: the answer takes a look at the list
// of all routers.
func (f *Follower) updateRelaying() {
	f.relaying = f.Relay != nil && f.Relay.Active()
}

// maxBackoff is the longest time between two calls to a store that doesn't answer.
func (f *Follower) maxBackoff() time.Duration {
	if f.relaying {
		return backoffMaxRelayed
	}
	return backoffMax
}

// staleAt is when what is known gets old.
func (f *Follower) staleAt() time.Time {
	if f.relaying {
		return f.asOf.Add(f.CheckAfter + relayedCheckDelay)
	}
	return f.asOf.Add(f.CheckAfter)
}

func (f *Follower) stale(now time.Time) bool {
	return f.CheckAfter > 0 && !now.Before(f.staleAt())
}

// untilNextDue is how long nothing is to be started.
func (f *Follower) untilNextDue() time.Duration {
	now := f.now()
	due := now.Add(time.Hour)
	earlier := func(t time.Time) {
		if t.Before(due) {
			due = t
		}
	}
	if !f.regular.busy && (f.regularKind(now) == askPeers || !f.stale(now)) {
		earlier(f.regular.next)
	}
	if f.CheckAfter > 0 {
		at := f.staleAt()
		if at.Before(f.checks.next) {
			at = f.checks.next
		}
		earlier(at)
	}
	return max(0, due.Sub(now))
}

// regularKind is whom the next usual call asks. When what is known is old, the checks ask the
// store, and the usual call is for others: they may be back while the store is not.
func (f *Follower) regularKind(now time.Time) callKind {
	if f.relaying && (!f.regular.useStore || f.stale(now)) {
		return askPeers
	}
	return askStore
}

// startDue starts the calls whose time has come.
func (f *Follower) startDue(ctx context.Context, calls *conc.WaitGroup) {
	now := f.now()
	f.startRegular(ctx, calls, now)
	f.startCheck(ctx, calls, now)
}
