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
	// entryLease is how long callers are still sent to a router that died.
	entryLease = 2500 * time.Millisecond
	entryRenew = 900 * time.Millisecond
	entryCall  = 500 * time.Millisecond
)

// announce keeps this router's entry in the store while it takes callers.
func (n *Node) announce(ctx context.Context) {
	var lease store.LeaseID
	for {
		switch {
		case n.stopping.Load():
			n.withdraw(lease)
			return
		case lease == 0 && n.informed():
			lease = n.enter(ctx)
		case lease != 0:
			lease = n.renew(ctx, lease)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(n.announcePause(lease)):
		case <-n.stopNotice:
		}
	}
}

// entryPoll is how often a starting router looks whether it may enter.
const entryPoll = 50 * time.Millisecond

func (n *Node) announcePause(lease store.LeaseID) time.Duration {
	if lease == 0 && !n.informed() {
		return entryPoll
	}
	return entryRenew
}

// enter writes the entry under a new lease. It returns 0 if that failed.
func (n *Node) enter(ctx context.Context) store.LeaseID {
	ctx, cancel := context.WithTimeout(ctx, entryCall)
	defer cancel()
	lease, err := n.dialect.Store.Grant(ctx, entryLease)
	if err != nil {
		n.log.Emit(event.LeaseLost, slog.Any(event.KeyCause, err))
		return 0
	}
	value, err := json.Marshal(MemberRecord{Address: n.settings.Callers, Peer: n.settings.Peers, Domain: n.settings.FailureDomain,
		Capacity: n.settings.Capacity})
	if err != nil {
		panic(err) // two strings always encode
	}
	put := store.Put{Key: MemberPrefix + n.settings.VM, Value: value, Lease: lease}
	if _, err := n.dialect.Store.Commit(ctx, store.Txn{Puts: []store.Put{put}}); err != nil {
		n.log.Emit(event.LeaseLost, slog.Any(event.KeyCause, err))
		return 0
	}
	n.log.Emit(event.ProcessReady, slog.Int64("lease", int64(lease)))
	return lease
}

// renew extends the lease. It returns 0 if the lease is gone: only a new entry helps.
func (n *Node) renew(ctx context.Context, lease store.LeaseID) store.LeaseID {
	ctx, cancel := context.WithTimeout(ctx, entryCall)
	defer cancel()
	err := n.dialect.Store.Renew(ctx, lease)
	if errors.Is(err, store.ErrLeaseGone) {
		n.log.Emit(event.LeaseLost, slog.Int64("lease", int64(lease)), slog.Any(event.KeyCause, err))
		return 0
	}
	return lease // another failure is the store's; its followers log that
}

// withdraw removes the entry, so that no caller is sent here any more.
func (n *Node) withdraw(lease store.LeaseID) {
	if lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), entryCall)
	defer cancel()
	if err := n.dialect.Store.End(ctx, lease); err != nil {
		n.log.Emit(event.LeaseLost, slog.Int64("lease", int64(lease)), slog.Any(event.KeyCause, err))
	}
}

// Reports of contents that break servers.
const (
	// reportsMost bounds what waits to be written.
	reportsMost = 64
	// reportLease is how long the other routers keep a report: as long as they
	// remember a content.
	reportLease = 5 * time.Minute
)

// report tells the other routers of a content. It never blocks; a report that
// doesn't fit is left out, and each router still finds the content out by itself.
func (n *Node) report(content uint64) {
	select {
	case n.reports <- content:
	default:
		n.log.Emit(event.ReportDropped, slog.Uint64("content", content))
	}
}

func (n *Node) publishReports(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case content := <-n.reports:
			n.publish(ctx, content)
		}
	}
}

func (n *Node) publish(ctx context.Context, content uint64) {
	ctx, cancel := context.WithTimeout(ctx, entryCall)
	defer cancel()
	lease, err := n.dialect.Store.Grant(ctx, reportLease)
	if err == nil {
		key := brokenPrefix + strconv.FormatUint(content, 16)
		_, err = n.dialect.Store.Commit(ctx, store.Txn{Puts: []store.Put{{Key: key, Value: []byte(n.settings.VM), Lease: lease}}})
	}
	if err != nil {
		n.log.Emit(event.ReportDropped, slog.Uint64("content", content), slog.Any(event.KeyCause, err))
	}
}

// holdBroken takes another router's report; it says whether the key is one.
func (n *Node) holdBroken(key string) bool {
	hash, found := strings.CutPrefix(key, brokenPrefix)
	if !found {
		return false
	}
	if content, err := strconv.ParseUint(hash, 16, 64); err == nil {
		n.held.Insert(content)
	}
	return true
}
