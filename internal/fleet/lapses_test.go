package fleet

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytiller.example/chicorytiller/internal/store"
)

// The list of routers changes rarely, so the store is quiet for seconds in health. A
// router whose lease runs out after such a pause is gone, not lapsed: callers must not be
// sent to it.
func TestQuietStoreIsNoOutage(t *testing.T) {
	m, _ := newMembers()
	m.Contact(true, nil)
	m.Reset([]store.Item{memberItem("a"), memberItem("b")}, store.Silence{})
	m.Apply([]store.Event{{Item: memberItem("a"), Deleted: true}}, store.Silence{Length: memberWait + time.Second})
	qt.Assert(t, m.List(), qt.DeepEquals, []Member{{Name: "b"}})
}

// A router starts while the store is away and learns the others from one of them. At its
// first read of the store their entries have lapsed. They get their time to come back.
func TestWhatAnotherRouterToldIsNotDroppedAtTheFirstRead(t *testing.T) {
	m, c := newMembers()
	m.Seed([]store.Item{memberItem("a")})
	m.Contact(true, nil)
	m.Reset(nil, store.Silence{})
	qt.Assert(t, m.List(), qt.HasLen, 1)
	c.pass(lapseGrace)
	qt.Assert(t, m.List(), qt.HasLen, 0)

	r, c := newRegistry()
	r.Seed([]store.Item{entryItem("a", 5, false)})
	r.Reset(nil, store.Silence{})
	qt.Assert(t, ids(r), qt.DeepEquals, []string{"a"})
	c.pass(lapseGrace)
	r.Apply(nil, usual)
	qt.Assert(t, ids(r), qt.HasLen, 0)
}

// A router returns from a cut and notices it late: its last call into the cut was a second
// and a half before the first answer, and servers leave meanwhile. It can't tell them from
// those that lapsed, and must drop all that are missing before three seconds from that call
// are over: it is held to the time that a leaving server serves from then on.
func TestGraceEndsInTimeHoweverLateTheReturnIsNoticed(t *testing.T) {
	const noticed = 1500 * time.Millisecond
	r, c := newRegistry()
	r.Reset([]store.Item{entryItem("a", 1, false), entryItem("b", 2, false)}, store.Silence{})
	c.pass(10 * time.Second)
	r.Reset([]store.Item{entryItem("b", 2, false)}, store.Silence{Length: 10 * time.Second, Broken: true, Ago: noticed})
	qt.Assert(t, ids(r), qt.DeepEquals, []string{"a", "b"})
	c.pass(lapseLatest - noticed)
	qt.Assert(t, ids(r), qt.DeepEquals, []string{"b"})
}

// A call to the store breaks in the grace, while the store is in health, and the next is
// answered. The grace doesn't begin anew, or a server that left would be used for longer.
func TestOneBrokenCallDoesNotRenewTheGrace(t *testing.T) {
	r, c := newRegistry()
	r.Reset([]store.Item{entryItem("a", 1, false)}, store.Silence{})
	c.pass(10 * time.Second)
	r.Reset(nil, outage(10*time.Second))
	c.pass(lapseGrace - 100*time.Millisecond)
	r.Contact(false, store.ErrUnavailable)
	r.Contact(true, nil)
	r.Apply(nil, outage(lapseAgain-time.Millisecond))
	qt.Assert(t, ids(r), qt.DeepEquals, []string{"a"})
	c.pass(100 * time.Millisecond)
	qt.Assert(t, ids(r), qt.HasLen, 0)
}
