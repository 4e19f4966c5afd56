package fleet

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytiller.example/chicorytiller/internal/store"
)

// Guards against callers sent to a router that is gone: a list that changes rarely is no outage.
func TestQuietStoreIsNoOutage(t *testing.T) {
	m, _ := newMembers()
	m.Contact(true, nil)
	m.Reset([]store.Item{memberItem("a"), memberItem("b")}, store.Silence{})
	m.Apply([]store.Event{{Item: memberItem("a"), Deleted: true}}, store.Silence{Length: memberWait + time.Second})
	qt.Assert(t, m.List(), qt.DeepEquals, []Member{{Name: "b"}})
}

// Guards against an empty list at a router that started in an outage: what another router told may have lapsed.
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

// Guards against requests to servers that left, from a router that notices the end of its cut late.
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

// Guards against a grace for missing servers that one broken call in health renews.
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
