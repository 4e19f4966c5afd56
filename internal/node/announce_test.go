package node

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"chicorytiller.example/chicorytiller/internal/store/memstore"
)

// Guards against a router that stays missing from the list for another interval after it has learned that the
// store lost its lease.
func TestRouterRegistersAgainAtOnceIfLeaseIsGone(t *testing.T) {
	c, ctx, s := qt.New(t), context.Background(), memstore.New(nil)
	n, _ := newIntakeNode(&Settings{VM: "vm-1", CallerAddr: "127.0.0.1:1"}, Environment{Store: s})
	lost := s.Copy()
	own := n.register(ctx)
	s.Restore(lost)
	own = n.keepEntry(ctx, own)
	snapshot, err := s.Read(ctx, MemberPrefix)
	c.Assert(err, qt.IsNil)
	c.Assert(snapshot.Items, qt.HasLen, 1)
	c.Assert(snapshot.Items[0].Lease, qt.Equals, own.lease.Number)
	c.Assert(s.RenewLease(ctx, own.lease), qt.IsNil)
}
