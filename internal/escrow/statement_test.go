package escrow

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytiller.example/chicorytiller/internal/store"
)

// statementItems returns the stored items of a budget with three holders: one in contact,
// one whose process was replaced, and a silent one.
func statementItems(at time.Time) []store.Item {
	record := Record{Format: recordFormat, Closed: 300, ClosedSpent: 200, Entries: map[string]map[string]GrantEntry{
		"vm-1": {"p1": {Seq: 1, Granted: 400, Spent: 150}},
		"vm-2": {"p2": {Seq: 1, Granted: 100, Spent: 50}},
		"vm-3": {"p3": {Seq: 1, Granted: 50, Spent: 10}},
	}}
	ledger := Ledger{Format: ledgerFormat, Incarnation: "p1", Contact: ClockReading{Wall: at},
		Allowances: map[string]Allowance{"boatyard": {Ceiling: 180}}}
	return []store.Item{
		{Key: "budget/account/boatyard", Value: record.Encode()},
		{Key: "budget/router/vm-1", Value: ledger.Encode()},
		{Key: "budget/router/vm-2", Value: Ledger{Format: ledgerFormat, Incarnation: "p4"}.Encode()},
		{Key: "budget/router/vm-3", Value: []byte("{")},
		{Key: "budget/contact/vm-1", Value: []byte("p1")},
		{Key: "budget/contact/vm-2", Value: []byte("p4")},
	}
}

func TestStatementHoldingsAndInDoubt(t *testing.T) {
	at := time.Unix(1_800_000_000, 0).UTC()
	s, err := StatementOf(statementItems(at), "budget/", "boatyard", 1000)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, s, qt.DeepEquals, Statement{Account: "boatyard", Spent: 410, Free: 150, InDoubt: 100, Holdings: []Holding{
		{VM: "vm-1", Incarnation: "p1", State: HolderInContact, Granted: 400, Spent: 150, Ceiling: 180, LastContact: at},
		{VM: "vm-2", Incarnation: "p2", State: HolderReplaced, Granted: 100, Spent: 50, Ceiling: 100},
		{VM: "vm-3", Incarnation: "p3", State: HolderSilent, Granted: 50, Spent: 10, Ceiling: 50},
	}})
}

func TestStatementOfUngrantedBudget(t *testing.T) {
	s, err := StatementOf(nil, "budget/", "boatyard", 1000)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, s, qt.DeepEquals, Statement{Account: "boatyard", Free: 1000, Holdings: []Holding{}})
}

// Guards against a statement that shows a corrupt record as an unused budget.
func TestStatementOfInvalidRecord(t *testing.T) {
	items := []store.Item{{Key: "budget/account/boatyard", Value: []byte(`{"format":7}`)}}
	_, err := StatementOf(items, "budget/", "boatyard", 1000)
	qt.Assert(t, err, qt.ErrorIs, ErrInvalidRecord)
}
