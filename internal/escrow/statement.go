package escrow

import (
	"sort"
	"strings"
	"time"

	"chicorytiller.example/chicorytiller/internal/store"
)

// HolderState is the state of a router that holds a grant, as seen from the store.
type HolderState string

// States of a holder.
const (
	// HolderInContact: its contact lease has not expired.
	HolderInContact HolderState = "in contact"
	// HolderReplaced: another process runs on its VM and will close the grant with its
	// next write.
	HolderReplaced HolderState = "replaced"
	// HolderSilent: it is dead, hung or cut off from the store.
	HolderSilent HolderState = "silent"
)

// Holding describes the grant of one router incarnation on a budget.
type Holding struct {
	VM          string      `json:"vm"`
	Incarnation string      `json:"incarnation"`
	State       HolderState `json:"state"`
	Granted     int64       `json:"granted"`
	// Spent is what it last reported; it lags behind the actual use.
	Spent int64 `json:"spent"`
	// Ceiling is the most it may have used by its last contact; all of Granted if there
	// is no readable ledger of it.
	Ceiling int64 `json:"ceiling"`
	// LastContact is by the VM's wall clock; zero if there is no readable ledger of it.
	LastContact time.Time `json:"last_contact,omitzero"`
}

// Statement describes one account's budget as seen from the store.
type Statement struct {
	Account string `json:"account"`
	// Spent is the least that was spent.
	Spent int64 `json:"spent"`
	// Free is the part of the budget that is not granted.
	Free int64 `json:"free"`
	// InDoubt is what dead routers may have spent. It never becomes free again.
	InDoubt  int64     `json:"in_doubt"`
	Holdings []Holding `json:"holdings"`
}

// StatementOf builds an account's statement from all items below the GrantManagers' key
// prefix.
func StatementOf(items []store.Item, prefix, account string, prepaid int64) (Statement, error) {
	values := make(map[string][]byte, len(items))
	for _, item := range items {
		values[strings.TrimPrefix(item.Key, prefix)] = item.Value
	}
	record := newRecord()
	if data, found := values[AccountKeyPrefix+account]; found {
		var err error
		if record, err = DecodeRecord(data); err != nil {
			return Statement{}, err
		}
	}
	s := Statement{Account: account, Spent: record.MinSpent(), Free: max(0, prepaid-record.TotalGranted()),
		InDoubt: record.Closed - record.ClosedSpent, Holdings: []Holding{}}
	for vm, incarnations := range record.Entries {
		for incarnation, entry := range incarnations {
			s.Holdings = append(s.Holdings, holdingOf(values, account, vm, incarnation, entry))
		}
	}
	sort.Slice(s.Holdings, func(i, j int) bool {
		a, b := s.Holdings[i], s.Holdings[j]
		return a.VM < b.VM || a.VM == b.VM && a.Incarnation < b.Incarnation
	})
	return s, nil
}

// holdingOf combines a grant entry with the VM's ledger and contact lease.
func holdingOf(values map[string][]byte, account, vm, incarnation string, entry GrantEntry) Holding {
	h := Holding{VM: vm, Incarnation: incarnation, State: HolderSilent, Granted: entry.Granted, Spent: entry.Spent, Ceiling: entry.Granted}
	switch contact, found := values[contactKeyPrefix+vm]; {
	case found && string(contact) == incarnation:
		h.State = HolderInContact
	case found:
		h.State = HolderReplaced
	}
	ledger, err := DecodeLedger(values[ledgerKeyPrefix+vm])
	if err != nil || ledger.Incarnation != incarnation {
		return h // there is no readable ledger of this incarnation
	}
	h.LastContact = ledger.Contact.Wall
	if allowance, listed := ledger.Allowances[account]; listed {
		h.Ceiling = min(entry.Granted, allowance.Ceiling)
	}
	return h
}
