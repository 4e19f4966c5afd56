package escrow

import (
	"testing"

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
	b := newBench(1_000_000)
	k := b.keeper("p1", noPeers{})
	k.addresses = map[string]string{k.o.VM: "own", "vm-2": "two", "vm-3": "three"}
	r := newRecord()
	r.Holders[k.o.VM] = map[string]Figure{"p1": {Granted: 900_000}}
	r.Holders["vm-2"] = map[string]Figure{"p2": {Granted: 50_000, Spent: 45_000}}
	r.Holders["vm-3"] = map[string]Figure{"p3": {Granted: 20_000, Spent: 1_000}}
	r.Holders["vm-4"] = map[string]Figure{"p4": {Granted: 30_000}}
	vm, address := k.largestElsewhere(r)
	qt.Assert(t, vm, qt.Equals, "vm-3")
	qt.Assert(t, address, qt.Equals, "three")
	k.unreached["vm-3"] = k.o.Clock().Steady
	_, address = k.largestElsewhere(r)
	qt.Assert(t, address, qt.Equals, "two")
	b.steady += unreachedFor
	_, address = k.largestElsewhere(r)
	qt.Assert(t, address, qt.Equals, "three")
}
