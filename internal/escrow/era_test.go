package escrow

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"
)

// recordOf returns a record written in an era with the entries of VMs, each of one incarnation.
func recordOf(era, closed int64, entries map[string]GrantEntry) Record {
	r := newRecord()
	r.Era, r.Closed = era, closed
	for vm, e := range entries {
		r.Entries[vm] = map[string]GrantEntry{"p-" + vm: e}
	}
	return r
}

// Guards against grants that are missing, or counted twice, in a record that is completed after the store lost writes.
func TestRecordIsCompletedByEarlierOne(t *testing.T) {
	atCopy := recordOf(1, 0, map[string]GrantEntry{"a": {Seq: 1, Granted: 100}, "dead": {Seq: 1, Granted: 50}})
	known := earlierRecord{record: recordOf(1, 30, map[string]GrantEntry{"a": {Seq: 3, Granted: 300}}), number: 20}

	restored, lost := atCopy.restored(2, 10, known)
	qt.Check(t, lost, qt.IsTrue)
	qt.Check(t, restored.TotalGranted(), qt.Equals, int64(330), qt.Commentf("the copy's record is an earlier one of the same line"))
	_, lost = restored.restored(2, 40, known)
	qt.Check(t, lost, qt.IsFalse, qt.Commentf("another router has restored it"))

	later := recordOf(1, 30, map[string]GrantEntry{"a": {Seq: 4, Granted: 400}})
	unchanged, lost := later.restored(2, 30, known)
	qt.Check(t, lost, qt.IsFalse)
	qt.Check(t, unchanged.TotalGranted(), qt.Equals, int64(430), qt.Commentf("the copy is newer"))

	old := recordOf(1, 0, map[string]GrantEntry{"dead": {Seq: 1, Granted: 50}})
	closed := earlierRecord{record: recordOf(2, 20, map[string]GrantEntry{"a": {Seq: 1, Granted: 100}}), number: 30}
	closed.record.Base = old.base(15)
	completed, lost := old.restored(3, 15, closed)
	qt.Check(t, lost, qt.IsTrue)
	qt.Check(t, completed.TotalGranted(), qt.Equals, int64(120), qt.Commentf("the copy's record was written two eras ago"))

	rewritten := recordOf(2, 0, map[string]GrantEntry{"a": {Seq: 1, Granted: 100}, "new": {Seq: 1, Granted: 70}})
	rewritten.Base = atCopy.base(10)
	completed, lost = rewritten.restored(2, 40, known)
	qt.Check(t, lost, qt.IsTrue)
	qt.Check(t, completed.TotalGranted(), qt.Equals, int64(30+300+70), qt.Commentf("another router had written it before"))
}

// Guards against overspending after the store has lost a grant twice, the second time with the write of a router that
// wrote it again and ended before it told another.
func TestGrantLostTwiceIsNotDrawnAgain(t *testing.T) {
	c := qt.New(t)
	b := newTestbed(60_000)
	ctx := context.Background()
	lost := b.store.Copy()
	writer, keeper, late := b.newManager("p1", noPeers{}), b.newManager("p2", noPeers{}), b.newManager("p3", noPeers{})
	keeper.opts.VM, keeper.opts.Address = "vm-2", "vm-2"
	late.opts.VM, late.opts.Address = "vm-3", "vm-3"
	writer.syncStore(ctx, true)
	granted := writer.grant("boatyard").granted
	c.Assert(granted > 0, qt.IsTrue)
	keeper.syncStore(ctx, true) // it knows the grant; the writer ends
	b.store.Restore(lost)
	late.syncStore(ctx, true)
	keeper.ObserveEra(b.store.Era())
	keeper.syncStore(ctx, true)
	keeper.syncStore(ctx, true) // it has written the grant again, and ends
	b.store.Restore(lost)
	late.ObserveEra(b.store.Era())
	for range 4 {
		late.syncStore(ctx, true)
		b.steady += restoreSettleTime
	}
	c.Assert(b.accountRecord(c).GrantEntry("vm", "p1").Granted, qt.Equals, granted)
}
