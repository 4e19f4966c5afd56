package escrow

import (
	"sort"
	"strings"
	"time"

	"chicorytiller.example/chicorytiller/internal/store"
)

// HolderState is what the store tells of a router that holds a grant.
type HolderState string

// States of a holder.
const (
	// HolderInContact: its contact lease runs.
	HolderInContact HolderState = "in contact"
	// HolderReplaced: another process runs on its VM, which will close the grant with its
	// next write.
	HolderReplaced HolderState = "replaced"
	// HolderSilent: it is dead, frozen or cut off from the store.
	HolderSilent HolderState = "silent"
)

// Holding is what one router incarnation holds of a budget.
type Holding struct {
	VM          string      `json:"vm"`
	Incarnation string      `json:"incarnation"`
	State       HolderState `json:"state"`
	Granted     int64       `json:"granted"`
	// Spent is what it has reported; it lags behind.
	Spent int64 `json:"spent"`
	// Ceiling is what it may have used at its last contact; all that was granted if it
	// left no word of it.
	Ceiling int64 `json:"ceiling"`
	// LastContact is by the VM's own time of day; zero if it left no word of it.
	LastContact time.Time `json:"last_contact,omitzero"`
}

// Statement is what the store tells of one account's budget.
type Statement struct {
	Account string `json:"account"`
	// Spent is what was surely used.
	Spent int64 `json:"spent"`
	// Free is what was granted to nobody.
	Free int64 `json:"free"`
	// InDoubt is what routers that died may have used; nothing frees it any more.
	InDoubt  int64     `json:"in_doubt"`
	Holdings []Holding `json:"holdings"`
}

// StatementOf puts an account's statement together from all items below the keepers' prefix.
func StatementOf(items []store.Item, prefix, account string, prepaid int64) (Statement, error) {
	kept := make(map[string][]byte, len(items))
	for _, item := range items {
		kept[strings.TrimPrefix(item.Key, prefix)] = item.Value
	}
	record := newRecord()
	if data, found := kept[AccountKeyPrefix+account]; found {
		var err error
		if record, err = DecodeRecord(data); err != nil {
			return Statement{}, err
		}
	}
	s := Statement{Account: account, Spent: record.MinSpent(), Free: max(0, prepaid-record.TotalGranted()),
		InDoubt: record.Closed - record.ClosedSpent, Holdings: []Holding{}}
	for vm, incarnations := range record.Holders {
		for incarnation, figure := range incarnations {
			s.Holdings = append(s.Holdings, holdingOf(kept, account, vm, incarnation, figure))
		}
	}
	sort.Slice(s.Holdings, func(i, j int) bool {
		a, b := s.Holdings[i], s.Holdings[j]
		return a.VM < b.VM || a.VM == b.VM && a.Incarnation < b.Incarnation
	})
	return s, nil
}

// holdingOf adds to a figure what the VM's ledger and contact lease tell.
func holdingOf(kept map[string][]byte, account, vm, incarnation string, f GrantEntry) Holding {
	h := Holding{VM: vm, Incarnation: incarnation, State: HolderSilent, Granted: f.Granted, Spent: f.Spent, Ceiling: f.Granted}
	switch contact, found := kept[contactKeyPrefix+vm]; {
	case found && string(contact) == incarnation:
		h.State = HolderInContact
	case found:
		h.State = HolderReplaced
	}
	ledger, err := DecodeLedger(kept[ledgerKeyPrefix+vm])
	if err != nil || ledger.Incarnation != incarnation {
		return h // another process's ledger, or none that can be read, tells nothing of it
	}
	h.LastContact = ledger.Contact.Wall
	h.Ceiling = min(f.Granted, ledger.Allowances[account].Ceiling)
	return h
}
