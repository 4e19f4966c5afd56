package node

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/fleet"
	"chicorytiller.example/chicorytiller/internal/quarantine"
	"chicorytiller.example/chicorytiller/internal/store"
)

// Publication of the crashes of backend servers that this router saw.
const (
	// crashWriteInterval is the time between two writes, and the wait after a failed one. It is
	// short, so that soon after an outage of the store all routers know what each saw meanwhile.
	crashWriteInterval = 500 * time.Millisecond
	// crashGatherTime is how long a first write waits for the other exchanges that broke off with the same
	// server. Without it they would be written crashWriteInterval later.
	crashGatherTime = 50 * time.Millisecond
	// crashWriteShare times the number of routers is the least time between two writes of one router. It
	// bounds the writes of all, which each router reads.
	crashWriteShare = 10 * time.Millisecond
	// crashWriteTimeout bounds a write and the call for its lease. It is long enough for a slow
	// store: a write that is given up each time would never tell the other routers.
	crashWriteTimeout = 2 * time.Second
	// crashLeaseTTL is the lifetime of the lease under which a record is kept. What remains of it
	// after crashLeaseReuseTime is the time for which a content is suspect.
	crashLeaseTTL       = 7 * time.Minute
	crashLeaseReuseTime = 2 * time.Minute
	// survivalCheckInterval is how often suspected crashes are compared with the list of servers.
	survivalCheckInterval = time.Second
)

// publishCrashes tells the other routers which requests may have crashed backend servers.
func (n *Node) publishCrashes(ctx context.Context) {
	w := crashWriter{node: n, writer: leasedWriter{store: n.env.Store, ttl: crashLeaseTTL, reuseTime: crashLeaseReuseTime}}
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.quarantine.Changed():
		}
		if !sleep(ctx, crashGatherTime) {
			return
		}
		for w.isDue() {
			w.write(ctx)
			if !sleep(ctx, max(crashWriteInterval, time.Duration(n.routerCount())*crashWriteShare)) {
				return
			}
		}
	}
}

// sleep waits for a time. It returns false if ctx ended before.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// crashWriter writes this router's record of crashes.
type crashWriter struct {
	node    *Node
	writer  leasedWriter
	failing bool // the last write failed
}

func (w *crashWriter) isDue() bool {
	return w.node.quarantine.Report().Serial != w.node.crashReports.written.Load()
}

// write writes the record. If that fails, it remains due.
func (w *crashWriter) write(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, crashWriteTimeout)
	defer cancel()
	report := w.node.quarantine.Report()
	w.node.crashReports.writeBegins()
	record := quarantine.NewRecord(w.node.settings.VM, report)
	err := w.writer.put(ctx, quarantine.RecordKey(w.node.incarnation), record.Encode())
	if err != nil && !w.failing {
		w.node.log.Emit(event.CrashesNotRecorded, slog.Int("crashes", len(report.Exchanges)), slog.Any(event.KeyCause, err))
	}
	w.failing = err != nil
	if err == nil {
		w.node.crashReports.writeSucceeded(report.Serial)
		w.node.log.Emit(event.CrashesRecorded, slog.Int("crashes", len(report.Exchanges)), slog.Int("cleared", len(report.Cleared)),
			slog.Int("survivors", len(report.Survivors)))
	}
}

// applyCrashRecord takes over what another router reports; quarantine.Judge has to be called afterwards. It
// reports whether the item's key is that of such a report.
func (n *Node) applyCrashRecord(item store.Item) bool {
	if !quarantine.IsRecord(item.Key) {
		return false
	}
	n.crashReports.apply(item)
	return true
}

// logQuarantine logs what is held back and released.
func (n *Node) logQuarantine(change quarantine.Change) {
	for _, blame := range change.Held {
		n.log.Emit(event.RequestQuarantined, slog.String("feature", blame.Feature.String()), slog.Any("servers", blame.Servers))
	}
	for _, feature := range change.Released {
		n.log.Emit(event.QuarantineEnded, slog.String("feature", feature.String()))
	}
}

// tryAgain reports whether this router should send a request with a feature that is held back. One
// router of the fleet may.
func (n *Node) tryAgain(feature quarantine.Feature) bool {
	return n.quarantine.TryAgain(feature, func() bool {
		key := "try again " + feature.String()
		rank := n.self().Rank(key)
		return !slices.ContainsFunc(n.otherRouters(), func(m fleet.Member) bool { return m.Rank(key) < rank })
	})
}

// dismissSurvivedCrashes dismisses, at intervals, the suspected crashes of servers that still run:
// there the network failed.
func (n *Node) dismissSurvivedCrashes(ctx context.Context) {
	ticker := time.NewTicker(survivalCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			n.quarantine.DismissSurvived(n.registry.FateOf)
		}
	}
}
