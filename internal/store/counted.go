package store

import (
	"context"
	"strings"
	"time"
)

// Counted counts the calls to a Store by what they are for: they are paid for, and in a
// large fleet they are the first thing to look at.
type Counted struct {
	Store Store
	// Count takes one call: its kind, the first part of the key it is about, and how it
	// ended.
	Count func(kind, subject string, err error)
}

var _ Store = Counted{}

// subject is the first part of a key.
func subject(key string) string {
	first, _, _ := strings.Cut(key, "/")
	return first
}

// Read implements Store.
func (c Counted) Read(ctx context.Context, prefix string) (Snapshot, error) {
	snapshot, err := c.Store.Read(ctx, prefix)
	c.Count("read", subject(prefix), err)
	return snapshot, err
}

// ReadAnew implements Store.
func (c Counted) ReadAnew(ctx context.Context, prefix string) (Snapshot, error) {
	snapshot, err := c.Store.ReadAnew(ctx, prefix)
	c.Count("check", subject(prefix), err)
	return snapshot, err
}

// Watch implements Store.
func (c Counted) Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) (Changes, error) {
	changes, err := c.Store.Watch(ctx, prefix, after, wait)
	c.Count("watch", subject(prefix), err)
	return changes, err
}

// WatchAnew implements Store.
func (c Counted) WatchAnew(ctx context.Context, prefix string, after Revision, wait time.Duration) (Changes, error) {
	changes, err := c.Store.WatchAnew(ctx, prefix, after, wait)
	c.Count("check", subject(prefix), err)
	return changes, err
}

// Commit implements Store.
func (c Counted) Commit(ctx context.Context, txn Txn) (Result, error) {
	result, err := c.Store.Commit(ctx, txn)
	about := ""
	if len(txn.Puts) > 0 {
		about = txn.Puts[0].Key
	}
	c.Count("write", subject(about), err)
	return result, err
}

// Grant implements Store.
func (c Counted) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	lease, err := c.Store.Grant(ctx, ttl)
	c.Count("grant", "lease", err)
	return lease, err
}

// Renew implements Store.
func (c Counted) Renew(ctx context.Context, lease LeaseID) error {
	err := c.Store.Renew(ctx, lease)
	c.Count("renew", "lease", err)
	return err
}

// End implements Store.
func (c Counted) End(ctx context.Context, lease LeaseID) error {
	err := c.Store.End(ctx, lease)
	c.Count("end", "lease", err)
	return err
}
