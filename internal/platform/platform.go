// Package platform is the port to what the platform gives: a key-value service
// with compare-and-swap, leases and watches, a lagging list of VMs, and a store
// for model weights. Adapters and fakes live in packages below it.
package platform

import (
	"context"

	"time"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/id"
)

// MaxValueBytes is the largest value that the key-value service holds.
const MaxValueBytes = 1 << 20

// Revision is the service's version of one key. Zero means: no such key.
type Revision int64

// LeaseID names a lease of the key-value service. Zero means: no lease.
type LeaseID int64

// Value is one key's content at one revision. A key that does not exist has
// Revision zero and no Data.
type Value struct {
	Key      string
	Data     []byte
	Revision Revision
}

// Errors of the key-value service. Adapters wrap them; test with errors.Is.
var (
	// ErrConflict: the key's revision was not the expected one; nothing was
	// written. CAS returns the current Value along with it.
	ErrConflict = errors.New("platform: revision conflict")
	// ErrUnavailable: the service can't be reached or refuses; nothing was written.
	ErrUnavailable = errors.New("platform: service unavailable")
	// ErrOutcomeUnknown: a write may or may not have taken effect.
	ErrOutcomeUnknown = errors.New("platform: outcome of the write unknown")
	// ErrRateLimited: over the service's rate; nothing was written.
	ErrRateLimited = errors.New("platform: rate limited")
	// ErrValueTooLarge: over MaxValueBytes; nothing was written.
	ErrValueTooLarge = errors.New("platform: value too large")
	// ErrLeaseNotFound: the lease lapsed or never was.
	ErrLeaseNotFound = errors.New("platform: lease not found")
)

// KV is the key-value service. Each call, and each waiting watch, counts
// against the service's rates.
type KV interface {
	// Get reads a key. A missing key is no error: its Revision is zero.
	Get(ctx context.Context, key string) (Value, error)
	// CAS writes data if the key is at revision expect (zero: must not exist).
	// With a lease the key goes when the lease lapses. On success it returns the
	// new Value, on ErrConflict the current one.
	CAS(ctx context.Context, key string, expect Revision, data []byte, lease LeaseID) (Value, error)
	// Delete removes the key if it is at revision expect.
	Delete(ctx context.Context, key string, expect Revision) error
	// GrantLease makes a lease that lapses after ttl without KeepAlive.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease once.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// Watch sends the key's value after each change past revision after, until
	// ctx ends or the watch breaks; then it closes the channel. Intermediate
	// values may be skipped; the caller then reads again and re-watches.
	Watch(ctx context.Context, key string, after Revision) (<-chan Value, error)
}

// VMState is what the VM list says of a VM.
type VMState string

// States of a VM. A VM that is gone for good is no longer listed.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VMEntry is one row of the VM list.
type VMEntry struct {
	ID            id.VM            `json:"id"`
	Address       string           `json:"address"` // IP number
	FailureDomain id.FailureDomain `json:"failure_domain"`
	State         VMState          `json:"state"`
}

// VMList is the platform's lagging list of VMs.
type VMList interface {
	List(ctx context.Context) ([]VMEntry, error)
}
