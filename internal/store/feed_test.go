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
	w.feed.learn(&Snapshot{Items: items, At: at}, nil, Silence{}, w.now, freshFor)
}

func (w *feedWorld) watched(gap time.Duration, at Revision, events ...Event) {
	w.feed.learn(nil, &Changes{Events: events, At: at}, Silence{Length: gap}, w.now, freshFor)
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
	w.Assert(changes.Silence, qt.Equals, Silence{Length: 8 * time.Second})
	w.now = w.now.Add(time.Second)
	changes, err = w.feed.Watch(context.Background(), 5, 0)
	w.Assert(err, qt.IsNil)
	w.Assert(changes.Silence, qt.Equals, Silence{Length: 8 * time.Second, Ago: time.Second},
		qt.Commentf("who hears of it later gives less time"))
	changes, err = w.feed.Watch(context.Background(), 9, 0)
	w.Assert(err, qt.IsNil)
	w.Assert(changes.Silence, qt.Equals, Silence{})
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

// A router asks one that reads for it, and must know how old the answer may be: by how much
// the state that is told is older than the call, however long that was held back.
func TestFeedTellsHowOldItsKnowledgeIs(t *testing.T) {
	w := newFeed(t)
	w.read(5, item("a", 2))
	w.now = w.now.Add(700 * time.Millisecond)
	snapshot, err := w.feed.Read(5)
	w.Assert(err, qt.IsNil)
	w.Assert(snapshot.Lag, qt.Equals, 700*time.Millisecond)
	changes, err := w.feed.Watch(context.Background(), 5, 0)
	w.Assert(err, qt.IsNil)
	w.Assert(changes.Lag, qt.Equals, 700*time.Millisecond)

	w.feed.learn(nil, &Changes{At: 6}, Silence{}, w.now.Add(-200*time.Millisecond), freshFor)
	changes, err = w.feed.Watch(context.Background(), 5, 0)
	w.Assert(err, qt.IsNil)
	w.Assert(changes.Lag, qt.Equals, 200*time.Millisecond)
	w.now = w.now.Add(freshFor - 200*time.Millisecond)
	_, err = w.feed.Watch(context.Background(), 5, 0)
	w.Assert(err, qt.ErrorIs, ErrNoFeed, qt.Commentf("it counts from the state, not from the answer"))
}

// The store passes over a change in a watch that waits, and its history is dropped; a read
// then shows the change, at a revision that the feed's readers have passed. They hear of it
// all the same, or they would never know a server that leaves.
func TestFeedTellsWhatAWatchPassedOver(t *testing.T) {
	w := newFeed(t)
	w.read(5, item("a", 2), item("b", 3))
	w.watched(0, 20)
	w.Assert(w.since(20), qt.IsNil)
	w.read(21, item("a", 12), item("b", 3))
	w.Assert(w.since(20), qt.DeepEquals, []string{"a"})
}

// Readers wait for news. Each answer of the store tells them that there were none until
// then, or they would take what they know for older than it is and ask the store too.
func TestFeedTellsOfEachAnswer(t *testing.T) {
	w := newFeed(t)
	w.read(5, item("a", 2))
	told := make(chan Changes)
	go func() {
		changes, err := w.feed.Watch(context.Background(), 5, time.Hour)
		w.Check(err, qt.IsNil)
		told <- changes
	}()
	for {
		w.watched(0, 6)
		select {
		case changes := <-told:
			w.Assert(changes.Events, qt.HasLen, 0)
			w.Assert(changes.At, qt.Equals, Revision(6))
			return
		case <-time.After(time.Millisecond): // the reader may not have begun to wait
		}
	}
}

// The store doesn't answer. It is asked less and less often, whatever is asked for, by the
// starts of the calls, and at once again after an answer.
func TestGateSpacesCalls(t *testing.T) {
	for _, most := range []time.Duration{gateMost, gateMostRelayed} {
		g, now := &Gate{}, time.Unix(1000, 0)
		qt.Assert(t, g.Take(now, most), qt.IsTrue)
		for _, wait := range []time.Duration{gateFirst, 2 * gateFirst, 4 * gateFirst, most, most} {
			g.Failed(now)
			qt.Assert(t, g.Take(now.Add(wait-1), most), qt.IsFalse)
			now = now.Add(wait)
			qt.Assert(t, g.Take(now, most), qt.IsTrue)
		}
		g.Answered()
		qt.Assert(t, g.Take(now, most), qt.IsTrue)
	}
}

// A call that nobody asked the gate for is refused. The next one waits too.
func TestGateTakesAFirstFailure(t *testing.T) {
	g, now := &Gate{}, time.Unix(1000, 0)
	g.Failed(now)
	qt.Assert(t, g.Take(now.Add(gateFirst-1), gateMost), qt.IsFalse)
	_, broken := g.Outage(now.Add(-1))
	qt.Assert(t, broken, qt.IsTrue)
	qt.Assert(t, g.Take(now.Add(gateFirst), gateMost), qt.IsTrue)
}
