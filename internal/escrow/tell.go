package escrow

import (
	"context"
	"log/slog"
	"slices"

	"github.com/sourcegraph/conc"

	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/store"
)

// A router that dies after a draw takes its knowledge of the record with it. If the store then loses
// that write, only a router that has read the record could restore it. So each written record is told
// to a few other routers, which keep it as if they had read it.

// recordKeepers is the number of routers that a written record is told to.
const recordKeepers = 2

// StoredRecord is a record as it was written to the store.
type StoredRecord struct {
	Account  string
	Value    []byte // encoded
	Revision store.Revision
}

// queueTelling makes the records of a committed transaction due to be told. The caller holds m.mu.
func (m *GrantManager) queueTelling(d draw, revision store.Revision) {
	for i, g := range d.grants {
		m.untold = append(m.untold, StoredRecord{Account: g.account, Value: d.records[i].Encode(), Revision: revision})
	}
	select {
	case m.tellDue <- struct{}{}:
	default: // already signalled
	}
}

// tellLoop tells the records that were written until ctx ends.
func (m *GrantManager) tellLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.tellDue:
			m.tellRecords(ctx)
		}
	}
}

// tellRecords tells the records that were written since the last call.
func (m *GrantManager) tellRecords(ctx context.Context) {
	m.mu.Lock()
	records := m.untold
	m.untold = nil
	m.mu.Unlock()
	byAddress := make(map[string][]StoredRecord)
	for _, record := range records {
		for _, address := range m.keepersOf(record.Account) {
			byAddress[address] = append(byAddress[address], record)
		}
	}
	var calls conc.WaitGroup
	for address, told := range byAddress {
		calls.Go(func() { m.tell(ctx, address, told) })
	}
	calls.Wait()
}

func (m *GrantManager) tell(ctx context.Context, address string, records []StoredRecord) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := m.opts.Peers.KeepRecords(ctx, address, records); err != nil {
		m.opts.Log.Emit(event.RecordNotTold, slog.String("address", address), slog.Int("records", len(records)), slog.Any(event.KeyCause, err))
	}
}

// keepersOf returns the addresses of the routers that keep an account's record: its first holders.
func (m *GrantManager) keepersOf(account string) []string {
	holders := slices.DeleteFunc(slices.Clone(m.opts.Holders(account)), func(address string) bool { return address == "" })
	return holders[:min(len(holders), recordKeepers)]
}

// KeepRecords takes over records that another router wrote.
func (m *GrantManager) KeepRecords(records []StoredRecord) {
	budgets := m.opts.Budgets()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, told := range records {
		_, isListed := budgets[told.Account]
		if isListed || m.grants[told.Account] != nil {
			m.keepRecord(m.grant(told.Account), told)
		}
	}
}

// keepRecord takes over a record that another router wrote. The caller holds m.mu.
func (m *GrantManager) keepRecord(g *grant, told StoredRecord) {
	if told.Revision <= g.revision {
		return // this router knows a later one, or an earlier era's record was told before its end
	}
	m.observeEra(told.Revision.Era())
	m.applyRecordItem(g, store.Item{Key: m.accountKey(g), Value: told.Value, Revision: told.Revision})
}
