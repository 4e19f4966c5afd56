package operate

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/contract"
	"chicorytiller.example/chicorytiller/internal/id"
	"chicorytiller.example/chicorytiller/internal/store"
	"chicorytiller.example/chicorytiller/internal/store/memstore"
)

// lateStore carries its first transaction out only later, and answers none of it.
type lateStore struct {
	*memstore.Store
	late *store.Txn
}

func (s *lateStore) Commit(ctx context.Context, txn store.Txn) (store.Result, error) {
	if s.late == nil {
		s.late = &txn
		return store.Result{}, errors.WithStack(store.ErrOutcomeUnknown)
	}
	return s.Store.Commit(ctx, txn)
}

// Guards against a failure domain that is evacuated again after it was restored, by an order that got no
// answer and was repeated.
func TestUnansweredOrderIsNotCarriedOutAfterRestore(t *testing.T) {
	c, ctx := qt.New(t), context.Background()
	inner := memstore.New(nil)
	server := contract.BackendServer{ID: "e1", Kind: contract.KindEngine, Address: "10.0.0.1:1", FailureDomain: "d", Models: []id.Model{"m"}}
	c.Assert(Register(ctx, inner, server), qt.IsNil)
	s := &lateStore{Store: inner}
	c.Assert(Evacuate(ctx, s, "d"), qt.ErrorIs, store.ErrOutcomeUnknown)
	c.Assert(Evacuate(ctx, s, "d"), qt.IsNil)
	c.Assert(Restore(ctx, s, "d"), qt.IsNil)
	_, err := inner.Commit(ctx, *s.late)
	c.Assert(err, qt.ErrorIs, store.ErrConflict)
	domains, err := EvacuatedDomains(ctx, inner)
	c.Assert(err, qt.IsNil)
	c.Assert(domains, qt.HasLen, 0)
}
