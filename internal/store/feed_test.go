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

// Guards against bytes for heartbeats, which tell a follower nothing new.
func TestFeedTellsChangesWithoutHeartbeats(t *testing.T) {
	w := newFeed(t)
	w.feed.Equivalent = func(before, after Item) bool { return string(before.Value) == string(after.Value) }
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

// Guards against followers that miss what changed between a failed watch and the read after it.
func TestFeedTellsAReadAsChanges(t *testing.T) {
	w := newFeed(t)
	w.read(5, item("a", 2), item("b", 3))
	w.read(20, item("a", 2), item("c", 12))
	w.Assert(w.since(5), qt.DeepEquals, []string{"c", "-b"})
}

// Guards against old knowledge told as new by a router that lost the store.
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

// Guards against two routers that take each other's old knowledge for new.
func TestFeedIsOfTheStoreOnly(t *testing.T) {
	w := newFeed(t)
	w.read(5, item("a", 2))
	w.feed.stop()
	_, err := w.feed.Read(5)
	w.Assert(err, qt.ErrorIs, ErrNoFeed)
}

// Guards against followers set back by a feed that knows less, or left behind by one that forgot too much.
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

// Guards against followers that take servers for gone whose entries lapsed in an outage.
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
	for after, want := range map[Revision]Silence{5: {Length: 8 * time.Second, Ago: time.Second}, 9: {}} {
		snapshot, err := w.feed.Read(after)
		w.Assert(err, qt.IsNil)
		w.Assert(snapshot.Silence, qt.Equals, want, qt.Commentf("a read by one that knows %d", after))
		w.Assert(snapshot.Continuous, qt.IsTrue)
	}
	snapshot, err := w.feed.Read(4)
	w.Assert(err, qt.IsNil)
	w.Assert(snapshot.Continuous, qt.IsFalse, qt.Commentf("it began to follow after that"))
}

// Guards against followers that hear of a change, or of the end of a feed, only after their wait.
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

// Guards against followers that take held back answers for newer than they are.
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

// Guards against a change that only a later read shows, below what followers know by then.
func TestFeedTellsWhatAWatchPassedOver(t *testing.T) {
	w := newFeed(t)
	w.read(5, item("a", 2), item("b", 3))
	w.watched(0, 20)
	w.Assert(w.since(20), qt.IsNil)
	w.read(21, item("a", 12), item("b", 3))
	w.Assert(w.since(20), qt.DeepEquals, []string{"a"})
}

// Guards against followers that ask the store because nothing changed.
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

// Guards against paid calls without pause to a store that does not answer.
func TestGateSpacesCalls(t *testing.T) {
	for _, most := range []time.Duration{gateMost, gateMostRelayed} {
		g, now := &Backoff{}, time.Unix(1000, 0)
		qt.Assert(t, g.Allow(now, most), qt.IsTrue)
		for _, wait := range []time.Duration{gateFirst, 2 * gateFirst, 4 * gateFirst, most, most} {
			g.RecordFailure(now)
			qt.Assert(t, g.Allow(now.Add(wait-1), most), qt.IsFalse)
			now = now.Add(wait)
			qt.Assert(t, g.Allow(now, most), qt.IsTrue)
		}
		qt.Assert(t, g.AnsweredSince(now), qt.IsFalse)
		g.RecordSuccess(now.Add(1))
		qt.Assert(t, g.AnsweredSince(now), qt.IsTrue)
		qt.Assert(t, g.Allow(now, most), qt.IsTrue)
	}
}

// Guards against a second call right after a failed one that nobody asked the gate for.
func TestGateTakesAFirstFailure(t *testing.T) {
	g, now := &Backoff{}, time.Unix(1000, 0)
	g.RecordFailure(now)
	qt.Assert(t, g.Allow(now.Add(gateFirst-1), gateMost), qt.IsFalse)
	_, broken := g.Outage(now.Add(-1))
	qt.Assert(t, broken, qt.IsTrue)
	qt.Assert(t, g.Allow(now.Add(gateFirst), gateMost), qt.IsTrue)
}
