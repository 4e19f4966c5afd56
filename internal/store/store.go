// Package store defines the interface to the linearizable key-value store that outlives the
// routers: revisions, prefix reads, watches, conditional transactions and leases. It also
// contains the Follower, which keeps a local copy of a key prefix up to date.
package store

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Errors returned by a Store. Implementations wrap them; test with errors.Is.
var (
	// ErrUnavailable means that the store refused the call or could not be reached;
	// nothing was done.
	ErrUnavailable = errors.New("store: unavailable")
	// ErrOutcomeUnknown means that the call was sent but not answered. It may have taken
	// effect, or may still do so later if its conditions hold then.
	ErrOutcomeUnknown = errors.New("store: outcome unknown")
	// ErrConflict means that a condition of the transaction did not hold; nothing was written.
	ErrConflict = errors.New("store: conflict")
	// ErrCompacted means that the history a watch asked for is no longer available, or was lost.
	ErrCompacted = errors.New("store: history compacted")
	// ErrLeaseGone means that the lease has ended, never existed, or was granted in an earlier era.
	ErrLeaseGone = errors.New("store: lease gone")
	// ErrMalformed means that the store's answer could not be parsed.
	ErrMalformed = errors.New("store: malformed answer")
)

// Item is a key with its value as of its last change.
type Item struct {
	Key      string
	Value    []byte
	Revision Revision
	Lease    int64 // number of the lease that the key is attached to; 0: none
}

// Event is one change of a key. For a deleted key only Key and Revision are set.
type Event struct {
	Item
	Deleted bool
}

// Snapshot is the result of a prefix read. At is the store's revision when the read
// began: a watch from there misses nothing.
type Snapshot struct {
	Items []Item
	At    Revision
	// Lag and Silence are set by a Feed; see Changes. Continuous reports whether the feed
	// has followed the store since the revision its reader has; if not, Silence is
	// meaningless.
	Lag        time.Duration
	Silence    Silence
	Continuous bool
}

// Changes is the result of a watch. Events is empty if there was no change within the wait.
type Changes struct {
	Events []Event
	At     Revision
	// Lag is set by a Feed: the maximum age of the returned state when the feed received
	// the call. It is negative if the feed got an answer from the store while the call was
	// waiting.
	Lag time.Duration
	// Silence is set by a Feed if the store did not answer for a while between the
	// reader's revision and these changes. Entries that disappeared in that time may have
	// expired because their owners could not renew their leases.
	Silence Silence
}

// Silence describes the time without any answer from the store that precedes an answer.
type Silence struct {
	Length time.Duration
	// Broken reports whether the store was unreachable in that time: a probe showed it, or all calls
	// failed for long. A longer wait for an answer than usual is no outage.
	Broken bool
	// LostWrites reports whether the store has lost writes in that time. Then entries that
	// disappeared may only have to be written again.
	LostWrites bool
	// Ago is the time since the earliest moment at which the store may have been reachable
	// again: since it was last known to be unreachable or, if no call failed, since the
	// start of the call that was answered.
	Ago time.Duration
}

// Condition requires that the key was last changed at Revision (zero: does not exist). The store
// compares numbers only, so a condition of an earlier era may hold for another value.
type Condition struct {
	Key      string
	Revision Revision
}

// Put writes a key, attached to a lease if Lease is set.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Txn is an atomic transaction: if all conditions hold, all puts and deletes are done.
type Txn struct {
	Conditions []Condition
	Puts       []Put
	Deletes    []string
}

// Result is the result of a transaction. After ErrConflict, Current holds the present
// state of the keys in the conditions; keys that don't exist are missing from it.
type Result struct {
	Revision Revision
	Current  []Item
}

// Store is a key-value store. The platform charges for each call, including refused ones.
type Store interface {
	// Read returns all items under the prefix in the store's present state.
	Read(ctx context.Context, prefix string) (Snapshot, error)
	// ReadNewConn is Read over a new connection; open connections may be dead without
	// having been reset.
	ReadNewConn(ctx context.Context, prefix string) (Snapshot, error)
	// Watch returns the changes under the prefix after a revision, as soon as there is one
	// and no later than wait. It returns ErrCompacted if the revision is of another era.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) (Changes, error)
	// WatchNewConn is Watch over a new connection.
	WatchNewConn(ctx context.Context, prefix string, after Revision, wait time.Duration) (Changes, error)
	// Commit executes a transaction.
	Commit(ctx context.Context, txn Txn) (Result, error)
	// GrantLease creates a lease. Its keys are deleted if it is not renewed for ttl.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// RenewLease extends a lease by its ttl.
	RenewLease(ctx context.Context, lease LeaseID) error
	// RevokeLease ends a lease and deletes its keys.
	RevokeLease(ctx context.Context, lease LeaseID) error
}

// Served is a store that other processes call, in the present era of which it tells them.
type Served interface {
	Store
	// Era returns the present era.
	Era() Era
}
