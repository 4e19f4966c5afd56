package escrow

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against an address that is read from a ledger which is corrupt or has another format.
func TestLedgerAddress(t *testing.T) {
	ledger := Ledger{Format: ledgerFormat, Incarnation: "address", Address: "10.0.0.1:7", Allowances: map[string]Allowance{"a": {Ceiling: 5}}}
	qt.Assert(t, ledgerAddress(ledger.Encode()), qt.Equals, "10.0.0.1:7")
	for _, data := range []string{"", "{", "[]", "null", `{"format":1}`, `{"contact":{"address":"x"}}`, `{"address":7}`, `{"incarnation":"address"}`} {
		qt.Check(t, ledgerAddress([]byte(data)), qt.Equals, "", qt.Commentf("%s", data))
	}
}

// Guards against calls to a router that holds fewer tokens than another, or that recently did not
// answer.
func TestVMWithMostUnspent(t *testing.T) {
	b := newTestbed(1_000_000)
	m := b.newManager("p1", noPeers{})
	m.vmAddresses = map[string]string{m.opts.VM: "own", "vm-2": "two", "vm-3": "three"}
	record := newRecord()
	record.Entries[m.opts.VM] = map[string]GrantEntry{"p1": {Granted: 900_000}}
	record.Entries["vm-2"] = map[string]GrantEntry{"p2": {Granted: 50_000, Spent: 45_000}}
	record.Entries["vm-3"] = map[string]GrantEntry{"p3": {Granted: 20_000, Spent: 1_000}}
	record.Entries["vm-4"] = map[string]GrantEntry{"p4": {Granted: 30_000}}
	g := m.grant("boatyard")
	g.record = record
	vm, address := m.vmWithMostUnspent(g)
	qt.Assert(t, vm, qt.Equals, "vm-3")
	qt.Assert(t, address, qt.Equals, "three")
	m.vmUnreachableAt["vm-3"] = m.opts.Clock().Steady
	_, address = m.vmWithMostUnspent(g)
	qt.Assert(t, address, qt.Equals, "two")
	b.steady += unreachableBackoff
	_, address = m.vmWithMostUnspent(g)
	qt.Assert(t, address, qt.Equals, "three")
}

// exhaustedPeers lend nothing and report what they have spent.
type exhaustedPeers struct {
	noPeers
	spent int64
}

func (p exhaustedPeers) BorrowFrom(context.Context, string, LoanRequest) Loan {
	return Loan{Spent: p.spent}
}

// Guards against telling callers to retry for tokens that only an outdated record shows: a router
// that had borrowed more than it had spent when it last wrote has a negative Spent there.
func TestUsageReportOverridesRecord(t *testing.T) {
	c := qt.New(t)
	b := newTestbed(100_000)
	b.steady = time.Minute
	record := newRecord().WithEntry("vm-2", "p2", GrantEntry{Seq: 1, Granted: 0, Spent: -17_000}, nil)
	record.Closed, record.ClosedSpent = 100_000, 100_000
	b.store.Put("budget/account/boatyard", record.Encode())
	other := Ledger{Format: ledgerFormat, Incarnation: "p2", Address: "two", Allowances: map[string]Allowance{}}
	b.store.Put("budget/router/vm-2", other.Encode())
	m := b.newManager("p1", exhaustedPeers{spent: 0})
	m.syncStore(context.Background(), true)

	r := m.newPendingReservation("boatyard", 8_000, true, "", admitted)
	c.Assert(m.shortageError(r), qt.Equals, ErrContended)
	c.Assert(m.requestGathering(r), qt.IsTrue)
	for _, g := range m.takeGatherings() {
		m.runGathering(context.Background(), g)
	}
	c.Assert(m.shortageError(r), qt.Equals, ErrExhausted)
	vm, _ := m.vmWithMostUnspent(r.grant)
	c.Assert(vm, qt.Equals, "")
	b.steady += usageReportTTL
	c.Assert(m.shortageError(r), qt.Equals, ErrContended, qt.Commentf("the report has expired"))
}

// Guards against a report that counts tokens as spent which were just lent and may be returned.
func TestSpentExcludesRecentLoans(t *testing.T) {
	c := qt.New(t)
	b, m, _ := startTestbed()
	c.Assert(m.Lend(LoanRequest{Account: "boatyard", Tokens: 2_000, WaiterID: noWaiter}).Spent, qt.Equals, int64(2_000))
	c.Assert(m.Lend(LoanRequest{Account: "boatyard", Tokens: 3_000, WaiterID: noWaiter}).Spent, qt.Equals, int64(3_000))
	b.steady += 2 * recentLoanWindow
	c.Assert(m.Lend(LoanRequest{Account: "boatyard", Tokens: 0, WaiterID: noWaiter}).Spent, qt.Equals, int64(5_000))
}
