package fleet

import (
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

// Guards against requests to a server that left during an outage that most entries survived, and against
// a service left to a minority of its servers.
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
}
