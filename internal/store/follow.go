package store

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Sink takes what a Follower learns. Calls come from one goroutine, in order.
type Sink interface {
	// Reset replaces all that is known under the prefix. gap is the time since
	// the store last answered; zero at the first read.
	Reset(items []Item, gap time.Duration)
	// Apply takes changes, in the order of their revisions.
	Apply(events []Event, gap time.Duration)
	// Contact tells whether the last call was answered. It is called at each change.
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
type Follower struct {
	Store  Store
	Prefix string
	// Relay reads from other routers; nil: all comes from the store.
	Relay Relay
	// Gate spaces the calls to the store that follow a failed one while other routers
	// are the usual source.
	Gate *Gate
	// SourceChanged is told where answers come from, at the first one and each change;
	// nil: nobody is told.
	SourceChanged func(relayed bool)
	// Feed gets what came from the store, for other routers; nil: nobody.
	Feed *Feed
	// Wait is how long one watch may wait at the store. A watch that is silent
	// for longer than Wait and Patience is given up and opened anew, since an
	// open connection can go silent without a reset; so Wait + Patience bounds
	// the age of what is known.
	Wait time.Duration
	// Patience is the time an answer may need beyond Wait.
	Patience time.Duration
	// Pause is the least time between two calls. It bounds the calls on a prefix
	// that changes all the time: changes of one pause come in one answer.
	Pause time.Duration
	Sink  Sink

	at      Revision
	synced  bool
	lastOK  time.Time
	reached bool
	started bool
	// failures is how many calls failed in a row.
	failures int
	sourced  bool // an answer came
	relayed  bool // the last one came from another router
}

// Waits after failed calls. A store that refuses a router for seconds is asked less and
// less often, since refused calls are paid for too.
const (
	// retryFirst is short beside the second within which a change must be known, long
	// beside a call's few milliseconds.
	retryFirst = 150 * time.Millisecond
	// retryMost keeps the return of the store from being noticed late: living servers'
	// entries are back within two seconds of it.
	retryMost = 600 * time.Millisecond
)

// retryAfter is the wait after a number of failed calls in a row.
func retryAfter(failures int) time.Duration {
	wait := retryFirst
	for i := 1; i < failures && wait < retryMost; i++ {
		wait *= 2
	}
	return min(wait, retryMost)
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		relayed, err := f.step(ctx)
		pause := f.Pause
		if relayed {
			pause = relayPause
		}
		if err == nil {
			f.note(relayed)
		}
		if err != nil {
			f.failures++
			pause = retryAfter(f.failures)
		} else {
			f.failures = 0
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// note tells of the source of an answer if it is another one than before.
func (f *Follower) note(relayed bool) {
	if f.SourceChanged != nil && (!f.sourced || f.relayed != relayed) {
		f.SourceChanged(relayed)
	}
	f.sourced, f.relayed = true, relayed
}

// relayPause is the least time between two calls to another router: they cost nothing but
// their processor time, and what changes nothing is left out of their answers.
const relayPause = 30 * time.Millisecond

// ErrGated: the store did not answer lately, and is not asked again yet.
var ErrGated = errors.New("store: not asked again yet")

// step asks once and says whether another router answered.
func (f *Follower) step(ctx context.Context) (relayed bool, err error) {
	if f.Relay != nil && f.Relay.Used() {
		f.Feed.stop()
		if f.relay(ctx) == nil {
			return true, nil
		}
		if !f.Gate.Open(time.Now()) {
			f.failed(ErrGated)
			return false, ErrGated
		}
		err = f.direct(ctx)
		f.Gate.Note(err, time.Now())
		return false, err
	}
	return false, f.direct(ctx)
}

// relay learns from another router.
func (f *Follower) relay(ctx context.Context) error {
	if !f.synced {
		snapshot, err := f.Relay.Read(ctx, f.Prefix, f.at)
		if err != nil {
			return err
		}
		f.Feed.hear(&snapshot, nil)
		f.Sink.Reset(snapshot.Items, f.answered())
		f.at, f.synced = max(f.at, snapshot.At), true
		return nil
	}
	changes, err := f.Relay.Watch(ctx, f.Prefix, f.at)
	if errors.Is(err, ErrCompacted) {
		f.synced = false
		return f.relay(ctx)
	}
	if err != nil {
		return err
	}
	f.Feed.hear(nil, &changes)
	f.Sink.Apply(changes.Events, max(f.answered(), changes.Silence))
	f.at = max(f.at, changes.At)
	return nil
}

// direct learns from the store.
func (f *Follower) direct(ctx context.Context) error {
	if !f.synced {
		return f.read(ctx)
	}
	return f.watch(ctx)
}

// feed passes on what the store answered, with the time without an answer before it.
func (f *Follower) feed(s *Snapshot, c *Changes, gap time.Duration) {
	f.Feed.learn(s, c, gap, f.Wait+f.Patience+f.Pause)
}

func (f *Follower) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, f.Patience)
	defer cancel()
	snapshot, err := f.Store.Read(ctx, f.Prefix)
	if err != nil {
		f.failed(err)
		return err
	}
	gap := f.answered()
	f.feed(&snapshot, nil, gap)
	f.Sink.Reset(snapshot.Items, gap)
	f.at, f.synced = snapshot.At, true
	return nil
}

func (f *Follower) watch(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, f.Wait+f.Patience)
	defer cancel()
	changes, err := f.Store.Watch(ctx, f.Prefix, f.at, f.Wait)
	if err != nil {
		// A store that drops its history may leave watches silent for a while, also new
		// ones, although there were changes: a router then serves by an old
		// configuration for seconds. A read sees what is there at once.
		f.synced = false
	}
	if errors.Is(err, ErrCompacted) {
		return err
	}
	if err != nil {
		f.failed(err)
		return err
	}
	gap := f.answered()
	f.feed(nil, &changes, gap)
	f.Sink.Apply(changes.Events, gap)
	// A watch never moves back: an answer from behind would replay old events.
	f.at = max(f.at, changes.At)
	return nil
}

// answered notes an answer and returns how long there was none before it.
func (f *Follower) answered() time.Duration {
	now := time.Now()
	gap := time.Duration(0)
	if !f.lastOK.IsZero() {
		gap = now.Sub(f.lastOK)
	}
	f.lastOK = now
	if !f.reached {
		f.reached, f.started = true, true
		f.Sink.Contact(true, nil)
	}
	return gap
}

func (f *Follower) failed(err error) {
	if f.reached || !f.started {
		f.reached, f.started = false, true
		f.Sink.Contact(false, err)
	}
}
