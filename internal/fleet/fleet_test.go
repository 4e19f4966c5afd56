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

// clock is moved by the test only.
type clock struct {
	at time.Time
}

func (c *clock) now() time.Time { return c.at }

func (c *clock) pass(d time.Duration) { c.at = c.at.Add(d) }

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

func gone(id string, revision store.Revision) store.Event {
	return store.Event{Item: store.Item{Key: "servers/" + id, Revision: revision}, Deleted: true}
}

func ids(r *Registry) []string {
	list := []string{}
	for _, s := range r.View().ByService["engines"] {
		list = append(list, s.ID)
	}
	return list
}

// usual is the time between two answers of the store in health.
var usual = store.Silence{Length: time.Second, Ago: time.Millisecond}

// outage is a silence in which calls failed, up to a moment before the answer.
func outage(length time.Duration) store.Silence {
	return store.Silence{Length: length, Broken: true, Ago: 10 * time.Millisecond}
}

// Guards against new requests to a draining server because of a late, older entry.
func TestDrainingIsNeverTakenBack(t *testing.T) {
	r, _ := newRegistry()
	r.Reset([]store.Item{entryItem("a", 1, false), entryItem("b", 2, false)}, store.Silence{})
	qt.Assert(t, ids(r), qt.DeepEquals, []string{"a", "b"})
	server := r.View().ByService["engines"][0]

	r.Apply([]store.Event{put(entryItem("a", 5, true))}, usual)
	qt.Assert(t, ids(r), qt.DeepEquals, []string{"b"})
	qt.Assert(t, server.Leaving(), qt.IsTrue, qt.Commentf("also for requests that chose from an older view"))

	r.Apply([]store.Event{put(entryItem("a", 3, false)), put(entryItem("a", 6, false))}, usual)
	qt.Assert(t, ids(r), qt.DeepEquals, []string{"b"})
}

// Guards against requests to a server whose entry was removed in health.
func TestRemovedEntryIsOutAtOnce(t *testing.T) {
	r, _ := newRegistry()
	r.Reset([]store.Item{entryItem("a", 1, false), entryItem("b", 2, false)}, store.Silence{})
	r.Apply([]store.Event{gone("a", 3)}, outage(1600*time.Millisecond))
	qt.Assert(t, ids(r), qt.DeepEquals, []string{"b"})
}

// Guards against dropping living servers whose entries lapsed in an outage, and keeping the others.
func TestLapsedEntriesGetTwoSecondsToComeBack(t *testing.T) {
	r, c := newRegistry()
	r.Reset([]store.Item{entryItem("a", 1, false), entryItem("b", 2, false)}, store.Silence{})
	c.pass(10 * time.Second)
	r.Apply([]store.Event{gone("a", 3), gone("b", 4)}, outage(10*time.Second))
	qt.Assert(t, ids(r), qt.DeepEquals, []string{"a", "b"})
	c.pass(time.Second)
	r.Apply([]store.Event{put(entryItem("a", 5, false))}, usual)
	c.pass(1100 * time.Millisecond)
	r.Apply(nil, usual)
	qt.Assert(t, ids(r), qt.DeepEquals, []string{"a"})
}

// Guards against requests to a server that is not back in its time while no answer of the store comes.
func TestLapsedEntryIsOutWithoutAnAnswer(t *testing.T) {
	r, c := newRegistry()
	r.Contact(true, nil)
	r.Reset([]store.Item{entryItem("a", 1, false), entryItem("b", 2, false)}, store.Silence{})
	c.pass(10 * time.Second)
	r.Reset([]store.Item{entryItem("b", 2, false)}, outage(10*time.Second))
	qt.Assert(t, ids(r), qt.DeepEquals, []string{"a", "b"})
	c.pass(lapseGrace)
	qt.Assert(t, ids(r), qt.DeepEquals, []string{"b"})
}

// Guards against dropping living servers because a second outage began in the grace of the first.
func TestSecondOutageDoesNotUseUpTheGrace(t *testing.T) {
	r, c := newRegistry()
	r.Contact(true, nil)
	r.Reset([]store.Item{entryItem("a", 1, false)}, store.Silence{})
	c.pass(10 * time.Second)
	r.Apply([]store.Event{gone("a", 3)}, outage(10*time.Second))
	r.Contact(false, store.ErrUnavailable)
	c.pass(5 * time.Second)
	r.Contact(true, nil)
	r.Apply(nil, outage(5*time.Second))
	qt.Assert(t, ids(r), qt.DeepEquals, []string{"a"})
}

// A read after a lost history replaces all that was known.
func TestResetDropsWhatIsMissing(t *testing.T) {
	r, _ := newRegistry()
	r.Reset([]store.Item{entryItem("a", 1, false), entryItem("b", 2, false)}, store.Silence{})
	r.Reset([]store.Item{entryItem("b", 2, false)}, usual)
	qt.Assert(t, ids(r), qt.DeepEquals, []string{"b"})
}

// An entry that can't be read changes nothing, and takes nobody along.
func TestMalformedEntryIsLeftOut(t *testing.T) {
	r, _ := newRegistry()
	r.Reset([]store.Item{entryItem("a", 1, false), {Key: "servers/x", Value: []byte("{"), Revision: 2}}, store.Silence{})
	qt.Assert(t, ids(r), qt.DeepEquals, []string{"a"})
}

// reborn is an entry of a server that started at a moment.
func reborn(id string, revision store.Revision, born int64, draining bool) store.Item {
	value, err := json.Marshal(Entry{ID: id, Service: "engines", Address: "10.0.0.1:80", StartUnixMilli: born, Draining: draining})
	if err != nil {
		panic(err)
	}
	return store.Item{Key: "servers/" + id, Value: value, Revision: revision}
}

// Guards against judging a restarted server by the load, failures and prompts of its earlier start.
func TestRestartedServerIsAnotherServer(t *testing.T) {
	r, c := newRegistry()
	r.Reset([]store.Item{reborn("a", 1, 100, false)}, store.Silence{})
	before := r.View().ByService["engines"][0]
	before.BeginRequest(5000)
	before.SetLoad(Load{Running: 9}, c.now())
	before.RecordFailure(c.now())

	r.Apply([]store.Event{put(reborn("a", 2, 200, false))}, usual)
	after := r.View().ByService["engines"][0]
	qt.Assert(t, after.Status(c.now()), qt.Equals, Status{})
	qt.Assert(t, after.Incarnation, qt.Not(qt.Equals), before.Incarnation)
	qt.Assert(t, before.Leaving(), qt.IsTrue, qt.Commentf("for requests that chose it already"))
	before.EndRequest()
	qt.Assert(t, after.Status(c.now()).Outstanding, qt.Equals, 0)

	r.Apply([]store.Event{put(reborn("a", 3, 200, false))}, usual)
	qt.Assert(t, r.View().ByService["engines"][0], qt.Equals, after, qt.Commentf("a heartbeat changes nothing"))
}

// Guards against a server brought back by a late word of an earlier start.
func TestDrainingEndsWithTheStart(t *testing.T) {
	r, _ := newRegistry()
	r.Reset([]store.Item{reborn("a", 1, 100, true)}, store.Silence{})
	qt.Assert(t, ids(r), qt.DeepEquals, []string{})
	r.Apply([]store.Event{put(reborn("a", 2, 200, false))}, usual)
	qt.Assert(t, ids(r), qt.DeepEquals, []string{"a"})
	r.Apply([]store.Event{put(reborn("a", 3, 200, true)), put(reborn("a", 4, 100, false))}, usual)
	qt.Assert(t, ids(r), qt.DeepEquals, []string{})
}

// Guards against use of a server whose entry another writer spoiled.
func TestSpoiledEntryNamesNobody(t *testing.T) {
	r, _ := newRegistry()
	spoiled := func(id string, revision store.Revision) store.Event {
		return put(store.Item{Key: "servers/" + id, Value: []byte("{"), Revision: revision})
	}
	r.Reset([]store.Item{entryItem("a", 1, false), entryItem("b", 2, false), entryItem("c", 3, true)}, store.Silence{})
	r.Apply([]store.Event{spoiled("a", 4), spoiled("a", 5), spoiled("c", 6), spoiled("x", 7)}, usual)
	qt.Assert(t, ids(r), qt.DeepEquals, []string{"b"})
	r.Apply([]store.Event{put(entryItem("a", 8, false)), put(entryItem("c", 9, false))}, usual)
	qt.Assert(t, ids(r), qt.DeepEquals, []string{"a", "b"})
}

// Guards against new requests to a server that fails again and again.
func TestFailedServerIsAvoidedForAWhile(t *testing.T) {
	c := &clock{at: time.Unix(1000, 0)}
	s := NewServer(Entry{ID: "a"})
	s.RecordFailure(c.now())
	qt.Assert(t, s.Status(c.now()).InBackoff, qt.IsTrue)
	c.pass(avoidFirst)
	qt.Assert(t, s.Status(c.now()).InBackoff, qt.IsFalse)
	for i := 0; i < 10; i++ {
		s.RecordFailure(c.now())
	}
	c.pass(avoidMost)
	qt.Assert(t, s.Status(c.now()).InBackoff, qt.IsFalse)
	s.RecordFailure(c.now())
	s.RecordSuccess()
	qt.Assert(t, s.Status(c.now()).InBackoff, qt.IsFalse)
}

// Guards against choosing by a load report without the own requests sent since, or by an old one.
func TestLoadReportIsMovedByOwnRequests(t *testing.T) {
	c := &clock{at: time.Unix(1000, 0)}
	s := NewServer(Entry{ID: "a"})
	s.SetLoad(Load{Running: 5, Waiting: 2}, c.now())
	s.BeginRequest(100)
	qt.Assert(t, s.Status(c.now()).Running, qt.Equals, 8)
	c.pass(2 * loadFresh)
	qt.Assert(t, s.Status(c.now()).Running, qt.Equals, 1)
	s.Answered(100)
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

// Guards against a router that forgets all others between two cuts and has nobody to borrow from.
func TestRoutersAreNotForgottenBetweenTwoOutages(t *testing.T) {
	m, c := newMembers()
	m.Contact(true, nil)
	m.Reset([]store.Item{memberItem("a"), memberItem("b")}, store.Silence{})
	c.pass(9 * time.Second)
	m.Apply([]store.Event{{Item: memberItem("a"), Deleted: true}, {Item: memberItem("b"), Deleted: true}}, outage(9*time.Second))
	m.Contact(false, store.ErrUnavailable)
	c.pass(3 * time.Second)
	qt.Assert(t, m.List(), qt.HasLen, 2)
	m.Contact(true, nil)
	qt.Assert(t, m.List(), qt.HasLen, 2, qt.Commentf("before the answer is taken"))
	m.Apply(nil, outage(3*time.Second))
	qt.Assert(t, m.List(), qt.HasLen, 2)
	c.pass(lapseGrace)
	qt.Assert(t, m.List(), qt.HasLen, 0, qt.Commentf("who is still missing then is gone"))
}

// A router whose lease ran out in health is out of the list at once.
func TestDeadRouterLeavesTheList(t *testing.T) {
	m, _ := newMembers()
	m.Contact(true, nil)
	m.Reset([]store.Item{memberItem("a"), memberItem("b")}, store.Silence{})
	m.Apply([]store.Event{{Item: memberItem("a"), Deleted: true}}, usual)
	qt.Assert(t, m.List(), qt.DeepEquals, []Member{{Name: "b"}})
}
