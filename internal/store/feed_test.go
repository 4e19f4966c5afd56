package store

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// feedTest is a feed with a clock that the test advances.
type feedTest struct {
	*qt.C
	feed Feed
	now  time.Time
}

// freshFor is how long data may be served in these tests.
const freshFor = 3 * time.Second

func newFeedTest(t *testing.T) *feedTest {
	f := &feedTest{C: qt.New(t), now: time.Unix(1000, 0)}
	f.feed.Now = func() time.Time { return f.now }
	return f
}

func item(key string, revision Revision) Item {
	return Item{Key: key, Value: []byte(key), Revision: revision}
}

func (f *feedTest) read(at Revision, items ...Item) {
	f.feed.update(&Snapshot{Items: items, At: at}, nil, Silence{}, f.now, freshFor)
}

func (f *feedTest) update(silence time.Duration, at Revision, events ...Event) {
	f.feed.update(nil, &Changes{Events: events, At: at}, Silence{Length: silence}, f.now, freshFor)
}

// since returns the changed keys that a reader at the given revision gets without waiting; deleted
// keys have the prefix "-".
func (f *feedTest) since(after Revision) []string {
	changes, err := f.feed.Watch(context.Background(), after, 0)
	f.Assert(err, qt.IsNil)
	var keys []string
	for _, e := range changes.Events {
		if e.Deleted {
			e.Key = "-" + e.Key
		}
		keys = append(keys, e.Key)
	}
	return keys
}

// Guards against wasting bandwidth on heartbeats, which contain no news for followers.
func TestFeedOmitsHeartbeats(t *testing.T) {
	f := newFeedTest(t)
	f.feed.Equivalent = func(before, after Item) bool { return string(before.Value) == string(after.Value) }
	f.read(5, item("a", 2), item("b", 3))
	f.update(0, 9, Event{Item: item("a", 7)}, Event{Item: item("c", 8)}, Event{Item: item("b", 9), Deleted: true})
	f.Assert(f.since(5), qt.DeepEquals, []string{"c", "-b"})
	f.Assert(f.since(8), qt.DeepEquals, []string{"-b"})
	f.Assert(f.since(9), qt.IsNil)

	snapshot, err := f.feed.Read(9)
	f.Assert(err, qt.IsNil)
	f.Assert(snapshot.At, qt.Equals, Revision(9))
	f.Assert(snapshot.Items, qt.HasLen, 2)
}

// Guards against followers that miss changes made between a failed watch and the read after it.
func TestFeedTurnsReadIntoChanges(t *testing.T) {
	f := newFeedTest(t)
	f.read(5, item("a", 2), item("b", 3))
	f.read(20, item("a", 2), item("c", 12))
	f.Assert(f.since(5), qt.DeepEquals, []string{"c", "-b"})
}

// Guards against old data served as fresh by a router that can't reach the store any more.
func TestFeedEndsWhenDataIsStale(t *testing.T) {
	f := newFeedTest(t)
	_, err := f.feed.Watch(context.Background(), 0, 0)
	f.Assert(err, qt.ErrorIs, ErrNoFeed, qt.Commentf("before the first read"))
	f.read(5, item("a", 2))
	f.now = f.now.Add(freshFor)
	_, err = f.feed.Watch(context.Background(), 5, 0)
	f.Assert(err, qt.ErrorIs, ErrNoFeed)
	_, err = f.feed.Read(5)
	f.Assert(err, qt.ErrorIs, ErrNoFeed)
}

// Guards against two routers that take each other's old data for new.
func TestStoppedFeedServesNothing(t *testing.T) {
	f := newFeedTest(t)
	f.read(5, item("a", 2))
	f.feed.stop()
	_, err := f.feed.Read(5)
	f.Assert(err, qt.ErrorIs, ErrNoFeed)
}

// Guards against followers that go back to an older state, or miss changes that the feed has dropped.
func TestFeedRejectsReadersOutsideItsHistory(t *testing.T) {
	f := newFeedTest(t)
	f.read(5, item("a", 2))
	_, err := f.feed.Read(6)
	f.Assert(err, qt.ErrorIs, ErrBehind)
	_, err = f.feed.Watch(context.Background(), 4, 0)
	f.Assert(err, qt.ErrorIs, ErrCompacted)
	for i := range Revision(maxFeedEvents + 1) {
		f.update(0, 6+i, Event{Item: item("b", 6+i)})
	}
	_, err = f.feed.Watch(context.Background(), 5, 0)
	f.Assert(err, qt.ErrorIs, ErrCompacted)
	f.Assert(f.since(6), qt.HasLen, maxFeedEvents)
}

// Guards against followers that consider servers gone whose entries expired in an outage of the store.
func TestFeedReportsSilenceOfStore(t *testing.T) {
	f := newFeedTest(t)
	f.read(5, item("a", 2))
	f.now = f.now.Add(8 * time.Second)
	f.update(8*time.Second, 9, Event{Item: item("a", 9), Deleted: true})
	changes, err := f.feed.Watch(context.Background(), 5, 0)
	f.Assert(err, qt.IsNil)
	f.Assert(changes.Silence, qt.Equals, Silence{Length: 8 * time.Second})
	f.now = f.now.Add(time.Second)
	changes, err = f.feed.Watch(context.Background(), 5, 0)
	f.Assert(err, qt.IsNil)
	f.Assert(changes.Silence, qt.Equals, Silence{Length: 8 * time.Second, Ago: time.Second},
		qt.Commentf("for a reader one second later"))
	changes, err = f.feed.Watch(context.Background(), 9, 0)
	f.Assert(err, qt.IsNil)
	f.Assert(changes.Silence, qt.Equals, Silence{})
	for after, want := range map[Revision]Silence{5: {Length: 8 * time.Second, Ago: time.Second}, 9: {}} {
		snapshot, err := f.feed.Read(after)
		f.Assert(err, qt.IsNil)
		f.Assert(snapshot.Silence, qt.Equals, want, qt.Commentf("read after revision %d", after))
		f.Assert(snapshot.Continuous, qt.IsTrue)
	}
	snapshot, err := f.feed.Read(4)
	f.Assert(err, qt.IsNil)
	f.Assert(snapshot.Continuous, qt.IsFalse, qt.Commentf("the feed began after revision 4"))
}

// Guards against followers that learn of a change, or of the end of a feed, only after their wait.
func TestFeedWakesWaitingReaders(t *testing.T) {
	f := newFeedTest(t)
	f.read(5, item("a", 2))
	results := make(chan error)
	watch := func() {
		_, err := f.feed.Watch(context.Background(), 5, time.Hour)
		results <- err
	}
	go watch()
	f.update(0, 6, Event{Item: item("b", 6)})
	f.Assert(<-results, qt.IsNil)
	f.feed.stop()
	go watch()
	f.Assert(<-results, qt.ErrorIs, ErrNoFeed)
}

// Guards against followers that consider delayed answers fresher than they are.
func TestFeedReportsLag(t *testing.T) {
	f := newFeedTest(t)
	f.read(5, item("a", 2))
	f.now = f.now.Add(700 * time.Millisecond)
	snapshot, err := f.feed.Read(5)
	f.Assert(err, qt.IsNil)
	f.Assert(snapshot.Lag, qt.Equals, 700*time.Millisecond)
	changes, err := f.feed.Watch(context.Background(), 5, 0)
	f.Assert(err, qt.IsNil)
	f.Assert(changes.Lag, qt.Equals, 700*time.Millisecond)

	f.feed.update(nil, &Changes{At: 6}, Silence{}, f.now.Add(-200*time.Millisecond), freshFor)
	changes, err = f.feed.Watch(context.Background(), 5, 0)
	f.Assert(err, qt.IsNil)
	f.Assert(changes.Lag, qt.Equals, 200*time.Millisecond)
	f.now = f.now.Add(freshFor - 200*time.Millisecond)
	_, err = f.feed.Watch(context.Background(), 5, 0)
	f.Assert(err, qt.ErrorIs, ErrNoFeed, qt.Commentf("freshFor counts from asOf, not from the answer"))
}

// Guards against a change that is missed by a watch and appears in a later read, with a revision below
// that of the followers, who then never get it.
func TestFeedReportsChangeMissedByWatch(t *testing.T) {
	f := newFeedTest(t)
	f.read(5, item("a", 2), item("b", 3))
	f.update(0, 20)
	f.Assert(f.since(20), qt.IsNil)
	f.read(21, item("a", 12), item("b", 3))
	f.Assert(f.since(20), qt.DeepEquals, []string{"a"})
}

// Guards against followers that call the store because the feed is quiet while nothing changes.
func TestFeedReportsEachAnswer(t *testing.T) {
	f := newFeedTest(t)
	f.read(5, item("a", 2))
	results := make(chan Changes)
	go func() {
		changes, err := f.feed.Watch(context.Background(), 5, time.Hour)
		f.Check(err, qt.IsNil)
		results <- changes
	}()
	for {
		f.update(0, 6)
		select {
		case changes := <-results:
			f.Assert(changes.Events, qt.HasLen, 0)
			f.Assert(changes.At, qt.Equals, Revision(6))
			return
		case <-time.After(time.Millisecond): // the reader may not be waiting yet
		}
	}
}

// Guards against paid calls in quick succession to a store that does not answer.
func TestBackoffSpacesCalls(t *testing.T) {
	for _, maxInterval := range []time.Duration{backoffMax, backoffMaxRelayed} {
		b, now := &Backoff{}, time.Unix(1000, 0)
		qt.Assert(t, b.Allow(now, maxInterval), qt.IsTrue)
		for _, interval := range []time.Duration{backoffMin, 2 * backoffMin, 4 * backoffMin, maxInterval, maxInterval} {
			b.RecordFailure(now)
			qt.Assert(t, b.Allow(now.Add(interval-1), maxInterval), qt.IsFalse)
			now = now.Add(interval)
			qt.Assert(t, b.Allow(now, maxInterval), qt.IsTrue)
		}
		qt.Assert(t, b.AnsweredSince(now), qt.IsFalse)
		b.RecordSuccess(now.Add(1))
		qt.Assert(t, b.AnsweredSince(now), qt.IsTrue)
		qt.Assert(t, b.Allow(now, maxInterval), qt.IsTrue)
	}
}

// Guards against a second call right after a failed one that was made without Allow.
func TestFirstFailureStartsBackoff(t *testing.T) {
	b, now := &Backoff{}, time.Unix(1000, 0)
	b.RecordFailure(now)
	qt.Assert(t, b.Allow(now.Add(backoffMin-1), backoffMax), qt.IsFalse)
	_, broken := b.Outage(now.Add(-1))
	qt.Assert(t, broken, qt.IsTrue)
	qt.Assert(t, b.Allow(now.Add(backoffMin), backoffMax), qt.IsTrue)
}
