package node

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/escrow"
	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/intake"
	"chicorytiller.example/chicorytiller/internal/store"
	"chicorytiller.example/chicorytiller/internal/store/memstore"
)

// newIntakeNode returns a router with a clock that the test advances.
func newIntakeNode(s *Settings, env Environment) (n *Node, now *time.Time) {
	start := time.Unix(1_800_000_000, 0)
	env.Clock, env.Now = func() escrow.ClockReading { return escrow.ClockReading{} }, func() time.Time { return start }
	return New(s, env, event.Discard(), "p1"), &start
}

// Guards against other routers that never learn of an overload, or of its end, because a write was lost, and
// against entries that older routers would not know.
func TestLostWriteOfOverloadIsRepeated(t *testing.T) {
	c, ctx, s := qt.New(t), context.Background(), memstore.New(nil)
	n, _ := newIntakeNode(&Settings{VM: "vm-1", CallerAddr: "127.0.0.1:1"}, Environment{Store: s})
	own := n.register(ctx)
	for _, overloaded := range []bool{false, true, false} {
		n.intake.overloaded.Store(overloaded)
		s.SetDown(true)
		own = n.writeOverload(ctx, own)
		s.SetDown(false)
		own = n.writeOverload(ctx, own)
		snapshot, err := s.Read(ctx, MemberPrefix)
		c.Assert(err, qt.IsNil)
		field := map[bool]string{true: `,"overloaded":true`}[overloaded]
		c.Assert(string(snapshot.Items[0].Value), qt.Equals, `{"address":"127.0.0.1:1","peer":"","failure_domain":"","capacity":0`+field+`}`)
		m, err := decodeMember(snapshot.Items[0])
		c.Assert(err, qt.IsNil)
		c.Assert(m.Overloaded, qt.Equals, overloaded)
	}
}

// Guards against a fleet without a ready router in a store outage, and against a directory that names nobody then.
func TestOverloadsOfOthersEndWithoutStore(t *testing.T) {
	for _, capacity := range []float64{0.04, 0.8} {
		c, large := qt.New(t), capacity > 0.1
		n, now := newIntakeNode(&Settings{VM: "vm-0", FailureDomain: "a", CallerAddr: "vm-0", Capacity: capacity}, Environment{})
		small := store.Item{Key: MemberPrefix + "vm-1", Value: []byte(`{"address":"vm-1","failure_domain":"a","capacity":0.04,"overloaded":true}`)}
		n.members.Reset([]store.Item{small, {Key: MemberPrefix + "vm-2", Value: []byte(`{"address":"vm-2","failure_domain":"a","capacity":0.8}`)}}, store.Silence{})
		n.membership.confirm(*now)
		check := func(overloaded, ready bool) {
			n.intake.overloaded.Store(overloaded)
			n.updateReadiness(*now, true)
			c.Check(n.intake.acceptsNew(), qt.Equals, ready)
		}
		check(false, true)
		check(true, large)
		c.Check(n.resolve("a", "caller"), qt.DeepEquals, []string{"vm-2"})
		*now = now.Add(intake.Hold + time.Second)
		check(true, large)
		c.Check(n.resolve("a", "caller"), qt.DeepEquals, []string{"vm-1", "vm-2"})
		check(false, true)
	}
}

// lossyStore carries out writes without answering them while it is lossy.
type lossyStore struct {
	store.Store
	lossy bool
}

// Commit implements store.Store.
func (s *lossyStore) Commit(ctx context.Context, t store.Txn) (store.Result, error) {
	result, err := s.Store.Commit(ctx, t)
	if s.lossy {
		return store.Result{}, errors.New("no answer")
	}
	return result, err
}

// Guards against an entry that says overloaded for good: the write that said so took effect, its answer was lost,
// and the overload ended before it was repeated.
func TestOverloadWrittenWithoutAnswerIsCorrected(t *testing.T) {
	c, ctx := qt.New(t), context.Background()
	s := &lossyStore{Store: memstore.New(nil)}
	n, _ := newIntakeNode(&Settings{VM: "vm-1", CallerAddr: "127.0.0.1:1"}, Environment{Store: s})
	own := n.register(ctx)
	n.intake.overloaded.Store(true)
	s.lossy = true
	own = n.writeOverload(ctx, own)
	n.intake.overloaded.Store(false)
	s.lossy = false
	n.writeOverload(ctx, own)
	snapshot, err := s.Read(ctx, MemberPrefix)
	c.Assert(err, qt.IsNil)
	m, err := decodeMember(snapshot.Items[0])
	c.Assert(err, qt.IsNil)
	c.Assert(m.Overloaded, qt.IsFalse)
}
