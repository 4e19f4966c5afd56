package node

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytiller.example/chicorytiller/internal/escrow"
	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/intake"
	"chicorytiller.example/chicorytiller/internal/store"
	"chicorytiller.example/chicorytiller/internal/store/memstore"
)

// newIntakeNode returns a router with a clock that the test advances.
func newIntakeNode(s *Settings, env Environment) (n *Node, now *time.Time) {
	now = new(time.Time)
	*now = time.Unix(1_800_000_000, 0)
	env.Clock, env.Now = func() escrow.ClockReading { return escrow.ClockReading{} }, func() time.Time { return *now }
	return New(s, env, event.Discard(), "p1"), now
}

// Guards against other routers that never learn of an overload, or of its end, because a write was lost, and
// against entries that older routers would not know.
func TestLostWriteOfOverloadIsRepeated(t *testing.T) {
	c, ctx, s := qt.New(t), context.Background(), memstore.New(nil)
	n, _ := newIntakeNode(&Settings{VM: "vm-1", CallerAddr: "127.0.0.1:1", LinkMbps: 10}, Environment{Store: s})
	entry := func() string {
		snapshot, err := s.Read(ctx, MemberPrefix)
		c.Assert(err, qt.IsNil)
		return string(snapshot.Items[0].Value)
	}
	own := n.register(ctx)
	before := entry()
	c.Assert(before, qt.Equals, `{"address":"127.0.0.1:1","peer":"","failure_domain":"","capacity":0}`)
	for _, overloaded := range []bool{true, false} {
		n.intake.overloaded.Store(overloaded)
		s.SetDown(true)
		own = n.writeOverload(ctx, own)
		c.Assert(own.overloaded, qt.Not(qt.Equals), overloaded)
		s.SetDown(false)
		own = n.writeOverload(ctx, own)
		m, err := decodeMember(store.Item{Key: MemberPrefix + "vm-1", Value: []byte(entry())})
		c.Assert(err, qt.IsNil)
		c.Assert(m.Overloaded, qt.Equals, overloaded)
	}
	c.Assert(entry(), qt.Equals, before)
}

// Guards against routers in standby for all of a store outage, against a fleet without a ready router in one, and
// against a directory that names nobody then.
func TestOverloadsOfOthersEndWithoutStore(t *testing.T) {
	for _, large := range []bool{false, true} {
		c := qt.New(t)
		settings := &Settings{VM: "vm-0", FailureDomain: "a", CallerAddr: "vm-0", Capacity: 0.04}
		if large {
			settings.Capacity = 0.8
		}
		n, now := newIntakeNode(settings, Environment{})
		var items []store.Item
		for i, capacity := range []float64{0.04, 0.8} {
			record := fmt.Sprintf(`{"address":"vm-%d","failure_domain":"a","capacity":%v,"overloaded":%v}`, i+1, capacity, i == 0)
			items = append(items, store.Item{Key: fmt.Sprint(MemberPrefix, "vm-", i+1), Value: []byte(record)})
		}
		n.members.Reset(items, store.Silence{})
		n.membership.confirm(*now)
		n.updateReadiness(*now, false)
		c.Check(n.intake.acceptsNew(), qt.Equals, large)
		n.intake.overloaded.Store(true)
		n.updateReadiness(*now, true)
		c.Check(n.intake.acceptsNew(), qt.IsFalse)
		c.Check(n.resolve("a", "caller"), qt.DeepEquals, []string{"vm-2"})

		*now = now.Add(intake.Hold + time.Second)
		n.updateReadiness(*now, false)
		c.Check(n.intake.acceptsNew(), qt.Equals, large)
		c.Check(n.resolve("a", "caller"), qt.DeepEquals, []string{"vm-1", "vm-2"})
		n.intake.overloaded.Store(false)
		n.updateReadiness(*now, true)
		c.Check(n.intake.acceptsNew(), qt.IsTrue)
	}
}
