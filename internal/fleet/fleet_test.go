package fleet

import (
	"encoding/json"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/store"
)

// clock is a manual clock.
type clock struct {
	at time.Time
}

func (c *clock) now() time.Time { return c.at }

func (c *clock) advance(d time.Duration) { c.at = c.at.Add(d) }

func newRegistry() (*Registry, *clock) {
	c := &clock{at: time.Unix(1000, 0)}
	decode := func(item store.Item) (Entry, error) {
		e := Entry{}
		return e, errors.Wrap(json.Unmarshal(item.Value, &e), "entry")
	}
	return NewRegistry(decode, event.Discard(), c.now), c
}

func entryItem(id string, revision store.Revision, draining bool) store.Item {
	value, err := json.Marshal(Entry{ID: id, Service: "engines", Address: "10.0.0.1:80", Draining: draining})
	if err != nil {
		panic(err)
	}
	return store.Item{Key: "servers/" + id, Value: value, Revision: revision}
}

func put(item store.Item) store.Event { return store.Event{Item: item} }

func deletion(id string, revision store.Revision) store.Event {
	return store.Event{Item: store.Item{Key: "servers/" + id, Revision: revision}, Deleted: true}
}

func ids(r *Registry) []string {
	list := []string{}
	for _, s := range r.View().ByService["engines"] {
		list = append(list, s.ID)
	}
	return list
}

// normalSilence is the silence between two answers of a healthy store.
var normalSilence = store.Silence{Length: time.Second, Ago: time.Millisecond}

// outage is a silence in which store calls failed, and which ended shortly before the answer.
func outage(length time.Duration) store.Silence {
	return store.Silence{Length: length, Broken: true, Ago: 10 * time.Millisecond}
}

// Guards against new requests to a draining server after an older entry arrives late.
func TestDrainingIsNotReverted(t *testing.T) {
	r, _ := newRegistry()
	r.Reset([]store.Item{entryItem("a", 1, false), entryItem("b", 2, false)}, store.Silence{})
	qt.Assert(t, ids(r), qt.DeepEquals, []string{"a", "b"})
	server := r.View().ByService["engines"][0]

	r.Apply([]store.Event{put(entryItem("a", 5, true))}, normalSilence)
	qt.Assert(t, ids(r), qt.DeepEquals, []string{"b"})
	qt.Assert(t, server.Leaving(), qt.IsTrue, qt.Commentf("also seen by requests that hold an older view"))

	r.Apply([]store.Event{put(entryItem("a", 3, false)), put(entryItem("a", 6, false))}, normalSilence)
	qt.Assert(t, ids(r), qt.DeepEquals, []string{"b"})
}

// Guards against requests of a starting router to a draining server because it was given an entry that came late: of the
// time before the server began to drain, or of its predecessor.
func TestLateEntryIsNotGivenToStartingRouter(t *testing.T) {
	for name, start := range map[string]int64{"same process": 50, "earlier process": 40} {
		r, _ := newRegistry()
		item := func(revision store.Revision, start int64, draining bool) store.Item {
			value, err := json.Marshal(Entry{ID: "a", Service: "engines", Address: "10.0.0.1:80", StartUnixMilli: start, Draining: draining})
			qt.Assert(t, err, qt.IsNil)
			return store.Item{Key: "servers/a", Value: value, Revision: revision}
		}
		r.Apply([]store.Event{put(item(1, 50, false)), put(item(2, 50, true)), put(item(3, start, false))}, normalSilence)
		starting, _ := newRegistry()
		starting.Seed(r.Items())
		qt.Check(t, ids(starting), qt.HasLen, 0, qt.Commentf(name))
	}
}

// Guards against requests to a server whose entry was removed while the store was reachable.
func TestRemovedEntryIsDroppedAtOnce(t *testing.T) {
	r, _ := newRegistry()
	r.Reset([]store.Item{entryItem("a", 1, false), entryItem("b", 2, false)}, store.Silence{})
	r.Apply([]store.Event{deletion("a", 3)}, outage(1600*time.Millisecond))
	qt.Assert(t, ids(r), qt.DeepEquals, []string{"b"})
}

// Guards against dropping live servers whose entries expired during a store outage, and against
// keeping dead ones.
func TestEntriesExpiredInOutageGetGracePeriod(t *testing.T) {
	r, c := newRegistry()
	r.Reset([]store.Item{entryItem("a", 1, false), entryItem("b", 2, false)}, store.Silence{})
	c.advance(10 * time.Second)
	r.Apply([]store.Event{deletion("a", 3), deletion("b", 4)}, outage(10*time.Second))
	qt.Assert(t, ids(r), qt.DeepEquals, []string{"a", "b"})
	c.advance(time.Second)
	r.Apply([]store.Event{put(entryItem("a", 5, false))}, normalSilence)
	c.advance(1100 * time.Millisecond)
	r.Apply(nil, normalSilence)
	qt.Assert(t, ids(r), qt.DeepEquals, []string{"a"})
}

// Guards against requests to a server that does not reregister within the grace period, when the
// store sends no further answer.
func TestGracePeriodEndsWithoutStoreAnswer(t *testing.T) {
	r, c := newRegistry()
	r.SetReachable(true, nil)
	r.Reset([]store.Item{entryItem("a", 1, false), entryItem("b", 2, false)}, store.Silence{})
	c.advance(10 * time.Second)
	r.Reset([]store.Item{entryItem("b", 2, false)}, outage(10*time.Second))
	qt.Assert(t, ids(r), qt.DeepEquals, []string{"a", "b"})
	c.advance(gracePeriod)
	qt.Assert(t, ids(r), qt.DeepEquals, []string{"b"})
}

// Guards against dropping live servers when a second outage begins within the grace period of the
// first.
func TestSecondOutageRestartsGracePeriod(t *testing.T) {
	r, c := newRegistry()
	r.SetReachable(true, nil)
	r.Reset([]store.Item{entryItem("a", 1, false)}, store.Silence{})
	c.advance(10 * time.Second)
	r.Apply([]store.Event{deletion("a", 3)}, outage(10*time.Second))
	r.SetReachable(false, store.ErrUnavailable)
	c.advance(5 * time.Second)
	r.SetReachable(true, nil)
	r.Apply(nil, outage(5*time.Second))
	qt.Assert(t, ids(r), qt.DeepEquals, []string{"a"})
}

// A full read, as done after the change history is lost, replaces all known entries.
func TestResetDropsMissingEntries(t *testing.T) {
	r, _ := newRegistry()
	r.Reset([]store.Item{entryItem("a", 1, false), entryItem("b", 2, false)}, store.Silence{})
	r.Reset([]store.Item{entryItem("b", 2, false)}, normalSilence)
	qt.Assert(t, ids(r), qt.DeepEquals, []string{"b"})
}

// An entry that can't be decoded is ignored and does not affect other entries.
func TestMalformedEntryIsIgnored(t *testing.T) {
	r, _ := newRegistry()
	r.Reset([]store.Item{entryItem("a", 1, false), {Key: "servers/x", Value: []byte("{"), Revision: 2}}, store.Silence{})
	qt.Assert(t, ids(r), qt.DeepEquals, []string{"a"})
}

// startedItem is the entry of a server process that started at startUnixMilli.
func startedItem(id string, revision store.Revision, startUnixMilli int64, draining bool) store.Item {
	value, err := json.Marshal(Entry{ID: id, Service: "engines", Address: "10.0.0.1:80", StartUnixMilli: startUnixMilli, Draining: draining})
	if err != nil {
		panic(err)
	}
	return store.Item{Key: "servers/" + id, Value: value, Revision: revision}
}

// Guards against carrying load, failures and prefill of a server process over to the one that
// replaces it.
func TestRestartedServerHasFreshState(t *testing.T) {
	r, c := newRegistry()
	r.Reset([]store.Item{startedItem("a", 1, 100, false)}, store.Silence{})
	before := r.View().ByService["engines"][0]
	before.BeginRequest(5000)
	before.SetLoad(Load{Running: 9}, c.now())
	before.RecordFailure(c.now())

	r.Apply([]store.Event{put(startedItem("a", 2, 200, false))}, normalSilence)
	after := r.View().ByService["engines"][0]
	qt.Assert(t, after.Status(c.now()), qt.Equals, Status{})
	qt.Assert(t, after.Incarnation, qt.Not(qt.Equals), before.Incarnation)
	qt.Assert(t, before.Leaving(), qt.IsTrue, qt.Commentf("as seen by requests that already chose it"))
	before.EndRequest()
	qt.Assert(t, after.Status(c.now()).Outstanding, qt.Equals, 0)

	r.Apply([]store.Event{put(startedItem("a", 3, 200, false))}, normalSilence)
	qt.Assert(t, r.View().ByService["engines"][0], qt.Equals, after, qt.Commentf("a heartbeat changes nothing"))
}

// Guards against putting a draining server back into use because of a late entry from an earlier
// process.
func TestDrainingEndsWithRestart(t *testing.T) {
	r, _ := newRegistry()
	r.Reset([]store.Item{startedItem("a", 1, 100, true)}, store.Silence{})
	qt.Assert(t, ids(r), qt.DeepEquals, []string{})
	r.Apply([]store.Event{put(startedItem("a", 2, 200, false))}, normalSilence)
	qt.Assert(t, ids(r), qt.DeepEquals, []string{"a"})
	r.Apply([]store.Event{put(startedItem("a", 3, 200, true)), put(startedItem("a", 4, 100, false))}, normalSilence)
	qt.Assert(t, ids(r), qt.DeepEquals, []string{})
}

// Guards against use of a server whose entry was overwritten with an unreadable one.
func TestUnreadableEntryDisablesServer(t *testing.T) {
	r, _ := newRegistry()
	unreadable := func(id string, revision store.Revision) store.Event {
		return put(store.Item{Key: "servers/" + id, Value: []byte("{"), Revision: revision})
	}
	r.Reset([]store.Item{entryItem("a", 1, false), entryItem("b", 2, false), entryItem("c", 3, true)}, store.Silence{})
	r.Apply([]store.Event{unreadable("a", 4), unreadable("a", 5), unreadable("c", 6), unreadable("x", 7)}, normalSilence)
	qt.Assert(t, ids(r), qt.DeepEquals, []string{"b"})
	r.Apply([]store.Event{put(entryItem("a", 8, false)), put(entryItem("c", 9, false))}, normalSilence)
	qt.Assert(t, ids(r), qt.DeepEquals, []string{"a", "b"})
}

// Guards against sending requests to a server that keeps failing, and against avoiding it longer
// than maxBackoff.
func TestFailedServerIsInBackoff(t *testing.T) {
	c := &clock{at: time.Unix(1000, 0)}
	s := NewServer(Entry{ID: "a"})
	s.RecordFailure(c.now())
	qt.Assert(t, s.Status(c.now()).InBackoff, qt.IsTrue)
	c.advance(minBackoff)
	qt.Assert(t, s.Status(c.now()).InBackoff, qt.IsFalse)
	for i := 0; i < 10; i++ {
		s.RecordFailure(c.now())
	}
	c.advance(maxBackoff)
	qt.Assert(t, s.Status(c.now()).InBackoff, qt.IsFalse)
	s.RecordFailure(c.now())
	s.RecordSuccess()
	qt.Assert(t, s.Status(c.now()).InBackoff, qt.IsFalse)
}

// Guards against choosing a server by a stale load report, or by one that misses the requests that
// this router sent since.
func TestLoadReportIsAdjustedByOwnRequests(t *testing.T) {
	c := &clock{at: time.Unix(1000, 0)}
	s := NewServer(Entry{ID: "a"})
	s.SetLoad(Load{Running: 5, Waiting: 2}, c.now())
	s.BeginRequest(100)
	qt.Assert(t, s.Status(c.now()).Running, qt.Equals, 8)
	c.advance(2 * maxLoadAge)
	qt.Assert(t, s.Status(c.now()).Running, qt.Equals, 1)
	s.EndPrefill(100)
	s.EndRequest()
	qt.Assert(t, s.Status(c.now()), qt.Equals, Status{})
}

func memberItem(name string) store.Item {
	return store.Item{Key: "router/" + name, Value: []byte(name)}
}

func newMembers() (*Members, *clock) {
	c := &clock{at: time.Unix(1000, 0)}
	decode := func(item store.Item) (Member, error) { return Member{Name: string(item.Value)}, nil }
	return NewMembers(decode, event.Discard(), c.now), c
}

// Guards against dropping all other routers when two store outages follow each other: there would
// be no router left to borrow tokens from.
func TestMembersSurviveTwoOutages(t *testing.T) {
	m, c := newMembers()
	m.SetReachable(true, nil)
	m.Reset([]store.Item{memberItem("a"), memberItem("b")}, store.Silence{})
	c.advance(9 * time.Second)
	m.Apply([]store.Event{{Item: memberItem("a"), Deleted: true}, {Item: memberItem("b"), Deleted: true}}, outage(9*time.Second))
	m.SetReachable(false, store.ErrUnavailable)
	c.advance(3 * time.Second)
	qt.Assert(t, m.List(), qt.HasLen, 2)
	m.SetReachable(true, nil)
	qt.Assert(t, m.List(), qt.HasLen, 2, qt.Commentf("before the answer is applied"))
	m.Apply(nil, outage(3*time.Second))
	qt.Assert(t, m.List(), qt.HasLen, 2)
	c.advance(gracePeriod)
	qt.Assert(t, m.List(), qt.HasLen, 0, qt.Commentf("dropped if still missing after the grace period"))
}

// A router whose lease expires while the store is reachable is removed at once.
func TestExpiredMemberIsRemoved(t *testing.T) {
	m, _ := newMembers()
	m.SetReachable(true, nil)
	m.Reset([]store.Item{memberItem("a"), memberItem("b")}, store.Silence{})
	m.Apply([]store.Event{{Item: memberItem("a"), Deleted: true}}, normalSilence)
	qt.Assert(t, m.List(), qt.DeepEquals, []Member{{Name: "b"}})
}

// Guards against a crash that is taken for a network fault because the server's entry outlives it.
func TestServerSurvivedCrashOnlyIfListedLongAfter(t *testing.T) {
	r, c := newRegistry()
	r.Reset([]store.Item{entryItem("a", 1, false)}, store.Silence{})
	incarnation := r.View().ByService["engines"][0].Incarnation
	crash := c.now()
	answerAfter := func(d time.Duration, events ...store.Event) {
		c.advance(d)
		r.Apply(events, normalSilence)
	}
	answerAfter(maxEntryAge - time.Millisecond)
	qt.Assert(t, r.FateOf(incarnation, crash), qt.Equals, FateUnknown, qt.Commentf("the entry may not have expired yet"))
	c.advance(time.Second)
	qt.Assert(t, r.FateOf(incarnation, crash), qt.Equals, FateUnknown, qt.Commentf("nothing was heard since"))
	answerAfter(0)
	qt.Assert(t, r.FateOf(incarnation, crash), qt.Equals, FateSurvived)

	r.SetReachable(false, errors.New("no answer"))
	answerAfter(maxEntryAge)
	qt.Assert(t, r.FateOf(incarnation, c.now().Add(-maxEntryAge)), qt.Equals, FateUnknown, qt.Commentf("entries may be kept in an outage"))
	answerAfter(maxEntryAge)
	qt.Assert(t, r.FateOf(incarnation, crash), qt.Equals, FateSurvived)

	answerAfter(0, deletion("a", 9))
	qt.Assert(t, r.FateOf(incarnation, crash), qt.Equals, FateEnded)
}

// Guards against a server that is used again because its entry still says that it is ready after it said in
// an answer that it leaves, and against its successor being taken for it.
func TestServerThatSaidItLeavesStaysLeaving(t *testing.T) {
	r, _ := newRegistry()
	apply := func(start int64, revision store.Revision) *Server {
		r.Apply([]store.Event{put(startedItem("a", revision, start, false))}, store.Silence{})
		return r.Find("a", start)
	}
	server := apply(1, 1)
	r.MarkLeaving(server)
	qt.Assert(t, server.Leaving(), qt.IsTrue)
	qt.Assert(t, r.View().Total, qt.Equals, 0)
	qt.Assert(t, apply(1, 2).Leaving(), qt.IsTrue)
	qt.Assert(t, r.View().Total, qt.Equals, 0)
	qt.Assert(t, apply(2, 3).Leaving(), qt.IsFalse)
	qt.Assert(t, r.View().Total, qt.Equals, 1)
	r.MarkLeaving(server) // a late answer of the former process
	qt.Assert(t, r.View().Total, qt.Equals, 1)
}

// Guards against grantors of fragile servers that hold back permits whenever a router is overloaded, and against a
// list that does not show it.
func TestOverloadKeepsVersionOfMembers(t *testing.T) {
	m, _ := newMembers()
	overloaded := false
	m.decode = func(item store.Item) (Member, error) {
		return Member{Name: string(item.Value), Overloaded: overloaded}, nil
	}
	m.Reset([]store.Item{memberItem("a"), memberItem("b")}, store.Silence{})
	_, before := m.Snapshot()
	overloaded = true
	m.Apply([]store.Event{{Item: memberItem("a")}}, store.Silence{})
	list, after := m.Snapshot()
	qt.Assert(t, after, qt.Equals, before)
	qt.Assert(t, list, qt.DeepEquals, []Member{{Name: "a", Overloaded: true}, {Name: "b"}})
}
