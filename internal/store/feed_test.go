package store

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// feedWorld is a feed under a clock that the test moves.
type feedWorld struct {
	*qt.C
	feed Feed
	now  time.Time
}

// freshFor is how long an answer of the store may be served in these tests.
const freshFor = 3 * time.Second

func newFeed(t *testing.T) *feedWorld {
	w := &feedWorld{C: qt.New(t), now: time.Unix(1000, 0)}
	w.feed.Now = func() time.Time { return w.now }
	return w
}

func item(key string, revision Revision) Item {
	return Item{Key: key, Value: []byte(key), Revision: revision}
}

func (w *feedWorld) read(at Revision, items ...Item) {
	w.feed.learn(&Snapshot{Items: items, At: at}, nil, 0, freshFor)
}

func (w *feedWorld) watched(gap time.Duration, at Revision, events ...Event) {
	w.feed.learn(nil, &Changes{Events: events, At: at}, gap, freshFor)
}

// since is what a reader is told that knows the store up to a revision; it doesn't wait.
func (w *feedWorld) since(after Revision) []string {
	changes, err := w.feed.Watch(context.Background(), after, 0)
	w.Assert(err, qt.IsNil)
	var keys []string
	for _, e := range changes.Events {
		if e.Deleted {
			e.Key = "-" + e.Key
		}
		keys = append(keys, e.Key)
	}
	return keys
}

// A router follows another one. It is told what came after what it knows, and not the
// heartbeats, which tell nothing new.
func TestFeedTellsChangesWithoutHeartbeats(t *testing.T) {
	w := newFeed(t)
	w.feed.Same = func(before, after Item) bool { return string(before.Value) == string(after.Value) }
	w.read(5, item("a", 2), item("b", 3))
	w.watched(0, 9, Event{Item: item("a", 7)}, Event{Item: item("c", 8)}, Event{Item: item("b", 9), Deleted: true})
	w.Assert(w.since(5), qt.DeepEquals, []string{"c", "-b"})
	w.Assert(w.since(8), qt.DeepEquals, []string{"-b"})
	w.Assert(w.since(9), qt.IsNil)

	snapshot, err := w.feed.Read(9)
	w.Assert(err, qt.IsNil)
	w.Assert(snapshot.At, qt.Equals, Revision(9))
	w.Assert(snapshot.Items, qt.HasLen, 2)
}

// A watch of the router that reads for others fails, and it reads all again. Those who
// follow it hear what changed meanwhile, also what is gone.
func TestFeedTellsAReadAsChanges(t *testing.T) {
	w := newFeed(t)
	w.read(5, item("a", 2), item("b", 3))
	w.read(20, item("a", 2), item("c", 12))
	w.Assert(w.since(5), qt.DeepEquals, []string{"c", "-b"})
}

// A router reads for others and loses the store itself. What it knows gets old, and a
// router that took it for new would serve by it: it must turn to the store instead.
func TestFeedEndsWithItsContact(t *testing.T) {
	w := newFeed(t)
	_, err := w.feed.Watch(context.Background(), 0, 0)
	w.Assert(err, qt.ErrorIs, ErrNoFeed, qt.Commentf("before the first read"))
	w.read(5, item("a", 2))
	w.now = w.now.Add(freshFor)
	_, err = w.feed.Watch(context.Background(), 5, 0)
	w.Assert(err, qt.ErrorIs, ErrNoFeed)
	_, err = w.feed.Read(5)
	w.Assert(err, qt.ErrorIs, ErrNoFeed)
}

// Two routers hold each other for the one that follows the store. Neither may serve the
// other: a router that learns from others has nothing to tell.
func TestFeedIsOfTheStoreOnly(t *testing.T) {
	w := newFeed(t)
	w.read(5, item("a", 2))
	w.feed.stop()
	_, err := w.feed.Read(5)
	w.Assert(err, qt.ErrorIs, ErrNoFeed)
}

// A reader that knows more, from the store itself, must not be set back; one that knows
// too little must read everything.
func TestFeedOfAnotherAgeIsNotUsed(t *testing.T) {
	w := newFeed(t)
	w.read(5, item("a", 2))
	_, err := w.feed.Read(6)
	w.Assert(err, qt.ErrorIs, ErrBehind)
	_, err = w.feed.Watch(context.Background(), 4, 0)
	w.Assert(err, qt.ErrorIs, ErrCompacted)
	for i := range Revision(eventsMost + 1) {
		w.watched(0, 6+i, Event{Item: item("b", 6+i)})
	}
	_, err = w.feed.Watch(context.Background(), 5, 0)
	w.Assert(err, qt.ErrorIs, ErrCompacted)
	w.Assert(w.since(6), qt.HasLen, eventsMost)
}

// The store is away for eight seconds and entries lapse with it. Routers that follow this
// one hear of the silence together with what went in it, once: without it they take all
// servers for gone, which are back a second later.
func TestFeedTellsOfTheStoresSilence(t *testing.T) {
	w := newFeed(t)
	w.read(5, item("a", 2))
	w.now = w.now.Add(8 * time.Second)
	w.watched(8*time.Second, 9, Event{Item: item("a", 9), Deleted: true})
	changes, err := w.feed.Watch(context.Background(), 5, 0)
	w.Assert(err, qt.IsNil)
	w.Assert(changes.Silence, qt.Equals, 8*time.Second)
	changes, err = w.feed.Watch(context.Background(), 9, 0)
	w.Assert(err, qt.IsNil)
	w.Assert(changes.Silence, qt.Equals, time.Duration(0))
}

// A reader waits. It hears of a change at once, and of the end of the feed too.
func TestFeedWakesItsReaders(t *testing.T) {
	w := newFeed(t)
	w.read(5, item("a", 2))
	told := make(chan error)
	watch := func() {
		_, err := w.feed.Watch(context.Background(), 5, time.Hour)
		told <- err
	}
	go watch()
	w.watched(0, 6, Event{Item: item("b", 6)})
	w.Assert(<-told, qt.IsNil)
	w.feed.stop()
	go watch()
	w.Assert(<-told, qt.ErrorIs, ErrNoFeed)
}

// The store doesn't answer. A router that others usually tell asks it less and less often,
// whatever it asks for, and at once again after an answer.
func TestGateSpacesCalls(t *testing.T) {
	g, now := &Gate{}, time.Unix(1000, 0)
	qt.Assert(t, g.Open(now), qt.IsTrue)
	for _, wait := range []time.Duration{gateFirst, 2 * gateFirst, gateMost, gateMost} {
		g.Note(ErrUnavailable, now)
		qt.Assert(t, g.Open(now.Add(wait-1)), qt.IsFalse)
		now = now.Add(wait)
		qt.Assert(t, g.Open(now), qt.IsTrue)
	}
	g.Note(nil, now)
	qt.Assert(t, g.Open(now), qt.IsTrue)
}
