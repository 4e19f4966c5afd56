package settle_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytiller.example/chicorytiller/internal/bill"
	"chicorytiller.example/chicorytiller/internal/id"
	"chicorytiller.example/chicorytiller/internal/platform"
	"chicorytiller.example/chicorytiller/internal/settle"
)

var (
	start   = time.Unix(1_000_000, 0).UTC()
	target  = id.Router{VM: "vm-1", Incarnation: 7}
	witness = id.Router{VM: "vm-2", Incarnation: 3}
	another = id.Router{VM: "vm-3", Incarnation: 1}
	sums    = bill.Sums{"paid": 5}
)

func begun(t testing.TB) *settle.RouterRecord {
	record := settle.NewRecord(target.VM)
	qt.Assert(t, record.Begin(target, witness, 2), qt.IsNil)
	return record
}

func sealedRecord(t testing.TB) *settle.RouterRecord {
	record := begun(t)
	qt.Assert(t, record.StartRetire(target.Incarnation), qt.IsNil)
	qt.Assert(t, record.RecordSums(target.Incarnation, sums), qt.IsNil)
	return record
}

// What each party may do in each state. The rows are the safeguards against a
// router that wakes after its settlement, and against a repeated write whose
// first answer was lost.
func TestTransitions(t *testing.T) {
	retiring := func(r *settle.RouterRecord) error { return r.StartRetire(target.Incarnation) }
	doubt := func(r *settle.RouterRecord) error { return r.MarkDoubt(target.Incarnation) }
	finish := func(r *settle.RouterRecord) error { return r.FinishRetire(start, target.Incarnation) }
	record := func(r *settle.RouterRecord) error { return r.RecordSums(target.Incarnation, sums) }
	resolve := func(r *settle.RouterRecord) error { return r.ResolveDoubt(target.Incarnation, sums) }
	leave := func(r *settle.RouterRecord) error { return r.Leave(start, target) }
	sealSelf := func(r *settle.RouterRecord) error { return r.SealSelf(target, sums) }
	prune := func(r *settle.RouterRecord) error { r.Prune(start.Add(settle.KeepRetired)); return nil }
	begin := func(self, by id.Router, epoch uint64) func(*settle.RouterRecord) error {
		return func(r *settle.RouterRecord) error { return r.Begin(self, by, epoch) }
	}
	change := func(by id.Router, epoch uint64) func(*settle.RouterRecord) error {
		return func(r *settle.RouterRecord) error { return r.ChangeWitness(target, by, epoch) }
	}
	type steps []func(*settle.RouterRecord) error
	earlier := id.Router{VM: target.VM, Incarnation: target.Incarnation - 1}
	later := id.Router{VM: target.VM, Incarnation: target.Incarnation + 1}
	cases := []struct {
		name   string
		before steps
		last   func(*settle.RouterRecord) error
		want   error
	}{
		{"begin again after a lost answer", nil, begin(target, witness, 2), nil},
		{"begin again with another witness", nil, begin(target, another, 3), nil},
		{"begin an earlier incarnation", nil, begin(earlier, witness, 1), settle.ErrSuperseded},
		{"begin a later incarnation", steps{retiring}, begin(later, witness, 1), nil},
		{"begin while retired by others", steps{retiring}, begin(target, witness, 2), settle.ErrRetiring},
		{"begin once retired", steps{leave}, begin(target, witness, 2), settle.ErrRetiring},
		{"begin once pruned", steps{leave, prune}, begin(target, witness, 2), settle.ErrRetiring},
		{"begin with its own VM as witness", nil, begin(later, target, 1), settle.ErrBadWitness},
		{"change", nil, change(another, 3), nil},
		{"change again after a lost answer", steps{change(another, 3)}, change(another, 3), nil},
		{"change at the same epoch", nil, change(another, 2), settle.ErrOldEpoch},
		{"change at a lower epoch", nil, change(another, 1), settle.ErrOldEpoch},
		{"change to none", nil, change(id.Router{}, 3), settle.ErrBadWitness},
		{"change while retiring", steps{retiring}, change(another, 3), settle.ErrRetiring},
		{"change to the same while retiring", steps{retiring}, change(witness, 2), settle.ErrRetiring},
		{"change once pruned", steps{leave, prune}, change(another, 3), settle.ErrRetiring},
		{"retire again", steps{retiring}, retiring, nil},
		{"retire once retired", steps{leave}, retiring, settle.ErrNoTenure},
		{"sums before the record says retiring", nil, record, settle.ErrWrongState},
		{"sums twice", steps{retiring, record}, record, settle.ErrWrongState},
		{"doubt once sums are known", steps{retiring, record}, doubt, settle.ErrWrongState},
		{"sums of a lost witness", steps{retiring, doubt}, record, settle.ErrWrongState},
		{"operator resolves doubt", steps{retiring, doubt, resolve}, finish, nil},
		{"operator where there is no doubt", steps{retiring}, resolve, settle.ErrWrongState},
		{"finish without sums", steps{retiring}, finish, settle.ErrWrongState},
		{"finish in doubt", steps{retiring, doubt}, finish, settle.ErrWrongState},
		{"leave again after a lost answer", steps{leave}, leave, nil},
		{"leave while retiring", steps{retiring}, leave, settle.ErrRetiring},
		{"seal itself again", steps{sealSelf}, sealSelf, nil},
		{"seal itself while retiring", steps{retiring}, sealSelf, settle.ErrRetiring},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			r := begun(t)
			for _, step := range test.before {
				qt.Assert(t, step(r), qt.IsNil)
			}
			err := test.last(r)
			if test.want == nil {
				qt.Assert(t, err, qt.IsNil)
			} else {
				qt.Assert(t, err, qt.ErrorIs, test.want)
			}
			data, err := r.Encode()
			qt.Assert(t, err, qt.IsNil)
			again, err := settle.Decode(target.VM, data)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, again.Check(), qt.IsNil)
		})
	}
}

// A settler died after the sums were made durable, and the witness with it. The
// next settler goes on from the record: it asks no witness, closes each shard
// with those sums, retries one that fails, and ends the tenure.
func TestSettlementResumesFromTheRecord(t *testing.T) {
	s := settle.New(target, start, 6)
	read := only[settle.ReadRecord](t, s.Step(start, settle.Tick{}))
	qt.Assert(t, read.Key, qt.Equals, "router/vm-1")
	stale := settle.RecordRead{Op: read.Op + 1, Record: begun(t)}
	qt.Assert(t, s.Step(start, stale), qt.HasLen, 0)

	work := s.Step(start, settle.RecordRead{Op: read.Op, Record: sealedRecord(t), Revision: 4})
	qt.Assert(t, work, qt.HasLen, 4)
	first := work[0].(settle.RetireInShard)
	qt.Assert(t, first.Sums, qt.DeepEquals, sums)
	qt.Assert(t, first.Holder, qt.Equals, target)
	qt.Assert(t, s.Step(start, settle.ShardFailed{Op: first.Op, Shard: first.Shard}), qt.HasLen, 0)
	for len(work) > 1 {
		done := work[1].(settle.RetireInShard)
		work = append(work[:1], work[2:]...)
		work = append(work, s.Step(start, settle.ShardRetired{Op: done.Op, Shard: done.Shard})...)
	}
	now := start.Add(time.Second)
	again := only[settle.RetireInShard](t, s.Step(now, settle.Tick{}))
	qt.Assert(t, again.Shard, qt.Equals, first.Shard)
	qt.Assert(t, s.Step(now, settle.ShardRetired{Op: first.Op, Shard: first.Shard}), qt.HasLen, 0) // late
	write := only[settle.CASRecord](t, s.Step(now, settle.ShardRetired{Op: again.Op, Shard: again.Shard}))
	qt.Assert(t, write.Expect, qt.Equals, platform.Revision(4))
	qt.Assert(t, write.Record.Tenure(target.Incarnation).State, qt.Equals, settle.StateRetired)
	done := only[settle.Done](t, s.Step(now, settle.RecordWritten{Op: write.Op, Revision: 5}))
	qt.Assert(t, done, qt.Equals, settle.Done{Target: target, Witness: witness})
	qt.Assert(t, s.Ended(), qt.IsTrue)
	qt.Assert(t, s.Step(now, settle.Tick{}), qt.HasLen, 0)
}

// The witness is in a part of the network that the settler can't reach. It must
// neither guess nor ask without pause: it asks at growing intervals, and after
// giveUpAfter leaves the settlement to others. The record stays retiring.
func TestSettlementGivesUpOnASilentWitness(t *testing.T) {
	s := settle.New(target, start, 1)
	record := begun(t)
	qt.Assert(t, record.StartRetire(target.Incarnation), qt.IsNil)
	seals := 0
	var event settle.Event = settle.Tick{}
	for now := start; now.Before(start.Add(time.Hour)); now = now.Add(time.Second) {
		actions := s.Step(now, event)
		event = settle.Tick{}
		if len(actions) == 0 {
			continue
		}
		switch action := actions[0].(type) {
		case settle.ReadRecord:
			event = settle.RecordRead{Op: action.Op, Record: record, Revision: 3}
		case settle.SealAt:
			seals++
			qt.Assert(t, action.Epoch, qt.Equals, uint64(2))
			if seals%2 == 0 { // odd ones get no answer at all
				event = settle.SealFailed{Op: action.Op}
			}
		case settle.GaveUp:
			qt.Assert(t, action.Reason, qt.Equals, settle.ReasonTimeout)
			qt.Assert(t, seals > 3 && seals < 20, qt.IsTrue, qt.Commentf("%d seals", seals))
			return
		default:
			t.Fatalf("unexpected %#v", action)
		}
	}
	t.Fatal("never gave up")
}

func only[A settle.Action](t *testing.T, actions []settle.Action) A {
	t.Helper()
	qt.Assert(t, actions, qt.HasLen, 1)
	action, ok := actions[0].(A)
	qt.Assert(t, ok, qt.IsTrue, qt.Commentf("%#v", actions[0]))
	return action
}

// A VM's record comes back damaged: its list claims four billion tenures, or there
// are bytes after its end. It is refused, and the process lives on.
func TestDecodeRefusesDamagedBytes(t *testing.T) {
	c := qt.New(t)
	whole, err := begun(t).Encode()
	c.Assert(err, qt.IsNil)
	for name, data := range map[string][]byte{
		"four billion":   {0x81, 0xa1, 't', 0xdd, 0xff, 0xff, 0xff, 0xff},
		"a million":      {0x81, 0xa1, 't', 0xdd, 0x00, 0x10, 0x00, 0x00},
		"bytes after it": append(append([]byte{}, whole...), 0xc0),
		"cut short":      whole[:len(whole)-1],
	} {
		_, err := settle.Decode(target.VM, data)
		c.Check(err, qt.ErrorIs, settle.ErrBadRecord, qt.Commentf(name))
	}
}

// FuzzDecode: bytes from outside either are refused or are a record that keeps
// its invariants and reads back the same.
func FuzzDecode(f *testing.F) {
	for _, record := range []*settle.RouterRecord{settle.NewRecord(target.VM), begun(f), sealedRecord(f)} {
		data, err := record.Encode()
		qt.Assert(f, err, qt.IsNil)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		record, err := settle.Decode(target.VM, data)
		if err != nil {
			qt.Assert(t, err, qt.ErrorIs, settle.ErrBadRecord)
			return
		}
		qt.Assert(t, record.Check(), qt.IsNil)
		first, err := record.Encode()
		qt.Assert(t, err, qt.IsNil)
		again, err := settle.Decode(target.VM, first)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, len(again.Tenures), qt.Equals, len(record.Tenures))
		qt.Assert(t, again.Latest, qt.Equals, record.Latest)
	})
}
