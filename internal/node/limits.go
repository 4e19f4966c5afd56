package node

import (
	"context"
	"log/slog"
	"time"

	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/fleet"
	"chicorytiller.example/chicorytiller/internal/pacing"
)

const (
	// limitLeaseTTL is the lifetime of the lease under which limits are recorded, and
	// limitLeaseReuseTime how long new records are written under one lease. Both the latter and
	// the time that remains are far longer than the interval at which a limit is confirmed.
	limitLeaseTTL       = 5 * time.Minute
	limitLeaseReuseTime = 2 * time.Minute
	// limitPruneInterval is how often ended limits and those of removed servers are dropped.
	limitPruneInterval = 30 * time.Second
)

// limitWriter writes to the store the rate limits that backend servers announced.
type limitWriter struct {
	node   *Node
	writer leasedWriter
}

// publishLimits publishes to the other routers the rate limits that backend servers announced to
// this one.
func (n *Node) publishLimits(ctx context.Context) {
	w := limitWriter{node: n, writer: leasedWriter{store: n.env.Store, ttl: limitLeaseTTL, reuseTime: limitLeaseReuseTime}}
	prune := time.NewTicker(limitPruneInterval)
	defer prune.Stop()
	for {
		record, wait := n.limits.NextWrite(n.rankFor)
		if record != nil {
			w.write(ctx, *record)
			continue
		}
		var due <-chan time.Time
		if wait > 0 {
			due = time.After(wait)
		}
		select {
		case <-ctx.Done():
			return
		case <-prune.C:
			n.limits.Prune(n.registry.HasIncarnation)
		case <-n.limits.Wake():
		case <-due:
		}
	}
}

// write writes one record. If that fails the record remains due.
func (w *limitWriter) write(ctx context.Context, record pacing.Record) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	record.Router = w.node.settings.VM
	err := w.commit(ctx, record)
	attrs := []slog.Attr{slog.String(event.KeyBackend, fleet.ServerID(record.Incarnation)), slog.Float64("per_second", record.PerSecond),
		slog.Bool("over", record.Ended)}
	if err != nil {
		w.node.log.Emit(event.LimitNotRecorded, append(attrs, slog.Any(event.KeyCause, err))...)
		return
	}
	w.node.log.Emit(event.LimitRecorded, attrs...)
}

func (w *limitWriter) commit(ctx context.Context, record pacing.Record) error {
	value, err := record.Encode()
	if err != nil {
		return err
	}
	return w.writer.put(ctx, record.Key(), value)
}
