package escrow

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against ledgers that are spoiled, or of another format, and name a router to ask.
func TestAddressOfALedgerIsRead(t *testing.T) {
	whole := Ledger{Format: ledgerFormat, Incarnation: "address", Address: "10.0.0.1:7", Allowances: map[string]Allowance{"a": {Ceiling: 5}}}
	qt.Assert(t, ledgerAddress(whole.Encode()), qt.Equals, "10.0.0.1:7")
	for _, data := range []string{"", "{", "[]", "null", `{"format":1}`, `{"contact":{"address":"x"}}`, `{"address":7}`, `{"incarnation":"address"}`} {
		qt.Check(t, ledgerAddress([]byte(data)), qt.Equals, "", qt.Commentf("%s", data))
	}
}

// Guards against calls to a router that holds less than another, or that gave no answer of late.
func TestTheLargestHolderIsAsked(t *testing.T) {
	b := newTestbed(1_000_000)
	k := b.newManager("p1", noPeers{})
	k.vmAddresses = map[string]string{k.o.VM: "own", "vm-2": "two", "vm-3": "three"}
	r := newRecord()
	r.Holders[k.o.VM] = map[string]GrantEntry{"p1": {Granted: 900_000}}
	r.Holders["vm-2"] = map[string]GrantEntry{"p2": {Granted: 50_000, Spent: 45_000}}
	r.Holders["vm-3"] = map[string]GrantEntry{"p3": {Granted: 20_000, Spent: 1_000}}
	r.Holders["vm-4"] = map[string]GrantEntry{"p4": {Granted: 30_000}}
	p := k.grant("boatyard")
	p.record = r
	vm, address := k.largestOtherHolder(p)
	qt.Assert(t, vm, qt.Equals, "vm-3")
	qt.Assert(t, address, qt.Equals, "three")
	k.unreached["vm-3"] = k.o.Clock().Steady
	_, address = k.largestOtherHolder(p)
	qt.Assert(t, address, qt.Equals, "two")
	b.steady += unreachableBackoff
	_, address = k.largestOtherHolder(p)
	qt.Assert(t, address, qt.Equals, "three")
}

// usedUpPeers have nothing left, and say what they have spent.
type usedUpPeers struct {
	noPeers
	spent int64
}

func (p usedUpPeers) BorrowFrom(context.Context, string, string, int64, string) Loan {
	return Loan{Spent: p.spent}
}

// Guards against callers who are sent back, again and again, for tokens that a router had borrowed when it last wrote.
func TestReportOfAHolderReplacesItsOldFigure(t *testing.T) {
	c := qt.New(t)
	b := newTestbed(100_000)
	b.steady = time.Minute
	record := newRecord().WithEntry("vm-2", "p2", GrantEntry{Seq: 1, Granted: 0, Spent: -17_000}, nil)
	record.Closed, record.ClosedSpent = 100_000, 100_000
	b.store.Put("budget/account/boatyard", record.Encode())
	other := Ledger{Format: ledgerFormat, Incarnation: "p2", Address: "two", Allowances: map[string]Allowance{}}
	b.store.Put("budget/router/vm-2", other.Encode())
	k := b.newManager("p1", usedUpPeers{spent: 0})
	k.syncStore(context.Background(), true)

	h := k.newPendingReservation("boatyard", 8_000, true, "")
	c.Assert(k.shortageError(h), qt.Equals, ErrContended)
	c.Assert(k.requestGathering(h), qt.IsTrue)
	for _, g := range k.takeGatherings() {
		k.runGathering(context.Background(), g)
	}
	c.Assert(k.shortageError(h), qt.Equals, ErrExhausted)
	vm, _ := k.largestOtherHolder(h.grant)
	c.Assert(vm, qt.Equals, "")
	b.steady += usageReportTTL
	c.Assert(k.shortageError(h), qt.Equals, ErrContended, qt.Commentf("the report is old"))
}

// Guards against a report that counts as spent what may come back in a moment.
func TestReportLeavesOutWhatWasJustLent(t *testing.T) {
	c := qt.New(t)
	b, k, _ := startTestbed()
	c.Assert(k.Lend("boatyard", 2_000, noWaiter).Spent, qt.Equals, int64(2_000))
	c.Assert(k.Lend("boatyard", 3_000, noWaiter).Spent, qt.Equals, int64(3_000))
	b.steady += 2 * recentLoanWindow
	c.Assert(k.Lend("boatyard", 0, noWaiter).Spent, qt.Equals, int64(5_000))
}
