package store

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Errors of a Feed; the reader turns to the store itself, or to another feed.
var (
	// ErrNoFeed: this router doesn't follow the store itself, or has not heard from it
	// for too long.
	ErrNoFeed = errors.New("store: no feed here")
	// ErrBehind: the feed knows less than its reader.
	ErrBehind = errors.New("store: feed is behind its reader")
)

// Feed keeps what a Follower learned from the store, so that other routers can follow it
// here: in a large fleet the calls of each router for itself cost more than all else that
// a router does. It serves only what came from the store itself, or two routers that
// follow each other would take each other's old knowledge for new.
type Feed struct {
	// Equivalent says whether a new item tells its readers nothing that the one before did
	// not, as a heartbeat does. Nil: each item tells something new.
	Equivalent func(before, after Item) bool
	// Now is the clock; nil means time.Now. It must go on while the VM is suspended.
	Now func() time.Time

	mu            sync.Mutex
	items         map[string]Item
	events        []feedEvent // after floor, in the order of what they were told at
	minRevision   Revision    // a reader that knows less must read everything
	firstRevision Revision    // of the first read: what was before it is not known here
	at            Revision
	// asOf: what is known is the store's state of this moment or a later one.
	asOf time.Time
	// freshUntil is when what is known gets too old to be served.
	freshUntil time.Time
	// silence is the last time without an answer that was remarkable, silentAt the
	// revision known until then, and silenceTold when it was told of.
	silence         Silence
	silenceRevision Revision
	silenceNotedAt  time.Time
	updated         chan struct{} // closed and replaced with each answer
}

// feedEvent is a change with the store's revision at which this feed learned it. A watch
// may pass over a change, so that only a later read shows it, with a revision below what
// the feed's readers know by then: they would never be told of it by its own revision.
type feedEvent struct {
	Event
	learnedAt Revision
}

// maxFeedEvents bounds the changes that are kept: what a configuration storm and the
// restart of a whole fleet make in some seconds. A reader that lacks more reads all.
const maxFeedEvents = 512

func (f *Feed) now() time.Time {
	if f.Now == nil {
		return time.Now()
	}
	return f.Now()
}

// update takes what the store answered: a read or changes. silence is the time without an
// answer before it, asOf the moment whose state it tells at least, and freshFor how long
// from then on it may be served.
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

// updateFromPeer takes what another router told, and the silence before it, which is not served.
// Without it this feed would lack those changes once this router follows the store itself
// again, and its readers would never updateFromPeer of them.
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

// noteSilence keeps a silence that came after what is known.
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

// stop says that this router doesn't follow the store itself any more.
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

// applySnapshot turns a read into the changes since the last one, so that readers need not read
// everything each time that a watch of this router's failed.
func (f *Feed) applySnapshot(s Snapshot) {
	if f.items == nil {
		f.initialize(s)
		return
	}
	present := make(map[string]bool, len(s.Items))
	for _, item := range s.Items {
		present[item.Key] = true
		if item.Revision > f.items[item.Key].Revision {
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

// initialize takes the first read: who knows less must read everything too.
func (f *Feed) initialize(s Snapshot) {
	f.items = make(map[string]Item, len(s.Items))
	for _, item := range s.Items {
		f.items[item.Key] = item
	}
	f.minRevision, f.firstRevision, f.at = s.At, s.At, s.At
}

// apply takes one change, which readers are told of whose knowledge ends before told.
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

// trimEvents drops the changes beyond those that are kept.
func (f *Feed) trimEvents() {
	if extra := len(f.events) - maxFeedEvents; extra > 0 {
		f.minRevision = max(f.minRevision, f.events[extra-1].learnedAt)
		f.events = append([]feedEvent(nil), f.events[extra:]...)
	}
}

// Read returns all items to a reader that knows the store up to a revision.
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

// Watch returns the changes after a revision: at once if there are some, else as soon as
// the store has answered this router again, at the latest after wait, or when ctx ends. A
// reader so hears from each answer of the store that nothing has changed until then.
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

// since returns what is known after a revision to a call that came in at began, and the
// channel that tells of the next answer.
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

// silenceSince is the remarkable silence that came after what a reader knows; none if there
// was none.
func (f *Feed) silenceSince(after Revision) Silence {
	if f.silence.Length == 0 || after > f.silenceRevision {
		return Silence{}
	}
	silence := f.silence
	silence.Ago += f.now().Sub(f.silenceNotedAt)
	return silence
}
