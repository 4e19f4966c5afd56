package fleet

import (
	"encoding/json"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytiller.example/chicorytiller/internal/store"
)

// Guards against sending callers to a router that left: silence because entries rarely change is
// not an outage.
func TestQuietStoreIsNotAnOutage(t *testing.T) {
	m, _ := newMembers()
	m.SetReachable(true, nil)
	m.Reset([]store.Item{memberItem("a"), memberItem("b")}, store.Silence{})
	m.Apply([]store.Event{{Item: memberItem("a"), Deleted: true}}, store.Silence{Length: maxMemberSilence + time.Second})
	qt.Assert(t, m.List(), qt.DeepEquals, []Member{{Name: "b"}})
}

// Guards against an empty list at a router that started during an outage: entries learned from
// another router may have expired in the store meanwhile.
func TestSeededEntriesSurviveFirstRead(t *testing.T) {
	m, c := newMembers()
	m.Seed([]store.Item{memberItem("a")})
	m.SetReachable(true, nil)
	m.Reset(nil, store.Silence{})
	qt.Assert(t, m.List(), qt.HasLen, 1)
	c.advance(gracePeriod)
	qt.Assert(t, m.List(), qt.HasLen, 0)

	r, c := newRegistry()
	r.Seed([]store.Item{entryItem("a", 5, false)})
	r.Reset(nil, store.Silence{})
	qt.Assert(t, ids(r), qt.DeepEquals, []string{"a"})
	c.advance(gracePeriod)
	r.Apply(nil, normalSilence)
	qt.Assert(t, ids(r), qt.HasLen, 0)
}

// Guards against requests to servers that left when a router notices late that the store is
// reachable again.
func TestGracePeriodIsBoundedFromStoreReturn(t *testing.T) {
	const noticedAfter = 1500 * time.Millisecond
	r, c := newRegistry()
	r.Reset([]store.Item{entryItem("a", 1, false), entryItem("b", 2, false)}, store.Silence{})
	c.advance(10 * time.Second)
	r.Reset([]store.Item{entryItem("b", 2, false)}, store.Silence{Length: 10 * time.Second, Broken: true, Ago: noticedAfter})
	qt.Assert(t, ids(r), qt.DeepEquals, []string{"a", "b"})
	c.advance(maxGraceSinceReturn - noticedAfter)
	qt.Assert(t, ids(r), qt.DeepEquals, []string{"b"})
}

// Guards against renewing the grace period of missing servers after a single failed call to a
// healthy store.
func TestSingleFailedCallDoesNotRenewGracePeriod(t *testing.T) {
	r, c := newRegistry()
	r.Reset([]store.Item{entryItem("a", 1, false)}, store.Silence{})
	c.advance(10 * time.Second)
	r.Reset(nil, outage(10*time.Second))
	c.advance(gracePeriod - 100*time.Millisecond)
	r.SetReachable(false, store.ErrUnavailable)
	r.SetReachable(true, nil)
	r.Apply(nil, outage(repeatOutageSilence-time.Millisecond))
	qt.Assert(t, ids(r), qt.DeepEquals, []string{"a"})
	c.advance(100 * time.Millisecond)
	qt.Assert(t, ids(r), qt.HasLen, 0)
}

// placedItem returns an entry of a server in a failure domain with a software version.
func placedItem(c *qt.C, id, domain, version string, revision store.Revision) store.Item {
	value, err := json.Marshal(Entry{ID: id, Service: "engines", Address: "10.0.0.1:80", Domain: domain, Version: version})
	c.Assert(err, qt.IsNil)
	return store.Item{Key: "servers/" + id, Value: value, Revision: revision}
}

// Guards against requests to a server that left during an outage that most entries survived, and against
// a service left to a minority of its servers, to evacuated ones only, or without a server of a version.
func TestMissingServersAreUnusedWhileMostHaveEntries(t *testing.T) {
	c := qt.New(t)
	r, clock := newRegistry()
	unused := func() (ids []string) {
		for _, s := range r.View().ByService["engines"] {
			if !s.AcceptsRequests(clock.now()) {
				ids = append(ids, s.ID)
			}
		}
		return ids
	}
	r.Reset([]store.Item{entryItem("a", 1, false), entryItem("b", 2, false), entryItem("c", 3, false)}, store.Silence{})
	clock.advance(10 * time.Second)
	r.Reset([]store.Item{entryItem("b", 2, false), entryItem("c", 3, false)}, outage(10*time.Second))
	c.Assert(unused(), qt.DeepEquals, []string{"a"})
	r.Apply([]store.Event{deletion("b", 4)}, normalSilence)
	c.Assert(unused(), qt.HasLen, 0, qt.Commentf("one of three has an entry"))
	r.Apply([]store.Event{put(entryItem("a", 5, false))}, normalSilence)
	c.Assert(unused(), qt.DeepEquals, []string{"b"})
	r.Apply([]store.Event{put(entryItem("b", 6, false))}, normalSilence)
	c.Assert(unused(), qt.HasLen, 0)
	clock.advance(gracePeriod)
	c.Assert(ids(r), qt.DeepEquals, []string{"a", "b", "c"})

	a1, a2 := placedItem(c, "a1", "a", "v1", 1), placedItem(c, "a2", "a", "v1", 2)
	b1, b2 := placedItem(c, "b1", "b", "v1", 3), placedItem(c, "b2", "b", "v2", 4)
	r, clock = newRegistry()
	r.Reset([]store.Item{a1, a2, b1}, store.Silence{})
	r.evacuate("a")
	clock.advance(10 * time.Second)
	r.Reset([]store.Item{a1, a2}, outage(10*time.Second))
	c.Assert(unused(), qt.DeepEquals, []string{"a1", "a2"}, qt.Commentf("evacuated before the outage"))
	r.restore("a")
	c.Assert(unused(), qt.DeepEquals, []string{"b1"}, qt.Commentf("evacuation taken back"))
	r.evacuate("a")
	c.Assert(unused(), qt.DeepEquals, []string{"a1", "a2"}, qt.Commentf("evacuated after the outage"))

	r, clock = newRegistry()
	r.Reset([]store.Item{a1, a2, b1, b2}, store.Silence{})
	clock.advance(10 * time.Second)
	r.Reset([]store.Item{a1, a2, b1}, outage(10*time.Second))
	c.Assert(unused(), qt.HasLen, 0, qt.Commentf("no other server has the version of b2"))
	r.Apply([]store.Event{put(placedItem(c, "b3", "b", "v2", 5))}, normalSilence)
	c.Assert(unused(), qt.DeepEquals, []string{"b2"})
}

// Guards against keeping a missing server unused for the whole of a second outage, in which it can't register
// again.
func TestMissingServersAreUsedWhileStoreIsUnreachable(t *testing.T) {
	c := qt.New(t)
	r, clock := newRegistry()
	a1, a2, b1 := entryItem("a1", 1, false), entryItem("a2", 2, false), entryItem("b1", 3, false)
	r.Reset([]store.Item{a1, a2, b1}, store.Silence{})
	server := r.View().ByService["engines"][2]
	clock.advance(10 * time.Second)
	r.Reset([]store.Item{a1, a2}, outage(10*time.Second))
	c.Assert(server.AcceptsRequests(clock.now()), qt.IsFalse)
	clock.advance(300 * time.Millisecond)
	r.SetReachable(false, store.ErrUnavailable)
	c.Assert(server.AcceptsRequests(clock.now()), qt.IsTrue)
	clock.advance(20 * time.Second)
	c.Assert(ids(r), qt.DeepEquals, []string{"a1", "a2", "b1"})
	c.Assert(server.AcceptsRequests(clock.now()), qt.IsTrue)
	r.Reset([]store.Item{a1, a2}, outage(20*time.Second))
	c.Assert(server.AcceptsRequests(clock.now()), qt.IsFalse, qt.Commentf("the store is back"))
	clock.advance(gracePeriod)
	c.Assert(ids(r), qt.DeepEquals, []string{"a1", "a2"})
}
