package node

import (
	"context"
	"encoding/json"
	"log/slog"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/store"
)

// Pace of this router's leased entry. A renewal costs a tenth of a call.
const (
	// entryLeaseTTL is how long callers are still sent to a router that died.
	entryLeaseTTL      = 2500 * time.Millisecond
	entryRenewInterval = 900 * time.Millisecond
	storeCallTimeout   = 500 * time.Millisecond
)

// maintainEntry keeps this router's entry in the store while it takes callers.
func (n *Node) maintainEntry(ctx context.Context) {
	var lease store.LeaseID
	for {
		switch {
		case n.stopping.Load():
			n.deregister(lease)
			return
		case lease == 0 && n.hasRoutingData():
			lease = n.register(ctx)
		case lease != 0:
			lease = n.renew(ctx, lease)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(n.entryInterval(lease)):
		case <-n.stopSignal:
		}
	}
}

// registerPollInterval is how often a starting router looks whether it may enter.
const registerPollInterval = 50 * time.Millisecond

func (n *Node) entryInterval(lease store.LeaseID) time.Duration {
	if lease == 0 && !n.hasRoutingData() {
		return registerPollInterval
	}
	return entryRenewInterval
}

// register writes the entry under a new lease. It returns 0 if that failed.
func (n *Node) register(ctx context.Context) store.LeaseID {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	lease, err := n.env.Store.Grant(ctx, entryLeaseTTL)
	if err != nil {
		n.log.Emit(event.LeaseLost, slog.Any(event.KeyCause, err))
		return 0
	}
	value, err := json.Marshal(MemberRecord{Address: n.settings.CallerAddr, Peer: n.settings.PeerAddr, Domain: n.settings.FailureDomain,
		Capacity: n.settings.Capacity})
	if err != nil {
		panic(err) // two strings always encode
	}
	put := store.Put{Key: MemberPrefix + n.settings.VM, Value: value, Lease: lease}
	if _, err := n.env.Store.Commit(ctx, store.Txn{Puts: []store.Put{put}}); err != nil {
		n.log.Emit(event.LeaseLost, slog.Any(event.KeyCause, err))
		return 0
	}
	n.log.Emit(event.ProcessReady, slog.Int64("lease", int64(lease)))
	return lease
}

// renew extends the lease. It returns 0 if the lease is gone: only a new entry helps.
func (n *Node) renew(ctx context.Context, lease store.LeaseID) store.LeaseID {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	err := n.env.Store.Renew(ctx, lease)
	if errors.Is(err, store.ErrLeaseGone) {
		n.log.Emit(event.LeaseLost, slog.Int64("lease", int64(lease)), slog.Any(event.KeyCause, err))
		return 0
	}
	return lease // another failure is the store's; its followers log that
}

// deregister removes the entry, so that no caller is sent here any more.
func (n *Node) deregister(lease store.LeaseID) {
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeCallTimeout)
	defer cancel()
	if err := n.env.Store.End(ctx, lease); err != nil {
		n.log.Emit(event.LeaseLost, slog.Int64("lease", int64(lease)), slog.Any(event.KeyCause, err))
	}
}

// Reports of contents that break servers.
const (
	// maxPendingReports bounds what waits to be written.
	maxPendingReports = 64
	// quarantineReportTTL is how long the other routers keep a report: as long as they
	// remember a content.
	quarantineReportTTL = 5 * time.Minute
)

// reportQuarantined tells the other routers of a content. It never blocks; a reportQuarantined that
// doesn't fit is left out, and each router still finds the content out by itself.
func (n *Node) reportQuarantined(content uint64) {
	select {
	case n.quarantineReports <- content:
	default:
		n.log.Emit(event.ReportDropped, slog.Uint64("content", content))
	}
}

func (n *Node) publishQuarantineReports(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case content := <-n.quarantineReports:
			n.publishQuarantineReport(ctx, content)
		}
	}
}

func (n *Node) publishQuarantineReport(ctx context.Context, content uint64) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	lease, err := n.env.Store.Grant(ctx, quarantineReportTTL)
	if err == nil {
		key := quarantinePrefix + strconv.FormatUint(content, 16)
		_, err = n.env.Store.Commit(ctx, store.Txn{Puts: []store.Put{{Key: key, Value: []byte(n.settings.VM), Lease: lease}}})
	}
	if err != nil {
		n.log.Emit(event.ReportDropped, slog.Uint64("content", content), slog.Any(event.KeyCause, err))
	}
}

// applyQuarantineReport takes another router's report; it says whether the key is one.
func (n *Node) applyQuarantineReport(key string) bool {
	hash, found := strings.CutPrefix(key, quarantinePrefix)
	if !found {
		return false
	}
	if content, err := strconv.ParseUint(hash, 16, 64); err == nil {
		n.quarantine.Insert(content)
	}
	return true
}
