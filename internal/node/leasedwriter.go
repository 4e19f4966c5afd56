package node

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/store"
)

// leasedWriter writes records that the store removes some time after the last write. It uses each
// lease for several writes.
type leasedWriter struct {
	store     store.Store
	ttl       time.Duration // of a lease
	reuseTime time.Duration // how long new records are written under one lease

	lease     store.LeaseID
	grantedAt time.Time
}

// put writes one record under a lease.
func (w *leasedWriter) put(ctx context.Context, key string, value []byte) error {
	if w.lease.IsNone() || time.Since(w.grantedAt) > w.reuseTime {
		lease, err := w.store.GrantLease(ctx, w.ttl)
		if err != nil {
			return err
		}
		w.lease, w.grantedAt = lease, time.Now()
	}
	put := store.Put{Key: key, Value: value, Lease: w.lease}
	_, err := w.store.Commit(ctx, store.Txn{Puts: []store.Put{put}})
	if errors.Is(err, store.ErrLeaseGone) {
		w.lease = store.LeaseID{}
	}
	return err
}
