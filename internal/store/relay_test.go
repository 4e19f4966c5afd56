package store

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sourcegraph/conc"
)

// scriptedSource is a store and a relay that return prepared answers, each change once.
type scriptedSource struct {
	Store    // nil; for the methods that are not called
	snapshot Snapshot
	changes  []Changes
	active   bool
}

func (s *scriptedSource) next() (Changes, error) {
	if len(s.changes) == 0 {
		return Changes{}, ErrUnavailable
	}
	c := s.changes[0]
	s.changes = s.changes[1:]
	return c, nil
}

func (s *scriptedSource) Read(context.Context, string) (Snapshot, error) { return s.snapshot, nil }

func (s *scriptedSource) Watch(context.Context, string, Revision, time.Duration) (Changes, error) {
	return s.next()
}

// scriptedRelay returns the same answers as if they came from other routers.
type scriptedRelay struct{ *scriptedSource }

func (r scriptedRelay) Active() bool { return r.active }

func (r scriptedRelay) Read(context.Context, string, Revision) (Snapshot, error) {
	return r.snapshot, nil
}

func (r scriptedRelay) WatchAny(context.Context, string, Revision) (Changes, error) {
	return Changes{}, ErrNoFeed
}

func (r scriptedRelay) Watch(context.Context, string, Revision) (Changes, error) { return r.next() }

// discardSink is a sink that ignores everything.
type discardSink struct{}

func (discardSink) Reset([]Item, Silence)    {}
func (discardSink) Apply([]Event, Silence)   {}
func (discardSink) SetReachable(bool, error) {}

// Guards against followers that never get a change which their store reader learned from other routers before it read
// the store itself.
func TestFeedIncludesChangesLearnedFromPeers(t *testing.T) {
	c := qt.New(t)
	source := &scriptedSource{snapshot: Snapshot{Items: []Item{item("a", 2)}, At: 5}}
	f := &Follower{Store: source, Relay: scriptedRelay{source}, Feed: &Feed{}, Sink: discardSink{}, MaxWait: time.Hour, Timeout: time.Hour}
	f.setup()
	step := func(relayed bool, changes Changes) {
		source.active, source.changes = relayed, []Changes{changes}
		f.updateRelaying()
		var calls conc.WaitGroup
		defer calls.Wait()
		f.regular.next = time.Time{}
		f.startDue(context.Background(), &calls)
		r := <-f.results
		c.Assert(r.err, qt.IsNil)
		c.Assert(r.kind == askPeers, qt.Equals, relayed)
		f.handleResult(r)
	}
	step(false, Changes{}) // reads everything
	step(true, Changes{At: 8, Events: []Event{{Item: item("b", 7)}}, Silence: Silence{Length: 8 * time.Second}})
	_, err := f.Feed.Read(0)
	c.Assert(err, qt.ErrorIs, ErrNoFeed, qt.Commentf("while following others"))
	step(false, Changes{At: 10, Events: []Event{{Item: item("c", 9)}}})

	changes, err := f.Feed.Watch(context.Background(), 5, 0)
	c.Assert(err, qt.IsNil)
	c.Assert(changes.Events, qt.HasLen, 2)
	c.Assert(changes.Silence.Length, qt.Equals, 8*time.Second)
}

// Guards against a new server that is considered gone because an older read was answered later.
func TestOutdatedCheckRevertsNothing(t *testing.T) {
	c := qt.New(t)
	sink := &keySink{}
	f := &Follower{Feed: &Feed{}, Sink: sink, MaxWait: time.Hour, Timeout: time.Hour}
	f.setup()
	now := f.now()
	f.handleResult(callResult{kind: askStore, started: now, snapshot: &Snapshot{Items: []Item{item("a", 2)}, At: 5}})
	check := callResult{kind: checkStore, probe: f.Backoff.StartProbe(now), started: now, ended: now, after: f.at, snapshot: &Snapshot{Items: []Item{item("a", 2)}, At: 5}}
	f.handleResult(callResult{kind: askStore, started: now, after: f.at, changes: &Changes{At: 8, Events: []Event{{Item: item("b", 7)}}}})
	check.period = f.checks.period
	f.handleResult(check)
	c.Assert(sink.keys, qt.DeepEquals, map[string]bool{"a": true, "b": true})
	snapshot, err := f.Feed.Read(0)
	c.Assert(err, qt.IsNil)
	c.Assert(snapshot.Items, qt.HasLen, 2)
	c.Assert(f.at, qt.Equals, Revision(8))
}

// silenceSink is a sink that keeps the last silence.
type silenceSink struct {
	discardSink
	silence Silence
}

func (s *silenceSink) Reset(_ []Item, silence Silence)  { s.silence = silence }
func (s *silenceSink) Apply(_ []Event, silence Silence) { s.silence = silence }

// Guards against using servers that left while only this router was partitioned from the store and its store reader
// was not.
func TestRelayedSilenceIsThatOfStoreReader(t *testing.T) {
	c := qt.New(t)
	sink, now := &silenceSink{}, time.Unix(1000, 0)
	f := &Follower{Sink: sink, MaxWait: time.Hour, Timeout: time.Hour, Now: func() time.Time { return now }}
	f.setup()
	f.handleResult(callResult{kind: askPeers, started: now, snapshot: &Snapshot{At: 5, Continuous: true}})
	now = now.Add(10 * time.Second)
	f.Backoff.RecordFailure(now)
	f.handleResult(callResult{kind: askPeers, started: now, after: 5, changes: &Changes{At: 6}})
	c.Assert(sink.silence.Length, qt.Equals, time.Duration(0))
	reported := Silence{Length: 8 * time.Second, Ago: time.Second}
	f.handleResult(callResult{kind: askPeers, started: now.Add(-time.Millisecond), after: 6, snapshot: &Snapshot{At: 7, Silence: reported, Continuous: true}})
	c.Assert(sink.silence, qt.Equals, Silence{Length: reported.Length, Ago: reported.Ago + time.Millisecond})
}

// Guards against dropping servers whose entries expired in an outage because a router that started during the outage
// reports none.
func TestFeedStartedInOutageReportsNoSilence(t *testing.T) {
	c := qt.New(t)
	sink, now := &silenceSink{}, time.Unix(1000, 0)
	f := &Follower{Sink: sink, MaxWait: time.Hour, Timeout: time.Hour, Now: func() time.Time { return now }}
	f.setup()
	f.handleResult(callResult{kind: askPeers, started: now, changes: &Changes{At: 5}})
	for range 10 {
		now = now.Add(time.Second)
		f.Backoff.StartProbe(now)
	}
	now = now.Add(600 * time.Millisecond)
	f.handleResult(callResult{kind: askPeers, started: now, after: 5, snapshot: &Snapshot{At: 9}})
	c.Assert(sink.silence, qt.Equals, Silence{Length: 10600 * time.Millisecond, Broken: true, Ago: 600 * time.Millisecond})
}

// keySink is a sink that keeps the present keys.
type keySink struct{ keys map[string]bool }

func (k *keySink) Reset(items []Item, _ Silence) {
	k.keys = map[string]bool{}
	for _, i := range items {
		k.keys[i.Key] = true
	}
}

func (k *keySink) Apply(events []Event, _ Silence) {
	for _, e := range events {
		if e.Deleted {
			delete(k.keys, e.Key)
		} else {
			k.keys[e.Key] = true
		}
	}
}

func (k *keySink) SetReachable(bool, error) {}

// Guards against sending requests to servers that left long ago, because the store's answers were
// late on this router's own full link and that was taken for an outage.
func TestFullLinkIsNoOutageOfStore(t *testing.T) {
	c := qt.New(t)
	sink, now := &silenceSink{}, time.Unix(1000, 0)
	fullAt := now.Add(5 * time.Second)
	f := &Follower{Sink: sink, MaxWait: time.Hour, Timeout: time.Hour, Now: func() time.Time { return now },
		LinkWasFull: func(since time.Time) bool { return fullAt.After(since) }}
	f.setup()
	answer := func(after, at Revision) {
		f.handleResult(callResult{kind: askStore, probe: f.Backoff.StartProbe(now), started: now, after: after, snapshot: &Snapshot{At: at}})
	}
	answer(0, 5)
	now = now.Add(12 * time.Second)
	answer(5, 6)
	c.Assert(sink.silence, qt.Equals, Silence{})
	now = now.Add(12 * time.Second)
	answer(6, 7)
	c.Assert(sink.silence.Length, qt.Equals, 12*time.Second, qt.Commentf("the link was not full in the second silence"))
}
