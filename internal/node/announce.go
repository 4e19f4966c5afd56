package node

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/store"
)

// Lease of this router's entry. A renewal costs a tenth of any other call to the store.
const (
	// entryLeaseTTL bounds how long callers are directed to a router that crashed.
	entryLeaseTTL      = 2500 * time.Millisecond
	entryRenewInterval = 900 * time.Millisecond
	// storeCallTimeout bounds a write of any record to the store, including the calls for its lease.
	storeCallTimeout = 500 * time.Millisecond
)

// ownEntry is this router's entry in the store.
type ownEntry struct {
	lease      store.LeaseID // none: there is no entry
	overloaded bool          // as last written
	unknown    bool          // whether the last write took effect is unknown
}

// maintainEntry keeps this router's entry in the store from the time it has routing data until
// it begins to stop. The begin and the end of an overload are written at once.
func (n *Node) maintainEntry(ctx context.Context) {
	var own ownEntry
	for {
		switch {
		case n.stopping.Load():
			n.deregister(own.lease)
			return
		case own.lease.IsNone() && n.hasRoutingData():
			own = n.register(ctx)
		case !own.lease.IsNone():
			own = n.keepEntry(ctx, own)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(n.entryInterval(own.lease)):
		case <-n.intake.changed:
		case <-n.stopSignal:
		}
	}
}

// registerPollInterval is how often a starting router checks whether it has routing data and
// can register.
const registerPollInterval = 50 * time.Millisecond

func (n *Node) entryInterval(lease store.LeaseID) time.Duration {
	if lease.IsNone() && !n.hasRoutingData() {
		return registerPollInterval
	}
	return entryRenewInterval
}

// register writes the entry under a new lease. It returns no lease on failure.
func (n *Node) register(ctx context.Context) ownEntry {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	lease, err := n.env.Store.GrantLease(ctx, entryLeaseTTL)
	if err != nil {
		n.log.Emit(event.LeaseLost, slog.Any(event.KeyCause, err))
		return ownEntry{}
	}
	own := ownEntry{lease: lease, overloaded: n.intake.overloaded.Load()}
	if err := n.writeEntry(ctx, own); err != nil {
		n.log.Emit(event.LeaseLost, slog.Any(event.KeyCause, err))
		return ownEntry{}
	}
	n.log.Emit(event.ProcessReady, slog.Int64("lease", lease.Number))
	return own
}

// writeEntry writes the entry under its lease.
func (n *Node) writeEntry(ctx context.Context, own ownEntry) error {
	value, err := json.Marshal(MemberRecord{Address: n.settings.CallerAddr, Peer: n.settings.PeerAddr, Domain: n.settings.FailureDomain,
		Capacity: n.settings.Capacity, Overloaded: own.overloaded})
	if err != nil {
		panic(err) // strings and a finite number always encode
	}
	put := store.Put{Key: MemberPrefix + n.settings.VM, Value: value, Lease: own.lease}
	_, err = n.env.Store.Commit(ctx, store.Txn{Puts: []store.Put{put}})
	return err
}

// maxOverloadWriteTime is the longest time for a write over this router's saturated link. With it and a call
// for the lease the entry does not expire before the next renewal.
const maxOverloadWriteTime = 800 * time.Millisecond

// writeOverload writes the entry if this router's overload has begun or ended since it was written. What
// fails is written again with the next renewal.
func (n *Node) writeOverload(ctx context.Context, own ownEntry) ownEntry {
	overloaded := n.intake.overloaded.Load()
	if own.overloaded == overloaded && !own.unknown {
		return own
	}
	ctx, cancel := context.WithTimeout(ctx, n.link.Timeout(storeCallTimeout, maxOverloadWriteTime))
	defer cancel()
	err := n.writeEntry(ctx, ownEntry{lease: own.lease, overloaded: overloaded})
	own.overloaded, own.unknown = overloaded, err != nil
	return own
}

// keepEntry writes what changed and extends the lease. If the store has lost the lease, the router registers
// again at once: it isn't listed until then, and after the usual interval one failed call would keep it
// out of the list for seconds.
func (n *Node) keepEntry(ctx context.Context, own ownEntry) ownEntry {
	own = n.renew(ctx, n.writeOverload(ctx, own))
	if own.lease.IsNone() {
		return n.register(ctx)
	}
	return own
}

// renew extends the lease. It returns no lease if it is gone, in which case the router must register
// again.
func (n *Node) renew(ctx context.Context, own ownEntry) ownEntry {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	err := n.env.Store.RenewLease(ctx, own.lease)
	if errors.Is(err, store.ErrLeaseGone) {
		n.log.Emit(event.LeaseLost, slog.Int64("lease", own.lease.Number), slog.Any(event.KeyCause, err))
		return ownEntry{}
	}
	return own // the followers log other store failures
}

// deregister ends the lease, which removes the entry, so that no more callers are directed here.
func (n *Node) deregister(lease store.LeaseID) {
	if lease.IsNone() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeCallTimeout)
	defer cancel()
	if err := n.env.Store.RevokeLease(ctx, lease); err != nil {
		n.log.Emit(event.LeaseLost, slog.Int64("lease", lease.Number), slog.Any(event.KeyCause, err))
	}
}
