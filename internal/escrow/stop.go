package escrow

import (
	"context"
	"log/slog"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/store"
)

// ReturnGrants gives all unspent grants back, at a planned stop. Requests that still
// run keep their reservations out of it; they count as spent.
func (m *GrantManager) ReturnGrants(ctx context.Context) error {
	m.mu.Lock()
	m.stopped = true
	storeDown := m.storeDown
	m.mu.Unlock()
	if storeDown {
		return ErrUnreachable
	}
	const rounds = 8 // each conflict means that another router's write landed
	var err error
	for i := 0; i < rounds; i++ {
		d, any := m.planReturn()
		if !any {
			return nil
		}
		if err = m.close(ctx, d); err == nil {
			continue
		}
		if errors.Is(err, store.ErrConflict) {
			continue
		}
		return err
	}
	return err
}

func (m *GrantManager) planReturn() (draw, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	d := draw{}
	for _, p := range m.grants {
		if !p.recordKnown || p.record.GrantEntry(m.o.VM, m.o.Incarnation).Seq == 0 || len(d.grants) == maxTxnAccounts {
			continue
		}
		used := max(0, min(p.granted, p.used()))
		p.granted = min(p.granted, used)
		d.pendingRevision = append(d.pendingRevision, p.pendingRevision)
		d.grants = append(d.grants, p)
		d.putRecord(m.accountKey(p), p.revision, p.record.WithoutEntry(m.o.VM, m.o.Incarnation, used, m.maxSpent(&d, p)))
	}
	return d, len(d.grants) > 0
}

func (m *GrantManager) close(ctx context.Context, d draw) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	result, err := m.o.Store.Commit(ctx, d.txn)
	m.mu.Lock()
	defer m.mu.Unlock()
	if errors.Is(err, store.ErrConflict) {
		m.applyConflict(d, result)
		return err
	}
	if errors.Is(err, store.ErrUnavailable) {
		for i, p := range d.grants { // nothing was done: the grants are still here
			p.pendingRevision = d.pendingRevision[i]
			p.applyRecord(p.record, p.revision, p.record.GrantEntry(m.o.VM, m.o.Incarnation))
		}
	}
	if err != nil {
		return errors.Wrap(err, "return of grants")
	}
	m.logClosedGrants(d)
	for i, p := range d.grants {
		p.record, p.revision = d.records[i], int64(result.Revision)
		m.o.Log.Emit(event.GrantsReturned, slog.String(event.KeyBudget, p.account), slog.Int64("spent", p.spent))
	}
	return nil
}
