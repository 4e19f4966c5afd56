package settle

import (
	"chicorytiller.example/chicorytiller/internal/bill"
	"chicorytiller.example/chicorytiller/internal/id"
	"chicorytiller.example/chicorytiller/internal/platform"
)

// Op numbers the actions of one Settlement. The event that answers an action
// carries the action's Op; answers to actions given up meanwhile are ignored.
type Op uint64

// Event is what happened to an action, or a Tick.
type Event interface{ isEvent() }

// Events.
type (
	// Tick lets time pass. Send one about every second.
	Tick struct{}
	// RecordRead answers ReadRecord. A missing key has Revision zero and the
	// record that Decode makes of no data.
	RecordRead struct {
		Op       Op
		Record   *RouterRecord
		Revision platform.Revision
	}
	// RecordWritten answers CASRecord: it took effect.
	RecordWritten struct {
		Op       Op
		Revision platform.Revision
	}
	// Conflict answers CASRecord: the record has changed since it was read.
	Conflict struct{ Op Op }
	// Unknown answers CASRecord: it may or may not have taken effect.
	Unknown struct{ Op Op }
	// Failed answers ReadRecord or CASRecord: nothing was read or written.
	Failed struct{ Op Op }
	// Sealed answers SealAt with the result of bill.Witness.Seal.
	Sealed struct {
		Op    Op
		Sums  bill.Sums
		Known bool
	}
	// SealFailed answers SealAt: no answer of the witness. Gone is set when the
	// witness incarnation is certain never to answer again, for instance since
	// another incarnation answers at its VM.
	SealFailed struct {
		Op   Op
		Gone bool
	}
	// ShardRetired answers RetireInShard: the shard's record holds the retirement.
	ShardRetired struct {
		Op    Op
		Shard int
	}
	// ShardFailed answers RetireInShard: not done, or not known to be.
	ShardFailed struct {
		Op    Op
		Shard int
	}
)

func (Tick) isEvent()          {}
func (RecordRead) isEvent()    {}
func (RecordWritten) isEvent() {}
func (Conflict) isEvent()      {}
func (Unknown) isEvent()       {}
func (Failed) isEvent()        {}
func (Sealed) isEvent()        {}
func (SealFailed) isEvent()    {}
func (ShardRetired) isEvent()  {}
func (ShardFailed) isEvent()   {}

// Action is what the Settlement wants done.
type Action interface{ isAction() }

// Actions.
type (
	// ReadRecord asks for the record at Key.
	ReadRecord struct {
		Op  Op
		Key string
	}
	// CASRecord writes the record if its key is still at revision Expect.
	CASRecord struct {
		Op     Op
		Key    string
		Record *RouterRecord
		Expect platform.Revision
	}
	// SealAt asks the witness for bill.Witness.Seal(Target, Epoch).
	SealAt struct {
		Op      Op
		Witness id.Router
		Target  id.Router
		Epoch   uint64
	}
	// RetireInShard closes each grant of Holder in a budget shard: a budget that
	// Sums names was spent by that many tokens, any other by none; the rest is
	// free again, and later draws of Holder are refused. Idempotent.
	RetireInShard struct {
		Op     Op
		Shard  int
		Holder id.Router
		Sums   bill.Sums // shared: read only
	}
	// Done ends the settlement: the target is retired. If Witness is set, tell it
	// so (bill.Witness.Settled).
	Done struct {
		Target  id.Router
		Witness id.Router
	}
	// GaveUp ends the settlement without a result.
	GaveUp struct {
		Target id.Router
		Reason Reason
	}
)

func (ReadRecord) isAction()    {}
func (CASRecord) isAction()     {}
func (SealAt) isAction()        {}
func (RetireInShard) isAction() {}
func (Done) isAction()          {}
func (GaveUp) isAction()        {}

// Reason says why a settlement gave up.
type Reason string

// Reasons.
const (
	// ReasonWitnessLost: the sums can't be known; the money stays in doubt until
	// an operator settles it. The record says so.
	ReasonWitnessLost Reason = "witness_lost"
	// ReasonTimeout: the witness or the platform didn't answer for long. Any
	// router may start another Settlement, which goes on from the record.
	ReasonTimeout Reason = "timeout"
	// ReasonRecord: the record is in a state that this program doesn't know.
	ReasonRecord Reason = "bad_record"
)
