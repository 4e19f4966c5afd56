package store

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Errors of a Feed. The reader then uses the store itself or another feed.
var (
	// ErrNoFeed means that this router doesn't follow the store itself, or has had no answer
	// from it for too long.
	ErrNoFeed = errors.New("store: feed not available")
	// ErrBehind means that the feed's data is older than its reader's.
	ErrBehind = errors.New("store: feed is behind its reader")
)

// Feed holds the data that a Follower read, so that other routers can follow this one instead of
// the store: in a large fleet, store calls by every router would cost more than everything else
// the routers do. It serves data only while this router follows the store itself. Otherwise two
// routers that follow each other would take each other's old data for new.
type Feed struct {
	// Equivalent reports whether readers that have the item before don't need the one after,
	// for example because it is only a heartbeat. Nil means that they need every item.
	Equivalent func(before, after Item) bool
	// Now returns the time of a clock that advances while the VM is suspended; nil means
	// time.Now.
	Now func() time.Time

	mu            sync.Mutex
	items         map[string]Item
	events        []feedEvent // after minRevision, ordered by learnedAt
	minRevision   Revision    // a reader with an older revision must read everything
	firstRevision Revision    // of the first read; earlier changes are unknown
	at            Revision
	// asOf is a time such that the data reflects the store's state at this time or later.
	asOf time.Time
	// freshUntil is when the data becomes too old to be served.
	freshUntil time.Time
	// silence is the last long silence of the store, silenceRevision the feed's revision
	// before it, and silenceNotedAt when it was recorded.
	silence         Silence
	silenceRevision Revision
	silenceNotedAt  time.Time
	updated         chan struct{} // closed and replaced with each answer
}

// feedEvent is a change with the revision at which the feed learned of it. A watch may miss a
// change, which then appears only in a later read, with a revision below that of the feed's
// readers. Selecting events by their own revision would never deliver it.
type feedEvent struct {
	Event
	learnedAt Revision
}

// maxFeedEvents limits the changes that are kept. It covers several seconds of frequent
// configuration changes during a restart of the whole fleet. A reader that needs older changes
// reads everything.
const maxFeedEvents = 512

func (f *Feed) now() time.Time {
	if f.Now == nil {
		return time.Now()
	}
	return f.Now()
}

// update adds an answer of the store, a snapshot or changes. silence is the time without an answer
// before it. The answer reflects the store's state at asOf or later, and the data may be served for
// freshFor after asOf.
func (f *Feed) update(s *Snapshot, c *Changes, silence Silence, asOf time.Time, freshFor time.Duration) {
	if f == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if silence.Length > freshFor {
		f.noteSilence(silence)
	}
	f.merge(s, c)
	if asOf.After(f.asOf) {
		f.asOf = asOf
	}
	f.freshUntil = f.asOf.Add(freshFor)
	f.notify()
}

// updateFromPeer adds an answer of another router and the silence before it. The data is not served
// until this router follows the store itself again. If the answer were not added, the feed would then
// lack these changes, and its readers would never get them.
func (f *Feed) updateFromPeer(s *Snapshot, c *Changes, silence Silence) {
	if f == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if silence.Length > 0 {
		f.noteSilence(silence)
	}
	f.merge(s, c)
}

// noteSilence records a silence that followed the current data.
func (f *Feed) noteSilence(silence Silence) {
	f.silence, f.silenceRevision, f.silenceNotedAt = silence, f.at, f.now()
}

func (f *Feed) merge(s *Snapshot, c *Changes) {
	defer f.trimEvents()
	if s != nil {
		f.applySnapshot(*s)
		return
	}
	for _, e := range c.Events {
		f.apply(e, e.Revision)
	}
	f.at = max(f.at, c.At)
}

// refuteSilence removes the recorded silence, since the store answered another router all the time.
func (f *Feed) refuteSilence() {
	if f == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silence = Silence{}
}

// stop ends the feed until the next update, since this router no longer follows the store itself.
func (f *Feed) stop() {
	if f == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.freshUntil.IsZero() {
		return
	}
	f.freshUntil = time.Time{}
	f.notify()
}

func (f *Feed) notify() {
	if f.updated != nil {
		close(f.updated)
	}
	f.updated = make(chan struct{})
}

// applySnapshot turns a snapshot into the changes since the current data, so that readers need not
// read everything each time a watch of this router fails.
func (f *Feed) applySnapshot(s Snapshot) {
	if f.items == nil {
		f.initialize(s)
		return
	}
	present := make(map[string]bool, len(s.Items))
	for _, item := range s.Items {
		present[item.Key] = true
		before := f.items[item.Key]
		switch {
		case isSameWrite(before, item):
			f.items[item.Key] = item // readers have it
		case item.Revision > before.Revision:
			f.apply(Event{Item: item}, s.At)
		}
	}
	for key := range f.items {
		if !present[key] {
			f.apply(Event{Item: Item{Key: key, Revision: s.At}, Deleted: true}, s.At)
		}
	}
	f.at = max(f.at, s.At)
}

// isSameWrite reports whether an item read in a later era is one that was known before: the copy from
// which the store was restored contains it.
func isSameWrite(before, item Item) bool {
	return before.Revision.Number() == item.Revision.Number() && bytes.Equal(before.Value, item.Value)
}

// initialize sets the data from the first read. Readers with an older revision must read everything.
func (f *Feed) initialize(s Snapshot) {
	f.items = make(map[string]Item, len(s.Items))
	for _, item := range s.Items {
		f.items[item.Key] = item
	}
	f.minRevision, f.firstRevision, f.at = s.At, s.At, s.At
}

// apply applies one change, which goes to readers whose revision is below learnedAt.
func (f *Feed) apply(e Event, learnedAt Revision) {
	before, known := f.items[e.Key]
	if e.Deleted {
		delete(f.items, e.Key)
	} else {
		f.items[e.Key] = e.Item
		if known && f.Equivalent != nil && f.Equivalent(before, e.Item) {
			return
		}
	}
	f.events = append(f.events, feedEvent{Event: e, learnedAt: learnedAt})
}

// trimEvents drops the oldest changes beyond maxFeedEvents.
func (f *Feed) trimEvents() {
	if extra := len(f.events) - maxFeedEvents; extra > 0 {
		f.minRevision = max(f.minRevision, f.events[extra-1].learnedAt)
		f.events = append([]feedEvent(nil), f.events[extra:]...)
	}
}

// Read returns all items to a reader whose data is of the given revision.
func (f *Feed) Read(after Revision) (Snapshot, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.now().Before(f.freshUntil) {
		return Snapshot{}, ErrNoFeed
	}
	if f.at < after {
		return Snapshot{}, ErrBehind
	}
	s := Snapshot{At: f.at, Items: make([]Item, 0, len(f.items)), Lag: f.now().Sub(f.asOf),
		Silence: f.silenceSince(after), Continuous: after >= f.firstRevision}
	for _, item := range f.items {
		s.Items = append(s.Items, item)
	}
	return s, nil
}

// Watch returns the changes after a revision: at once if there are any, else after the store's next
// answer to this router, after wait or when ctx is done, whichever is first. So each answer of the
// store also confirms to the reader that nothing has changed until then.
func (f *Feed) Watch(ctx context.Context, after Revision, wait time.Duration) (Changes, error) {
	callStart := f.now()
	changes, updated, err := f.since(after, callStart)
	if err != nil || len(changes.Events) > 0 {
		return changes, err
	}
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	select {
	case <-updated:
	case <-deadline.C:
	case <-ctx.Done():
	}
	changes, _, err = f.since(after, callStart)
	return changes, err
}

// since returns the changes after a revision to a call received at callStart, and the channel that
// is closed at the next answer.
func (f *Feed) since(after Revision, callStart time.Time) (Changes, <-chan struct{}, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	if !now.Before(f.freshUntil) {
		return Changes{}, nil, ErrNoFeed
	}
	if after < f.minRevision {
		return Changes{}, nil, ErrCompacted
	}
	changes := Changes{At: f.at, Lag: callStart.Sub(f.asOf)}
	for _, e := range f.events {
		if e.learnedAt > after {
			changes.Events = append(changes.Events, e.Event)
		}
	}
	changes.Silence = f.silenceSince(after)
	return changes, f.updated, nil
}

// silenceSince returns the recorded silence if it followed the data of a reader at the given
// revision, else none.
func (f *Feed) silenceSince(after Revision) Silence {
	if f.silence.Length == 0 || after > f.silenceRevision {
		return Silence{}
	}
	silence := f.silence
	silence.Ago += f.now().Sub(f.silenceNotedAt)
	return silence
}
