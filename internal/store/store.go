// Package store is the port to the linearizable key-value store that outlives the
// routers: revisions, prefix reads, watches, conditional transactions and leases.
package store

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Revision counts the changes of the whole store. Zero means: no such key.
type Revision int64

// LeaseID names a lease. Zero means: no lease.
type LeaseID int64

// Errors of the store. Adapters wrap them; test with errors.Is.
var (
	// ErrUnavailable: the store refused or can't be reached; nothing was done.
	ErrUnavailable = errors.New("store: unavailable")
	// ErrOutcomeUnknown: the call was sent and not answered. It may have taken
	// effect, or may still do so later if its condition holds then.
	ErrOutcomeUnknown = errors.New("store: outcome unknown")
	// ErrConflict: a condition of the transaction did not hold; nothing was written.
	ErrConflict = errors.New("store: conflict")
	// ErrCompacted: the history that a watch asked for is no longer kept.
	ErrCompacted = errors.New("store: history compacted")
	// ErrLeaseGone: the lease ended or never was.
	ErrLeaseGone = errors.New("store: lease gone")
	// ErrMalformed: the store's answer could not be understood.
	ErrMalformed = errors.New("store: malformed answer")
)

// Item is one key's content at its last change.
type Item struct {
	Key      string
	Value    []byte
	Revision Revision
	Lease    LeaseID
}

// Event is one change of a key. Of a deleted key only Key and Revision are set.
type Event struct {
	Item
	Deleted bool
}

// Snapshot is what a prefix read returned. At is the store's revision when the
// read began: a watch from there misses nothing.
type Snapshot struct {
	Items []Item
	At    Revision
	// Lag and Silence are set by a Feed: see Changes. Continuous says that the feed has
	// followed the store since what its reader knows; else Silence tells nothing.
	Lag        time.Duration
	Silence    Silence
	Continuous bool
}

// Changes is what a watch returned. Events is empty when the wait ran out.
type Changes struct {
	Events []Event
	At     Revision
	// Lag is set by a Feed: how old the store's state that it tells was at most when the
	// call for it came in. It is below zero if the feed heard of the store while it held
	// the call back.
	Lag time.Duration
	// Silence is set by a Feed whose store was silent between what its reader knew and
	// these changes. Entries that went meanwhile may have lapsed.
	Silence Silence
}

// Silence is the time before an answer of the store in which there was none.
type Silence struct {
	Length time.Duration
	// Broken: a call failed in it. Else nobody asked.
	Broken bool
	// Ago is how long before now the store may have answered again already: the time since
	// it surely could not be reached, or, where nobody asked, since the call that was answered.
	Ago time.Duration
}

// Condition is a condition: the key's last change is at Revision (zero: no such key).
type Condition struct {
	Key      string
	Revision Revision
}

// Put writes a key, bound to a lease if one is named.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Txn is all or nothing.
type Txn struct {
	Conditions []Condition
	Puts       []Put
	Deletes    []string
}

// Result of a transaction. Current holds, after ErrConflict, the present state
// of the keys that were expected; keys that don't exist are missing from it.
type Result struct {
	Revision Revision
	Current  []Item
}

// Store is the port. Each call is priced by the platform, also a refused one.
type Store interface {
	// Read returns all items under the prefix, at the store's present state.
	Read(ctx context.Context, prefix string) (Snapshot, error)
	// ReadNewConn is Read over a new connection: open ones may have fallen silent.
	ReadNewConn(ctx context.Context, prefix string) (Snapshot, error)
	// Watch returns the changes under the prefix after a revision, as soon as
	// there is one and at the latest after wait.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) (Changes, error)
	// WatchNewConn is Watch over a new connection.
	WatchNewConn(ctx context.Context, prefix string, after Revision, wait time.Duration) (Changes, error)
	// Commit runs a transaction.
	Commit(ctx context.Context, txn Txn) (Result, error)
	// GrantLease makes a lease; its keys go when it is not renewed for ttl.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// RenewLease extends a lease by its ttl.
	RenewLease(ctx context.Context, lease LeaseID) error
	// RevokeLease ends a lease and removes its keys.
	RevokeLease(ctx context.Context, lease LeaseID) error
}
