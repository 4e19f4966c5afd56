package node

import (
	"context"
	"log/slog"
	"time"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/rollout"
	"chicorytiller.example/chicorytiller/internal/store"
)

// versionCheckInterval is how often this router compares the listed servers' versions with the
// admitted ones.
const versionCheckInterval = 100 * time.Millisecond

// maintainVersions admits new versions of the servers' software and retires those without servers.
func (n *Node) maintainVersions(ctx context.Context) {
	ticker := time.NewTicker(versionCheckInterval)
	defer ticker.Stop()
	needed := make(map[string]bool) // services of whose streams other routers need records
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		versions := n.registry.View().Versions
		if write := n.streams.rollout.NextWrite(versions, n.routerCount()); write != nil {
			n.writeVersions(ctx, *write)
		}
		n.publishIfNeeded(versions, needed)
	}
}

// publishIfNeeded publishes the records of streams that began while no other router needed them.
func (n *Node) publishIfNeeded(services map[string][]string, needed map[string]bool) {
	due := false
	for service := range services {
		needs := n.streams.rollout.NeedsRecords(service)
		due = due || needs && !needed[service]
		needed[service] = needs
	}
	if due {
		n.streams.publishOwn()
	}
}

// writeVersions writes a record unless another router has changed it.
func (n *Node) writeVersions(ctx context.Context, write rollout.Write) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	write.Record.Router = n.settings.VM
	key, value := write.Record.Key(), write.Record.Encode()
	result, err := n.env.Store.Commit(ctx, store.Txn{
		Conditions: []store.Condition{{Key: key, Revision: write.Revision}},
		Puts:       []store.Put{{Key: key, Value: value}},
	})
	switch {
	case err == nil:
		n.applyVersions(store.Item{Key: key, Value: value, Revision: result.Revision})
	case errors.Is(err, store.ErrConflict):
		for _, item := range result.Current { // another router's record
			n.applyVersions(item)
		}
	default:
		n.log.Emit(event.VersionsNotRecorded, slog.String("service", write.Record.Service), slog.Any("versions", write.Record.Versions),
			slog.Any(event.KeyCause, err))
	}
}

// applyVersions applies a record of admitted versions. It reports whether the item's key is that of
// such a record; an invalid record is logged.
func (n *Node) applyVersions(item store.Item) bool {
	if !rollout.IsRecord(item.Key) {
		return false
	}
	record, changed, err := n.streams.rollout.Apply(item)
	switch {
	case err != nil:
		n.log.Emit(event.EntryRejected, slog.String("key", item.Key), item.Revision.Attr(), slog.Any(event.KeyCause, err))
	case changed:
		n.log.Emit(event.VersionsAdmitted, slog.String("service", record.Service), slog.Any("versions", record.Versions),
			slog.Int("changes", record.Changes), slog.String(event.KeyRouter, record.Router), item.Revision.Attr())
	}
	return true
}

// versionsKnown reports whether the admitted versions of all services are known, or this router has
// waited long enough for those that are missing.
func (n *Node) versionsKnown() bool {
	return time.Since(n.createdAt) > maxMembershipWait || n.streams.rollout.Known(n.registry.View().Versions)
}
