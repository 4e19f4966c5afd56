// Package settle decides how the money of a dead router is settled, so that no
// certainty of its death is needed. A RouterRecord is the durable record of the
// routers of one VM; its CAS decides every race between a router and those who
// settle it. A Settlement is the state machine that settles one router. Both are
// pure: the time is passed in, and package control does the calls.
package settle

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/bill"
	"chicorytiller.example/chicorytiller/internal/codec"
	"chicorytiller.example/chicorytiller/internal/id"
	"chicorytiller.example/chicorytiller/internal/platform"
)

// recordFormat is the version of the encoding. A record of a later format is
// refused rather than read wrongly.
const recordFormat = 1

// recordKeyPrefix begins the key of each router record.
const recordKeyPrefix = "router/"

// Errors of router records.
var (
	// ErrRetiring: others settle this incarnation, or have settled it. The
	// router must fence itself: drop its grants, end no answer, start anew.
	ErrRetiring = errors.New("settle: incarnation is retired by others")
	// ErrSuperseded: a later incarnation of the VM has begun.
	ErrSuperseded = errors.New("settle: a later incarnation of the VM has begun")
	// ErrNoTenure: the record has no such incarnation that isn't retired.
	ErrNoTenure = errors.New("settle: no such tenure")
	// ErrWrongState: the tenure is not in a state from which the step is allowed.
	ErrWrongState = errors.New("settle: tenure is in another state")
	// ErrOldEpoch: an epoch that is not above the tenure's.
	ErrOldEpoch = errors.New("settle: epoch does not grow")
	// ErrBadWitness: a router can't be its own witness, nor can none be.
	ErrBadWitness = errors.New("settle: witness must be another VM's router")
	// ErrBadRecord: the bytes of a record can't be read or contradict themselves.
	ErrBadRecord = errors.New("settle: bad router record")
	// ErrTooManyTenures: the VM has too many unsettled incarnations to begin one
	// more; settle some first.
	ErrTooManyTenures = errors.New("settle: too many unsettled incarnations")
)

// KeepRetired is how long a retired tenure stays in the record. It must be
// longer than the retention of idempotency keys.
const KeepRetired = 15 * time.Minute

// maxTenures bounds the record of a VM whose router restarts again and again
// while nothing can be settled.
const maxTenures = 64

// State is how far the settlement of an incarnation has come. It only grows.
type State uint8

// States of a tenure.
const (
	// StateActive: the router may bill through its witness.
	StateActive State = iota + 1
	// StateRetiring: the witness can't be changed any more; it is being sealed.
	StateRetiring
	// StateSealed: sealed, the billed sums are in the record.
	StateSealed
	// StateDoubt: the witness is lost, so the sums are unknown. The grants stay
	// out until an operator settles them.
	StateDoubt
	// StateRetired: all its grants are settled. The tenure is kept for KeepRetired,
	// so that a retry finds the witness which knows whether its key was billed.
	StateRetired
)

var stateNames = map[State]string{
	StateActive:   "active",
	StateRetiring: "retiring",
	StateSealed:   "sealed",
	StateDoubt:    "in_doubt",
	StateRetired:  "retired",
}

// String gives the name that logs and operators see.
func (s State) String() string {
	name, found := stateNames[s]
	if !found {
		return "unknown"
	}
	return name
}

// Tenure is the life of one router incarnation, as far as it is not settled.
type Tenure struct {
	Incarnation id.Incarnation `msgpack:"i"`
	Witness     id.Router      `msgpack:"w"`
	Epoch       uint64         `msgpack:"e"` // grows with each change of witness
	State       State          `msgpack:"s"`
	Sums        bill.Sums      `msgpack:"b,omitempty"` // what was billed, while sealed
	// RetiredMS is when it was retired, in Unix milliseconds. It is no time.Time,
	// since msgpack v5.4.1 panics on a nil in a time's place.
	RetiredMS int64 `msgpack:"r"`
}

// RouterRecord is the value of the key RecordKey(VM).
type RouterRecord struct {
	Format uint8 `msgpack:"f"`
	VM     id.VM `msgpack:"v"`
	// Latest is the highest incarnation that ever began, so that one which has
	// been pruned can't begin again.
	Latest  id.Incarnation `msgpack:"l"`
	Tenures []Tenure       `msgpack:"t"` // by incarnation, lowest first
}

// RecordKey is the key of a VM's record in the key-value service.
func RecordKey(vm id.VM) string {
	return recordKeyPrefix + string(vm)
}

// NewRecord is the record of a VM that has none yet.
func NewRecord(vm id.VM) *RouterRecord {
	return &RouterRecord{Format: recordFormat, VM: vm}
}

// Decode reads a record of the given VM. No data gives a new record. It returns
// ErrBadRecord.
func Decode(vm id.VM, data []byte) (*RouterRecord, error) {
	if len(data) == 0 {
		return NewRecord(vm), nil
	}
	record := &RouterRecord{}
	if err := codec.Unmarshal(data, record, platform.MaxValueBytes); err != nil {
		return nil, errors.Wrapf(ErrBadRecord, "decode: %v", err)
	}
	if record.VM != vm {
		return nil, errors.Wrapf(ErrBadRecord, "of VM %q, not %q", record.VM, vm)
	}
	if err := record.Check(); err != nil {
		return nil, err
	}
	return record, nil
}

// Encode writes the record. It returns ErrBadRecord or platform.ErrValueTooLarge.
func (r *RouterRecord) Encode() ([]byte, error) {
	if err := r.Check(); err != nil {
		return nil, err
	}
	data, err := codec.Marshal(r)
	if err != nil {
		return nil, errors.Wrap(ErrBadRecord, err.Error())
	}
	if len(data) > platform.MaxValueBytes {
		return nil, errors.Wrapf(platform.ErrValueTooLarge, "record of VM %q", r.VM)
	}
	return data, nil
}

// Check returns ErrBadRecord if the record contradicts itself.
func (r *RouterRecord) Check() error {
	if r.Format != recordFormat {
		return errors.Wrapf(ErrBadRecord, "format %d, not %d", r.Format, recordFormat)
	}
	before := id.Incarnation(0)
	for _, tenure := range r.Tenures {
		if tenure.Incarnation <= before || tenure.Incarnation > r.Latest {
			return errors.Wrapf(ErrBadRecord, "incarnation %d out of order", tenure.Incarnation)
		}
		if _, known := stateNames[tenure.State]; !known {
			return errors.Wrapf(ErrBadRecord, "state %d", tenure.State)
		}
		if err := checkSums(tenure); err != nil {
			return err
		}
		before = tenure.Incarnation
	}
	return nil
}

// checkSums: negative sums would give out money anew, and only a sealed tenure
// has any.
func checkSums(tenure Tenure) error {
	if len(tenure.Sums) > 0 && tenure.State != StateSealed {
		return errors.Wrapf(ErrBadRecord, "sums in state %s", tenure.State)
	}
	for budget, tokens := range tenure.Sums {
		if tokens < 0 {
			return errors.Wrapf(ErrBadRecord, "sum %d of budget %q", tokens, budget)
		}
	}
	return nil
}

// Clone copies the record, so that a write that fails leaves the original as it
// was read.
func (r *RouterRecord) Clone() *RouterRecord {
	out := *r
	out.Tenures = make([]Tenure, len(r.Tenures))
	copy(out.Tenures, r.Tenures)
	return &out
}

// Tenure returns the tenure of an incarnation, nil if it never was or is pruned.
func (r *RouterRecord) Tenure(incarnation id.Incarnation) *Tenure {
	for i := range r.Tenures {
		if r.Tenures[i].Incarnation == incarnation {
			return &r.Tenures[i]
		}
	}
	return nil
}

// Unsettled returns the tenures that aren't retired, the live one included.
func (r *RouterRecord) Unsettled() []Tenure {
	out := []Tenure{}
	for _, tenure := range r.Tenures {
		if tenure.State != StateRetired {
			out = append(out, tenure)
		}
	}
	return out
}

// Prune drops tenures that were retired KeepRetired ago. Latest keeps them from
// beginning again.
func (r *RouterRecord) Prune(now time.Time) {
	r.Tenures = slices.DeleteFunc(r.Tenures, func(tenure Tenure) bool {
		return tenure.State == StateRetired && now.Sub(time.UnixMilli(tenure.RetiredMS)) >= KeepRetired
	})
}
