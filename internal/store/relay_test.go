package store

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sourcegraph/conc"
)

// answers is a store and a relay that give the prepared answers, each once.
type answers struct {
	Store    // the calls that are not made
	snapshot Snapshot
	changes  []Changes
	relayed  bool
}

func (a *answers) next() (Changes, error) {
	if len(a.changes) == 0 {
		return Changes{}, ErrUnavailable
	}
	c := a.changes[0]
	a.changes = a.changes[1:]
	return c, nil
}

func (a *answers) Read(context.Context, string) (Snapshot, error) { return a.snapshot, nil }

func (a *answers) Watch(context.Context, string, Revision, time.Duration) (Changes, error) {
	return a.next()
}

// others is the same as what other routers tell.
type others struct{ *answers }

func (o others) Active() bool { return o.relayed }

func (o others) Read(context.Context, string, Revision) (Snapshot, error) { return o.snapshot, nil }

func (o others) Watch(context.Context, string, Revision) (Changes, error) { return o.next() }

// quiet is a sink that nobody asks.
type quiet struct{}

func (quiet) Reset([]Item, Silence)    {}
func (quiet) Apply([]Event, Silence)   {}
func (quiet) SetReachable(bool, error) {}

// Guards against followers that never hear of a change which their reader learned before it read the store itself.
func TestFeedTellsWhatWasHeardFromOthers(t *testing.T) {
	c := qt.New(t)
	source := &answers{snapshot: Snapshot{Items: []Item{item("a", 2)}, At: 5}}
	f := &Follower{Store: source, Relay: others{source}, Feed: &Feed{}, Sink: quiet{}, MaxWait: time.Hour, Timeout: time.Hour}
	f.begin()
	step := func(relayed bool, changes Changes) {
		source.relayed, source.changes = relayed, []Changes{changes}
		f.lookAround()
		var calls conc.WaitGroup
		defer calls.Wait()
		f.usual.next = time.Time{}
		f.startDue(context.Background(), &calls)
		a := <-f.answers
		c.Assert(a.err, qt.IsNil)
		c.Assert(a.kind == askOthers, qt.Equals, relayed)
		f.take(a)
	}
	step(false, Changes{}) // reads all
	step(true, Changes{At: 8, Events: []Event{{Item: item("b", 7)}}, Silence: Silence{Length: 8 * time.Second}})
	_, err := f.Feed.Read(0)
	c.Assert(err, qt.ErrorIs, ErrNoFeed, qt.Commentf("it has nothing of the store itself to tell"))
	step(false, Changes{At: 10, Events: []Event{{Item: item("c", 9)}}})

	changes, err := f.Feed.Watch(context.Background(), 5, 0)
	c.Assert(err, qt.IsNil)
	c.Assert(changes.Events, qt.HasLen, 2)
	c.Assert(changes.Silence.Length, qt.Equals, 8*time.Second)
}

// Guards against a new server taken for gone because an older read was answered later.
func TestOvertakenCheckTakesNothingBack(t *testing.T) {
	c := qt.New(t)
	sink := &keys{}
	f := &Follower{Feed: &Feed{}, Sink: sink, MaxWait: time.Hour, Timeout: time.Hour}
	f.begin()
	now := f.now()
	f.take(answer{kind: askStore, started: now, snapshot: &Snapshot{Items: []Item{item("a", 2)}, At: 5}})
	check := answer{kind: checkStore, probe: f.Backoff.StartProbe(now), started: now, ended: now, after: f.at, snapshot: &Snapshot{Items: []Item{item("a", 2)}, At: 5}}
	f.take(answer{kind: askStore, started: now, after: f.at, changes: &Changes{At: 8, Events: []Event{{Item: item("b", 7)}}}})
	check.serial = f.checks.serial
	f.take(check)
	c.Assert(sink.known, qt.DeepEquals, map[string]bool{"a": true, "b": true})
	snapshot, err := f.Feed.Read(0)
	c.Assert(err, qt.IsNil)
	c.Assert(snapshot.Items, qt.HasLen, 2)
	c.Assert(f.at, qt.Equals, Revision(8))
}

// silences is a sink that keeps the last silence it was told of.
type silences struct {
	quiet
	last Silence
}

func (s *silences) Reset(_ []Item, silence Silence)  { s.last = silence }
func (s *silences) Apply(_ []Event, silence Silence) { s.last = silence }

// Guards against use of servers that left in a cut of this router alone, where its reader had the store.
func TestSilenceOfAFollowerIsThatOfItsReader(t *testing.T) {
	c := qt.New(t)
	sink, now := &silences{}, time.Unix(1000, 0)
	f := &Follower{Sink: sink, MaxWait: time.Hour, Timeout: time.Hour, Now: func() time.Time { return now }}
	f.begin()
	f.take(answer{kind: askOthers, started: now, snapshot: &Snapshot{At: 5, Continuous: true}})
	now = now.Add(10 * time.Second)
	f.Backoff.RecordFailure(now)
	f.take(answer{kind: askOthers, started: now, after: 5, changes: &Changes{At: 6}})
	c.Assert(sink.last.Length, qt.Equals, time.Duration(0))
	told := Silence{Length: 8 * time.Second, Ago: time.Second}
	f.take(answer{kind: askOthers, started: now.Add(-time.Millisecond), after: 6, snapshot: &Snapshot{At: 7, Silence: told, Continuous: true}})
	c.Assert(sink.last, qt.Equals, Silence{Length: told.Length, Ago: told.Ago + time.Millisecond})
}

// Guards against dropping servers that lapsed in an outage on the word of a router that started in it.
func TestRouterThatStartedInAnOutageTellsNoSilence(t *testing.T) {
	c := qt.New(t)
	sink, now := &silences{}, time.Unix(1000, 0)
	f := &Follower{Sink: sink, MaxWait: time.Hour, Timeout: time.Hour, Now: func() time.Time { return now }}
	f.begin()
	f.take(answer{kind: askOthers, started: now, changes: &Changes{At: 5}})
	for range 10 {
		now = now.Add(time.Second)
		f.Backoff.StartProbe(now)
	}
	now = now.Add(600 * time.Millisecond)
	f.take(answer{kind: askOthers, started: now, after: 5, snapshot: &Snapshot{At: 9}})
	c.Assert(sink.last, qt.Equals, Silence{Length: 10600 * time.Millisecond, Broken: true, Ago: 600 * time.Millisecond})
}

// keys is a sink that keeps the keys that are present.
type keys struct{ known map[string]bool }

func (k *keys) Reset(items []Item, _ Silence) {
	k.known = map[string]bool{}
	for _, i := range items {
		k.known[i.Key] = true
	}
}

func (k *keys) Apply(events []Event, _ Silence) {
	for _, e := range events {
		if e.Deleted {
			delete(k.known, e.Key)
		} else {
			k.known[e.Key] = true
		}
	}
}

func (k *keys) SetReachable(bool, error) {}
