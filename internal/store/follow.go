package store

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"
)

// Sink receives the data that a Follower reads. All calls are made from one goroutine, in order.
type Sink interface {
	// Reset replaces all data under the prefix. silence is the time without an answer from
	// the store before this one; it is zero at the first read.
	Reset(items []Item, silence Silence)
	// Apply applies changes, in the order of their revisions.
	Apply(events []Event, silence Silence)
	// SetReachable reports whether the last call was answered. It is called when that changes,
	// after the data of the answer has been passed on. cause is the error if reachable is false.
	SetReachable(reachable bool, cause error)
}

// Relay reads other routers' Feeds of a prefix.
type Relay interface {
	// Read returns all items from a router whose data is at least as recent as the revision.
	Read(ctx context.Context, prefix string, after Revision) (Snapshot, error)
	// Watch returns the changes after a revision, as soon as there is one and no later than a
	// wait that the implementation chooses.
	Watch(ctx context.Context, prefix string, after Revision) (Changes, error)
	// Active reports whether this router should follow others rather than the store.
	Active() bool
	// WatchAny is Watch at routers of any failure domain. It prefers an answer without a silence of
	// the store.
	WatchAny(ctx context.Context, prefix string, after Revision) (Changes, error)
}

// Follower keeps a Sink up to date with all keys under a prefix. It reads everything once and
// then watches for changes; it reads everything again whenever the history is lost or a watch
// fails. It calls other routers if its Relay is active, and the store if they have no answer.
//
// With each answer it records the time as of which the answer confirms the store's state. Once
// that time is CheckAfter ago the data is stale, and the follower calls the store in parallel with
// whatever call is under way, repeatedly until there is an answer. So as long as the store
// answers new calls, the age of the data is bounded by CheckAfter, the interval of the Backoff
// and a round trip, however long other calls, pauses and timeouts take. Without these checks, two
// failed calls were enough to exceed the limit on the age that leaving backend servers set.
type Follower struct {
	Store  Store
	Prefix string
	// Relay reads from other routers; nil: all data comes from the store.
	Relay Relay
	// Backoff spaces the calls after a failed one. All followers of a router share it; nil
	// means one for this follower only.
	Backoff *Backoff
	// Feed receives the data for other routers; nil: no router follows this one.
	Feed *Feed
	Sink Sink

	// LinkWasFull reports whether this VM's link has been full since a time, so that answers of
	// the store may have been late or lost on it; nil: never.
	LinkWasFull func(since time.Time) bool

	// MaxWait is the longest time that a watch waits at the store.
	MaxWait time.Duration
	// Timeout is the time allowed for an answer beyond the wait of a watch. A call without
	// any data for longer is cancelled, since an open connection can die without a reset.
	Timeout time.Duration
	// Pause is the shortest time between two calls; changes made during a pause arrive in one
	// answer.
	Pause time.Duration
	// Burst is how many watches may follow each other after Pause only, before there is one
	// per MaxWait + Pause. It limits the calls for a prefix that changes all the time, without
	// raising the limit on the age of the data. Zero: no limit.
	Burst int
	// CheckAfter is the age at which data is stale, and the store is called in parallel with
	// the call under way; zero: never.
	CheckAfter time.Duration

	// AskAny reports whether to read from routers of any failure domain while neither the store nor
	// the routers that this one follows have an answer.
	AskAny bool

	// SourceChanged, if not nil, is called with the source of the first answer and then
	// whenever the source changes between the store and other routers.
	SourceChanged func(relayed bool)
	// StaleCheckStarted, if not nil, is called when the data has become stale, with its age,
	// whether this router follows others, and whether calls to the store failed before.
	StaleCheckStarted func(age time.Duration, relayed, failing bool)
	// Confirmed, if not nil, is called after each answer. The data reflects the store's state at
	// asOf or later.
	Confirmed func(asOf time.Time)
	// WritesLost, if not nil, is called when an answer shows that the store has lost writes, with the
	// revision known before and the one of the answer, before the answer is passed on.
	WritesLost func(known, now Revision)
	// Verifier, if not nil, is told if an outage was none for other routers.
	Verifier OutageVerifier
	// FallbackChanged, if not nil, is called when data begins to come from routers of any failure domain,
	// since the store does not answer, and when that ends.
	FallbackChanged func(active bool)
	// Now returns the time of a clock that advances while the VM is suspended; nil means
	// time.Now.
	Now func() time.Time

	results chan callResult

	at         Revision
	synced     bool
	asOf       time.Time // the data reflects the store's state at this time or later
	lastAnswer time.Time // arrival of the last answer, from any source
	// reachable is what the sink was last told; reported is false before the first time.
	reachable, reported bool
	// failing is set while the last call to the store got no answer. lastStoreOKStart is the
	// start of the last call that got one.
	failing          bool
	lastStoreOKStart time.Time
	// refusedSince is the start of the first call that failed with ErrUnavailable since the last answer
	// from any source; zero: none.
	refusedSince time.Time
	// relaying is set while this router follows others.
	relaying    bool
	sourceKnown bool // there was an answer to a regular call
	lastRelayed bool // the last of these came from another router

	regular  regularCall
	checks   checks
	fallback fallback
	// silent is set from the first check of stale data until the store or a router that this one follows
	// answers.
	silent bool
}

// Run follows the prefix until ctx is done.
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

// setup initializes the follower. It sets asOf to now, so that data doesn't count as stale before
// the first call has had time to succeed.
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

// updateRelaying updates whether to follow other routers. It is called only once per iteration of
// Run, because Active has to examine the list of all routers.
func (f *Follower) updateRelaying() {
	f.relaying = f.Relay != nil && f.Relay.Active()
}

// maxBackoff returns the longest interval between two calls to a store that doesn't answer.
func (f *Follower) maxBackoff() time.Duration {
	if f.relaying {
		return backoffMaxRelayed
	}
	return backoffMax
}

// staleAt returns the time at which the data becomes stale.
func (f *Follower) staleAt() time.Time {
	if f.relaying {
		return f.asOf.Add(f.CheckAfter + relayedCheckDelay)
	}
	return f.asOf.Add(f.CheckAfter)
}

func (f *Follower) stale(now time.Time) bool {
	return f.CheckAfter > 0 && !now.Before(f.staleAt())
}

// checking reports whether the store is called by checks only, over new connections.
func (f *Follower) checking(now time.Time) bool {
	return f.silent || f.stale(now)
}

// untilNextDue returns the time until the next call is due.
func (f *Follower) untilNextDue() time.Duration {
	now := f.now()
	due := now.Add(time.Hour)
	earlier := func(t time.Time) {
		if t.Before(due) {
			due = t
		}
	}
	if !f.regular.busy && (f.regularKind(now) == askPeers || !f.checking(now)) {
		earlier(f.regular.next)
	}
	if f.fallbackDue(now) {
		earlier(f.fallback.next)
	}
	if f.CheckAfter > 0 {
		at := f.staleAt()
		if f.silent || at.Before(f.checks.next) {
			at = f.checks.next
		}
		earlier(at)
	}
	return max(0, due.Sub(now))
}

// regularKind returns the kind of the next regular call. While the store is silent, the checks call
// it, and the regular call goes to the other routers if this router follows them: they may
// be reachable again before the store is.
func (f *Follower) regularKind(now time.Time) callKind {
	if f.relaying && (!f.regular.useStore || f.checking(now)) {
		return askPeers
	}
	return askStore
}

// startDue starts the calls that are due.
func (f *Follower) startDue(ctx context.Context, calls *conc.WaitGroup) {
	now := f.now()
	f.startRegular(ctx, calls, now)
	f.startCheck(ctx, calls, now)
	f.startFallback(ctx, calls, now)
}
