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
	m.Reset([]store.Item{memberItem("a"), memberItem("b")}, 0)
	m.Apply([]store.Event{{Item: memberItem("a"), Deleted: true}}, memberWait+time.Second)
	qt.Assert(t, m.List(), qt.DeepEquals, []Member{{Name: "b"}})
}

// A router starts while the store is away and learns the others from one of them. At its
// first read of the store their entries have lapsed. They get their time to come back.
func TestWhatAnotherRouterToldIsNotDroppedAtTheFirstRead(t *testing.T) {
	m, c := newMembers()
	m.Seed([]store.Item{memberItem("a")})
	m.Contact(true, nil)
	m.Reset(nil, 0)
	qt.Assert(t, m.List(), qt.HasLen, 1)
	c.pass(lapseGrace)
	qt.Assert(t, m.List(), qt.HasLen, 0)

	r, c := newRegistry()
	r.Seed([]store.Item{entryItem("a", 5, false)})
	r.Reset(nil, 0)
	qt.Assert(t, ids(r), qt.DeepEquals, []string{"a"})
	c.pass(lapseGrace)
	r.Apply(nil, usual)
	qt.Assert(t, ids(r), qt.HasLen, 0)
}
