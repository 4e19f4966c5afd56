package store

import (
	"context"
	"strings"
	"time"
)

// CountingStore wraps a Store and counts the calls by purpose. Each call costs money, and in a
// large fleet their number is the first thing to check.
type CountingStore struct {
	Store Store
	// Count is called after each call with its kind, the first segment of the key it
	// concerns, and its error.
	Count func(kind, subject string, err error)
}

var _ Store = CountingStore{}

// subject returns the first segment of a key.
func subject(key string) string {
	first, _, _ := strings.Cut(key, "/")
	return first
}

// Read implements Store.
func (c CountingStore) Read(ctx context.Context, prefix string) (Snapshot, error) {
	snapshot, err := c.Store.Read(ctx, prefix)
	c.Count("read", subject(prefix), err)
	return snapshot, err
}

// ReadNewConn implements Store.
func (c CountingStore) ReadNewConn(ctx context.Context, prefix string) (Snapshot, error) {
	snapshot, err := c.Store.ReadNewConn(ctx, prefix)
	c.Count("check", subject(prefix), err)
	return snapshot, err
}

// Watch implements Store.
func (c CountingStore) Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) (Changes, error) {
	changes, err := c.Store.Watch(ctx, prefix, after, wait)
	c.Count("watch", subject(prefix), err)
	return changes, err
}

// WatchNewConn implements Store.
func (c CountingStore) WatchNewConn(ctx context.Context, prefix string, after Revision, wait time.Duration) (Changes, error) {
	changes, err := c.Store.WatchNewConn(ctx, prefix, after, wait)
	c.Count("check", subject(prefix), err)
	return changes, err
}

// Commit implements Store.
func (c CountingStore) Commit(ctx context.Context, txn Txn) (Result, error) {
	result, err := c.Store.Commit(ctx, txn)
	key := ""
	if len(txn.Puts) > 0 {
		key = txn.Puts[0].Key
	}
	c.Count("write", subject(key), err)
	return result, err
}

// GrantLease implements Store.
func (c CountingStore) GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	lease, err := c.Store.GrantLease(ctx, ttl)
	c.Count("grant", "lease", err)
	return lease, err
}

// RenewLease implements Store.
func (c CountingStore) RenewLease(ctx context.Context, lease LeaseID) error {
	err := c.Store.RenewLease(ctx, lease)
	c.Count("renew", "lease", err)
	return err
}

// RevokeLease implements Store.
func (c CountingStore) RevokeLease(ctx context.Context, lease LeaseID) error {
	err := c.Store.RevokeLease(ctx, lease)
	c.Count("end", "lease", err)
	return err
}
