package operate

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"chicorytiller.example/chicorytiller/internal/contract"
	"chicorytiller.example/chicorytiller/internal/id"
	"chicorytiller.example/chicorytiller/internal/store"
	"chicorytiller.example/chicorytiller/internal/store/memstore"
)

// racingStore carries out another operator's command between the first read and what follows.
type racingStore struct {
	*memstore.Store
	other func()
}

func (s *racingStore) Read(ctx context.Context, prefix string) (store.Snapshot, error) {
	snapshot, err := s.Store.Read(ctx, prefix)
	if other := s.other; other != nil {
		s.other = nil
		other()
	}
	return snapshot, err
}

// Guards against an order to drain a server, or to remove it, that is lost because the server is registered anew at the same time.
func TestRegisterDoesNotUndoConcurrentChange(t *testing.T) {
	server := contract.BackendServer{ID: "e1", Kind: contract.KindEngine, Address: "10.0.0.1:1", FailureDomain: "d", Models: []id.Model{"m"}}
	for name, change := range map[string]func(context.Context, store.Store, string) error{"drain": Drain, "remove": Unregister} {
		c, ctx := qt.New(t), context.Background()
		inner := memstore.New(nil)
		c.Assert(Register(ctx, inner, server), qt.IsNil)
		s := &racingStore{Store: inner, other: func() { c.Assert(change(ctx, inner, "e1"), qt.IsNil) }}
		c.Check(Register(ctx, s, server), qt.ErrorIs, ErrConflict, qt.Commentf(name))
		c.Check(Register(ctx, s, server), qt.IsNil)
	}
}
