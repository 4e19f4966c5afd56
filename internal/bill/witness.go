package bill

import (
	"time"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/dedup"
	"chicorytiller.example/chicorytiller/internal/id"
)

// Errors of a witness.
var (
	// ErrSealed: the router was sealed here; it must stop serving.
	ErrSealed = errors.New("bill: router is sealed")
	// ErrOldEpoch: an adoption older than the one in force arrived late.
	ErrOldEpoch = errors.New("bill: adoption of an earlier epoch")
)

// HoldResult says what the witness did with one bill.
type HoldResult int

// Results of Hold. After a refusal the end of the answer must not be sent.
const (
	// Held: the bill is held and counted now.
	Held HoldResult = iota + 1
	// AlreadyHeld: it was held before; it is not counted again.
	AlreadyHeld
	// RefusedSealed: others settle the sender, which must stop serving.
	RefusedSealed
	// RefusedMoved: another router has taken over the bill's key.
	RefusedMoved
	// RefusedNotAdopted: this witness doesn't know the sender at the bill's
	// epoch (it restarted, or the bill is late). Change the witness.
	RefusedNotAdopted
	// RefusedStale: the sender has said that it is done with this bill.
	RefusedStale
	// RefusedFull: no room for more bills of the sender. Change the witness.
	RefusedFull
)

// Accepted tells whether the bill is held.
func (r HoldResult) Accepted() bool {
	return r == Held || r == AlreadyHeld
}

// Witness is what this router holds for others, for each router incarnation.
// Its memory is the only copy beside the sender's own, so a restarted witness
// knows no router, and says so.
type Witness struct {
	keep  time.Duration
	max   int // bills kept for each router
	wards map[id.Router]*ward
	// retired is the highest settled incarnation of each VM: some ten bytes a
	// VM for the life of the process. A VM's incarnations only grow.
	retired map[id.VM]id.Incarnation
}

// NewWitness makes an empty witness, which keeps the details of a bill for keep
// and of at most maxBills for each router. keep must be longer than the
// retention of idempotency keys by the longest time a claim may be under way.
func NewWitness(keep time.Duration, maxBills int) *Witness {
	return &Witness{
		keep:    keep,
		max:     maxBills,
		wards:   make(map[id.Router]*ward),
		retired: make(map[id.VM]id.Incarnation),
	}
}

// Adopt makes this the witness of a router from the given epoch on. The sums and
// recent bills are those of Book.BeginChange. A repeated Adopt changes nothing.
// It returns ErrSealed or ErrOldEpoch.
func (w *Witness) Adopt(now time.Time, from id.Router, epoch uint64, sums Sums, recent []Bill) error {
	known, found := w.wards[from]
	if w.Sealed(from) {
		return errors.Wrapf(ErrSealed, "router %s", from)
	}
	if found && epoch < known.epoch {
		return errors.Wrapf(ErrOldEpoch, "router %s", from)
	}
	if found && epoch == known.epoch {
		return nil
	}
	adopted := newWard(epoch, sums)
	if found {
		adopted.moved = known.moved
	}
	for _, bill := range recent {
		adopted.keepDetails(now, bill)
	}
	w.wards[from] = adopted
	return nil
}

// Hold takes bills of a router and returns one result for each, in their order.
func (w *Witness) Hold(now time.Time, from id.Router, bills []Bill) []HoldResult {
	results := make([]HoldResult, len(bills))
	known, found := w.wards[from]
	for i, bill := range bills {
		if !found {
			results[i] = w.refuseUnknown(from)
			continue
		}
		results[i] = known.hold(now, bill, w.keep, w.max)
	}
	return results
}

func (w *Witness) refuseUnknown(from id.Router) HoldResult {
	if w.Sealed(from) {
		return RefusedSealed
	}
	return RefusedNotAdopted
}

// Seal ends the holding of bills for a router: from now on each bill of it is
// refused. It returns the sums of all its bills and may be repeated. The epoch is
// that of the router's durable record.
//
// Known is false when this witness can't vouch for the sums: it never adopted
// the router, or only before that epoch. Then they prove nothing and must not be
// read as zero: answers were billed that this witness has not seen.
func (w *Witness) Seal(r id.Router, epoch uint64) (sums Sums, known bool) {
	sealed, found := w.wards[r]
	if !found {
		// The seal is kept all the same: a late Adopt must not bring r back.
		sealed = newWard(0, nil)
		w.wards[r] = sealed
	}
	sealed.sealed = true
	if sealed.epoch == 0 || sealed.epoch < epoch {
		return nil, false
	}
	sealed.vouched = true
	return sealed.sums.Clone(), true
}

// Sealed tells whether a router has been sealed here.
//
// Failure: copies of an Adopt and a Hold of a router that was settled long ago
// arrive, and the router, paused until now, takes the answer for its bill. So
// it is remembered which incarnations were settled when all else is dropped.
func (w *Witness) Sealed(r id.Router) bool {
	known, found := w.wards[r]
	if found {
		return known.sealed
	}
	return r.Incarnation <= w.retired[r.VM]
}

// ClaimOutcome is the result of ClaimKey.
type ClaimOutcome int

// Outcomes of ClaimKey.
const (
	// ClaimBilled: the request of the key was billed; don't bill it again.
	ClaimBilled ClaimOutcome = iota + 1
	// ClaimMoved: it was not billed here, and from now on bills of it by the
	// earlier router are refused.
	ClaimMoved
	// ClaimUnknown: this witness never adopted the router: nothing is proved.
	ClaimUnknown
)

// KeyClaim is the answer to ClaimKey.
type KeyClaim struct {
	Outcome ClaimOutcome `msgpack:"o"`
	Bill    Bill         `msgpack:"b"` // set when billed
	// Final: the router is sealed. Before that a claim says only what is so at
	// this witness: a router that is alive may take another witness, which
	// knows nothing of the claim, and be billed for the key there. A retry must
	// not be billed on a claim that isn't final.
	Final bool `msgpack:"f"`
}

// ClaimKey asks for the bill of a key that router r served, and moves the key
// away from r if there is none.
func (w *Witness) ClaimKey(now time.Time, r id.Router, key dedup.Key) KeyClaim {
	known, found := w.wards[r]
	if !found || known.epoch == 0 {
		return KeyClaim{Outcome: ClaimUnknown}
	}
	if request, billed := known.keys[key]; billed {
		return KeyClaim{Outcome: ClaimBilled, Bill: known.bills[request].bill, Final: known.sealed}
	}
	known.moved[key] = now
	return KeyClaim{Outcome: ClaimMoved, Final: known.sealed}
}

// Forget drops the details of bills that are older than the time to keep them.
// Sums stay until the router is settled.
func (w *Witness) Forget(now time.Time) {
	for r, known := range w.wards {
		known.forget(now, w.keep)
		if known.settled && now.Sub(known.settledAt) >= w.keep {
			delete(w.wards, r)
		}
	}
}

// Settled is told of a router whose durable record says that it is retired, by a
// settlement or by its own planned stop. Its bills are kept for keep once more,
// for retries under their keys; then all that is held for it is dropped.
func (w *Witness) Settled(now time.Time, r id.Router) {
	w.retired[r.VM] = max(w.retired[r.VM], r.Incarnation)
	known, found := w.wards[r]
	if !found || known.settled {
		return
	}
	known.sealed = true
	known.settled = true
	known.settledAt = now
}

// Find returns the bill of a request of any router, if its details are kept.
func (w *Witness) Find(request id.Request) (Bill, bool) {
	for _, known := range w.wards {
		if entry, found := known.bills[request]; found {
			return entry.bill, true
		}
	}
	return Bill{}, false
}

// Routers lists the routers that this witness holds bills or seals for.
func (w *Witness) Routers() []id.Router {
	out := make([]id.Router, 0, len(w.wards))
	for r := range w.wards {
		out = append(out, r)
	}
	return out
}

// Check returns an error if an invariant is broken: sums == base + held bills.
func (w *Witness) Check() error {
	for r, known := range w.wards {
		if err := known.check(); err != nil {
			return errors.Wrapf(err, "witness for %s", r)
		}
	}
	return nil
}
