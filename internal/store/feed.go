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
	// Same says whether a new item tells its readers nothing that the one before did
	// not, as a heartbeat does. Nil: each item tells something new.
	Same func(before, after Item) bool
	// Now is the clock; nil means time.Now.
	Now func() time.Time

	mu     sync.Mutex
	items  map[string]Item
	events []Event  // after floor, in the order of their revisions
	floor  Revision // a reader that knows less must read everything
	at     Revision
	// freshUntil is when what is known gets too old to be served.
	freshUntil time.Time
	// silence is how long the store had not answered before it answered again, the last
	// time that this was remarkable; silentAt is the revision known until then.
	silence  time.Duration
	silentAt Revision
	changed  chan struct{} // closed and replaced with each change
}

// eventsMost bounds the changes that are kept: what a configuration storm and the
// restart of a whole fleet make in some seconds. A reader that lacks more reads all.
const eventsMost = 512

func (f *Feed) now() time.Time {
	if f.Now == nil {
		return time.Now()
	}
	return f.Now()
}

// learn takes what the store answered: a read or changes. gap is the time without an answer
// before it, and freshFor how long the answer may be served.
func (f *Feed) learn(s *Snapshot, c *Changes, gap, freshFor time.Duration) {
	if f == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if gap > freshFor {
		f.silence, f.silentAt = gap, f.at
	}
	f.know(s, c)
	f.freshUntil = f.now().Add(freshFor)
	f.notify()
}

// hear takes what another router told, which is not served. Without it this feed would
// lack those changes once this router follows the store itself again, and its readers
// would never hear of them.
func (f *Feed) hear(s *Snapshot, c *Changes) {
	if f == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.know(s, c)
}

func (f *Feed) know(s *Snapshot, c *Changes) {
	if s != nil {
		f.reset(*s)
		return
	}
	f.apply(c.Events)
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
	if f.changed != nil {
		close(f.changed)
	}
	f.changed = make(chan struct{})
}

// reset turns a read into the changes since the last one, so that readers need not read
// everything each time that a watch of this router's failed.
func (f *Feed) reset(s Snapshot) {
	if f.items == nil {
		f.items = make(map[string]Item, len(s.Items))
		f.floor = s.At
	}
	present := make(map[string]bool, len(s.Items))
	var events []Event
	for _, item := range s.Items {
		present[item.Key] = true
		if item.Revision > f.items[item.Key].Revision {
			events = append(events, Event{Item: item})
		}
	}
	for key := range f.items {
		if !present[key] {
			events = append(events, Event{Item: Item{Key: key, Revision: s.At}, Deleted: true})
		}
	}
	f.apply(events)
	f.at = max(f.at, s.At)
}

func (f *Feed) apply(events []Event) {
	for _, e := range events {
		before, known := f.items[e.Key]
		switch {
		case e.Deleted:
			delete(f.items, e.Key)
		case known && f.Same != nil && f.Same(before, e.Item):
			f.items[e.Key] = e.Item
			continue
		default:
			f.items[e.Key] = e.Item
		}
		f.events = append(f.events, e)
	}
	if extra := len(f.events) - eventsMost; extra > 0 {
		f.floor = max(f.floor, f.events[extra-1].Revision)
		f.events = append([]Event(nil), f.events[extra:]...)
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
	s := Snapshot{At: f.at, Items: make([]Item, 0, len(f.items))}
	for _, item := range f.items {
		s.Items = append(s.Items, item)
	}
	return s, nil
}

// Watch returns the changes after a revision, as soon as there is one and at the latest
// after wait, or when ctx ends.
func (f *Feed) Watch(ctx context.Context, after Revision, wait time.Duration) (Changes, error) {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		changes, changed, err := f.since(after)
		if err != nil || len(changes.Events) > 0 {
			return changes, err
		}
		select {
		case <-changed:
			continue
		case <-deadline.C:
		case <-ctx.Done():
		}
		changes, _, err = f.since(after)
		return changes, err
	}
}

// since returns what is known after a revision, and the channel that tells of more.
func (f *Feed) since(after Revision) (Changes, <-chan struct{}, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.now().Before(f.freshUntil) {
		return Changes{}, nil, ErrNoFeed
	}
	if after < f.floor {
		return Changes{}, nil, ErrCompacted
	}
	changes := Changes{At: f.at}
	for _, e := range f.events {
		if e.Revision > after {
			changes.Events = append(changes.Events, e)
		}
	}
	if f.silence > 0 && after <= f.silentAt {
		changes.Silence = f.silence
	}
	return changes, f.changed, nil
}
