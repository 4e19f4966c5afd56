package escrow

import (
	"context"
	"log/slog"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/store"
)

// ReturnGrants returns all unspent tokens to the records at a planned stop. The reservations of
// requests that still run count as spent.
func (m *GrantManager) ReturnGrants(ctx context.Context) error {
	m.mu.Lock()
	m.stopped = true
	storeDown := m.storeDown
	m.mu.Unlock()
	if storeDown {
		return ErrUnreachable
	}
	defer m.tellRecords(ctx)
	const maxConflicts = 8 // each means that another router's write succeeded
	for conflicts := 0; ; {
		d, due := m.planReturn()
		if !due {
			return nil
		}
		err := m.commitReturn(ctx, d)
		if err == nil {
			continue
		}
		if conflicts++; !errors.Is(err, store.ErrConflict) || conflicts == maxConflicts {
			return err
		}
		// A record that has gone was lost by the store. Only this router may know of its grants.
		if m.needsRead() && !m.readRecords(ctx) {
			return ErrUnreachable
		}
	}
}

// planReturn prepares a transaction that returns the unspent tokens of up to maxTxnAccounts
// accounts and removes this incarnation's entries. It returns false if no record is known to
// have such an entry.
func (m *GrantManager) planReturn() (draw, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := draw{}
	era := int64(m.era)
	for _, g := range m.grants {
		if !g.recordKnown || g.record.GrantEntry(m.opts.VM, m.opts.Incarnation).Seq == 0 || len(d.grants) == maxTxnAccounts {
			continue
		}
		used := max(0, min(g.granted, g.used()))
		g.granted = min(g.granted, used)
		d.pendingRevisions = append(d.pendingRevisions, g.pendingRevision)
		g.pendingRevision = g.revision // if it is not answered, a later read must not restore the grant
		d.grants = append(d.grants, g)
		next := g.record.WithoutEntry(m.opts.VM, m.opts.Incarnation, used, m.maxSpent(&d, g))
		next.Era = era
		d.putRecord(m.accountKey(g), g.revision, next)
	}
	if len(d.grants) > 0 {
		m.bindToEra(&d)
	}
	return d, len(d.grants) > 0
}

// commitReturn runs a transaction made by planReturn.
func (m *GrantManager) commitReturn(ctx context.Context, d draw) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	result, err := m.opts.Store.Commit(ctx, d.txn)
	m.mu.Lock()
	defer m.mu.Unlock()
	if errors.Is(err, store.ErrConflict) {
		m.applyConflict(d, result)
		return err
	}
	if errors.Is(err, store.ErrUnavailable) {
		for i, g := range d.grants { // nothing was written: the grants are unchanged
			g.pendingRevision = d.pendingRevisions[i]
			g.applyRecord(g.record, g.revision, g.record.GrantEntry(m.opts.VM, m.opts.Incarnation))
		}
	}
	if err != nil {
		return errors.Wrap(err, "return grants")
	}
	m.observeEra(result.Revision.Era())
	m.applyMarkerWrite(d, result)
	m.queueTelling(d, result.Revision)
	m.logClosedGrants(d)
	for i, g := range d.grants {
		g.record, g.revision, g.pendingRevision = d.records[i], result.Revision, noPendingWrite
		m.opts.Log.Emit(event.GrantsReturned, slog.String(event.KeyBudget, g.account), slog.Int64("spent", g.spent))
	}
	return nil
}
