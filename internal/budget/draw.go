package budget

import (
	"time"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/id"
)

// Draw sets a holder's grant and reports what it spent. All amounts are
// cumulative over the holder's life: Spent <= Floor <= Granted, Floor <= Target.
type Draw struct {
	Budget id.Budget
	Holder id.Router
	Seq    uint64    // the stored one plus 1; the first is 1
	Spent  id.Tokens // settled by the holder
	Floor  id.Tokens // what the holder can't give back: spent and reserved
	Need   id.Tokens // the grant at which its next waiting request could run; 0 or at most Floor: none waits
	Target id.Tokens // the grant wanted; less than Granted gives back
	At     time.Time // by the holder's clock; only for the age of Wants
}

// BudgetID implements Op.
func (op Draw) BudgetID() id.Budget { return op.Budget }

func (op Draw) apply(r *Record, policy Policy) (*Record, bool, error) {
	if r == nil {
		return nil, false, ErrUnknownBudget
	}
	name := op.Holder.String()
	// A settled holder's late draw would take money that nobody settles again,
	// and the settlement has already given its unspent rest to others.
	if _, retired := r.Tombstones[name]; retired {
		return nil, false, errors.Wrap(ErrRetired, name)
	}
	holder := r.Holders[name]
	switch {
	case op.Seq == holder.Seq && op.Seq > 0:
		return r, false, nil
	case op.Seq <= holder.Seq:
		return nil, false, errors.Wrapf(ErrStaleSeq, "%s at %d, draw %d", name, holder.Seq, op.Seq)
	case op.Seq != holder.Seq+1:
		return nil, false, errors.Wrapf(ErrSeqGap, "%s at %d, draw %d", name, holder.Seq, op.Seq)
	}
	if err := op.verify(holder); err != nil {
		return nil, false, err
	}
	r.Holders[name] = Holder{Seq: op.Seq, Granted: op.granted(r, holder, policy), Spent: op.Spent}
	r.noteWant(name, op, policy)
	return r, true, nil
}

// verify refuses amounts that no correct holder sends.
func (op Draw) verify(stored Holder) error {
	inOrder := stored.Spent <= op.Spent && op.Spent <= op.Floor && op.Floor <= stored.Granted && op.Floor <= op.Target
	if !inOrder || op.Need < 0 || op.Need > 2*MaxTotal {
		return errors.Wrapf(ErrInvariant, "%s at %+v, draw %+v", op.Holder, stored, op)
	}
	return nil
}

// granted decides the holder's new grant. A lower target is always met. A raise
// takes at most the holder's share, available / (2 x holders), so that one
// holder can't lock up the last of a budget, or what the next waiting request
// needs, if all of that is there. A part of a need is not given: several
// holders with a part each could run nothing.
func (op Draw) granted(r *Record, stored Holder, policy Policy) id.Tokens {
	if op.Target <= stored.Granted {
		return op.Target
	}
	available := r.Available()
	need := op.Need - stored.Granted
	if need > available {
		return stored.Granted
	}
	holders := len(r.Holders)
	if stored.Seq == 0 {
		holders++
	}
	share := max(available/id.Tokens(2*holders), policy.MinShare, need)
	return stored.Granted + min(op.Target-stored.Granted, share, available)
}

// noteWant keeps the part of the need that was not covered, so that others see
// it and give back, and forgets wants that are met or old.
func (r *Record) noteWant(name string, op Draw, policy Policy) {
	delete(r.Wants, name)
	for other, want := range r.Wants {
		if op.At.Sub(want.At) >= policy.WantTTL {
			delete(r.Wants, other)
		}
	}
	missing := min(op.Need-r.Holders[name].Granted, MaxTotal)
	if missing > 0 {
		r.Wants[name] = Want{Tokens: missing, At: durableTime(op.At)}
	}
}

// Retire settles a holder: what it spent stays spent, the rest is available
// again, and its later draws are refused. It is idempotent. The router is
// retired in budgets where it holds nothing too, so that its first draw, if
// still under way, is refused.
//
// Spent must be exact and final: the holder can't end any answer after it was
// determined. If the holder itself reported more, that counts.
type Retire struct {
	Budget id.Budget
	Holder id.Router
	Spent  id.Tokens // cumulative
	At     time.Time
}

// BudgetID implements Op.
func (op Retire) BudgetID() id.Budget { return op.Budget }

func (op Retire) apply(r *Record, policy Policy) (*Record, bool, error) {
	if r == nil {
		return nil, false, ErrUnknownBudget
	}
	name := op.Holder.String()
	if _, retired := r.Tombstones[name]; retired {
		return r, false, nil
	}
	holder := r.Holders[name]
	if op.Spent < 0 || op.Spent > holder.Granted {
		return nil, false, errors.Wrapf(ErrInvariant, "%s at %+v, retired with %d spent", name, holder, op.Spent)
	}
	r.Closed += max(op.Spent, holder.Spent)
	delete(r.Holders, name)
	delete(r.Wants, name)
	r.dropTombstones(op.At, policy)
	r.Tombstones[name] = durableTime(op.At)
	return r, true, nil
}

// dropTombstones forgets those older than the policy's TombstoneTTL.
func (r *Record) dropTombstones(now time.Time, policy Policy) {
	for name, at := range r.Tombstones {
		if now.Sub(at) >= policy.TombstoneTTL {
			delete(r.Tombstones, name)
		}
	}
}
