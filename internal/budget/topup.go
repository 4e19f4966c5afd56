package budget

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/id"
)

// TopUp pays into a budget; the first one makes its record. It is idempotent by
// ID. A repeat must carry the At of the first try: an unknown ID whose At is in
// the folded past is refused, because it may be counted already.
type TopUp struct {
	Budget  id.Budget
	Account id.ClientAccount
	ID      string
	Amount  id.Tokens
	At      time.Time
}

// BudgetID implements Op.
func (op TopUp) BudgetID() id.Budget { return op.Budget }

func (op TopUp) apply(r *Record, policy Policy) (*Record, bool, error) {
	if op.Budget == "" || op.ID == "" {
		return nil, false, errors.Wrap(ErrInvariant, "top-up without a budget or an id")
	}
	if op.Amount <= 0 || op.Amount > MaxTotal {
		return nil, false, errors.Wrapf(ErrBadAmount, "top-up of %d", op.Amount)
	}
	if r == nil {
		r = newRecord(op.Account)
	}
	if r.Account != op.Account {
		return nil, false, errors.Wrapf(ErrAccountMismatch, "top-up for %s", op.Account)
	}
	seen := slices.IndexFunc(r.TopUps, func(entry TopUpEntry) bool { return entry.ID == op.ID })
	if seen >= 0 {
		return op.repeat(r, r.TopUps[seen])
	}
	at := durableTime(op.At)
	// Without this a retry after the window would be counted a second time.
	if !at.After(r.FoldedThrough) {
		return nil, false, errors.Wrapf(ErrTopUpTooOld, "top-up %s of %s", op.ID, at)
	}
	if op.Amount > MaxTotal-r.TotalTopUps() {
		return nil, false, errors.Wrapf(ErrBadAmount, "top-ups would pass %d", MaxTotal)
	}
	if err := r.foldTopUps(at, policy); err != nil {
		return nil, false, err
	}
	r.TopUps = append(r.TopUps, TopUpEntry{ID: op.ID, Amount: op.Amount, At: at})
	return r, true, nil
}

func (op TopUp) repeat(r *Record, first TopUpEntry) (*Record, bool, error) {
	if first.Amount != op.Amount {
		return nil, false, errors.Wrapf(ErrTopUpConflict, "top-up %s of %d, first %d", op.ID, op.Amount, first.Amount)
	}
	return r, false, nil
}

// foldTopUps sums top-ups which left the window, and makes room for one more.
func (r *Record) foldTopUps(now time.Time, policy Policy) error {
	r.foldBefore(now.Add(-policy.TopUpWindow))
	excess := len(r.TopUps) + 1 - policy.TopUpCap
	if excess <= 0 {
		return nil
	}
	times := make([]time.Time, 0, len(r.TopUps))
	for _, entry := range r.TopUps {
		times = append(times, entry.At)
	}
	slices.SortFunc(times, time.Time.Compare)
	latest := times[excess-1]
	if latest.After(now.Add(-policy.TopUpMinWindow)) {
		return errors.Wrapf(ErrTooManyTopUps, "%d kept", len(r.TopUps))
	}
	r.foldBefore(latest)
	return nil
}

// foldBefore folds the top-ups up to and at the given time.
func (r *Record) foldBefore(through time.Time) {
	kept := r.TopUps[:0]
	for _, entry := range r.TopUps {
		if entry.At.After(through) {
			kept = append(kept, entry)
			continue
		}
		r.Folded += entry.Amount
		if entry.At.After(r.FoldedThrough) {
			r.FoldedThrough = entry.At
		}
	}
	r.TopUps = kept
}
