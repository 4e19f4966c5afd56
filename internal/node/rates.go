package node

import (
	"context"
	"log/slog"
	"time"

	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/pacing"
	"chicorytiller.example/chicorytiller/internal/store"
)

const (
	// rateLeaseTTL is the lifetime of the lease under which rates are recorded, and
	// rateLeaseReuseTime how long new records are written under one lease. Both the latter and
	// the time that remains are far longer than the interval at which a rate is confirmed.
	rateLeaseTTL       = 5 * time.Minute
	rateLeaseReuseTime = 2 * time.Minute
	// ratePruneInterval is how often ended rates and those of removed subjects are dropped.
	ratePruneInterval = 30 * time.Second
)

// rateWriter writes to the store the rates that backend servers announced.
type rateWriter struct {
	node   *Node
	rates  *pacing.AnnouncedRates
	writer leasedWriter
}

// publishRates publishes to the other routers the rates that backend servers announced to this one.
// registered reports whether the subject of a rate still exists.
func (n *Node) publishRates(ctx context.Context, rates *pacing.AnnouncedRates, registered func(subject string) bool) {
	w := rateWriter{node: n, rates: rates, writer: leasedWriter{store: n.env.Store, ttl: rateLeaseTTL, reuseTime: rateLeaseReuseTime}}
	prune := time.NewTicker(ratePruneInterval)
	defer prune.Stop()
	for {
		record, wait := rates.NextWrite(n.rankFor)
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
			rates.Prune(registered)
		case <-rates.Wake():
		case <-due:
		}
	}
}

// write writes one record. If that fails the record remains due.
func (w *rateWriter) write(ctx context.Context, record pacing.Record) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	record.Router = w.node.settings.VM
	err := w.commit(ctx, record)
	attrs := []slog.Attr{w.rates.Kind().SubjectAttr(record.Subject), slog.Float64("per_second", record.PerSecond), slog.Bool("over", record.Ended)}
	if err != nil {
		w.node.log.Emit(event.LimitNotRecorded, append(attrs, slog.Any(event.KeyCause, err))...)
		return
	}
	w.node.log.Emit(event.LimitRecorded, attrs...)
}

func (w *rateWriter) commit(ctx context.Context, record pacing.Record) error {
	value, err := record.Encode()
	if err != nil {
		return err
	}
	return w.writer.put(ctx, w.rates.Kind().Key(record.Subject), value)
}

// applyAnnouncedRate applies a record of a rate that backend servers announced, or an old copy of one. It
// reports whether the item is one.
func (n *Node) applyAnnouncedRate(item store.Item, copied bool) bool {
	if copied {
		return n.limits.ApplyCopied(item) || n.fragility.ApplyCopied(item)
	}
	return n.limits.ApplyRecord(item) || n.fragility.ApplyRecord(item)
}

// hasService reports whether a service has registered servers.
func (n *Node) hasService(service string) bool {
	return len(n.registry.View().ByService[service]) > 0
}
