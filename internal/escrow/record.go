// Package escrow hands out prepaid tokens: a router spends only out of grants that
// a durable record per client account counts as given out, so that no schedule of
// failures can spend more than was paid.
//
// The record holds, per router incarnation, the total granted to it as an absolute
// figure. A router is the only writer of its own figure and never spends beyond the
// last one that it knows to be stored, so the sum of all figures bounds what was
// spent. Planned stops return what is left; of a router that died, its successor
// on the same VM frees what it surely has not spent (see Ledger).
package escrow

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// GrantEntry is what one router incarnation was granted.
type GrantEntry struct {
	// Seq counts the incarnation's writes; zero means that it has no figure.
	Seq int64 `json:"seq"`
	// Granted is the total of tokens given out to it.
	Granted int64 `json:"granted"`
	// Spent is what it had spent of them at that write, with what it lent to others
	// and without what it borrowed from them; so it can be negative.
	Spent int64 `json:"spent"`
}

// Record is the durable state of one account's budget.
type Record struct {
	Format int `json:"format"`
	// Closed is what incarnations that are no longer listed can have spent at most.
	Closed int64 `json:"closed"`
	// ClosedSpent is what they spent at least.
	ClosedSpent int64 `json:"closed_spent"`
	// Holders is by VM, then by incarnation.
	Holders map[string]map[string]GrantEntry `json:"holders"`
}

// recordFormat is the version of the stored forms.
const recordFormat = 1

// ErrInvalidRecord: a stored record can't be used. Nothing is granted on it.
var ErrInvalidRecord = errors.New("escrow: unusable record")

// newRecord is the record of an account that was never granted anything.
func newRecord() Record {
	return Record{Format: recordFormat, Holders: map[string]map[string]GrantEntry{}}
}

// DecodeRecord reads a stored record.
func DecodeRecord(data []byte) (Record, error) {
	r := newRecord()
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, errors.Wrap(ErrInvalidRecord, err.Error())
	}
	if r.Format != recordFormat || r.Closed < 0 {
		return Record{}, errors.Wrapf(ErrInvalidRecord, "format %d, closed %d", r.Format, r.Closed)
	}
	for _, incarnations := range r.Holders {
		for _, f := range incarnations {
			if f.Granted < 0 {
				return Record{}, errors.Wrap(ErrInvalidRecord, "negative grant")
			}
		}
	}
	if r.Holders == nil {
		r.Holders = map[string]map[string]GrantEntry{}
	}
	return r, nil
}

// Encode gives the stored form.
func (r Record) Encode() []byte {
	data, err := json.Marshal(r)
	if err != nil {
		panic(err) // plain integers and strings always encode
	}
	return data
}

// TotalGranted is the tokens given out in all.
func (r Record) TotalGranted() int64 {
	sum := r.Closed
	r.forEachEntry(func(f GrantEntry) { sum += f.Granted })
	return sum
}

// MinSpent is what was surely spent: the figures lag behind.
func (r Record) MinSpent() int64 {
	sum := r.ClosedSpent
	r.forEachEntry(func(f GrantEntry) { sum += f.Spent })
	return sum
}

// SpentBy is what the incarnations of a VM have surely spent.
func (r Record) SpentBy(vm string) int64 {
	sum := int64(0)
	for _, f := range r.Holders[vm] {
		sum += f.Spent
	}
	return sum
}

// GrantedTo is what the incarnations of a VM were granted.
func (r Record) GrantedTo(vm string) int64 {
	sum := int64(0)
	for _, f := range r.Holders[vm] {
		sum += f.Granted
	}
	return sum
}

func (r Record) forEachEntry(visit func(GrantEntry)) {
	for _, incarnations := range r.Holders {
		for _, f := range incarnations {
			visit(f)
		}
	}
}

// GrantEntry returns the figure of one incarnation.
func (r Record) GrantEntry(vm, incarnation string) GrantEntry {
	return r.Holders[vm][incarnation]
}

// HasOtherEntries says whether the record still lists incarnations of a VM other than the
// present one.
func (r Record) HasOtherEntries(vm, present string) bool {
	for incarnation := range r.Holders[vm] {
		if incarnation != present {
			return true
		}
	}
	return false
}

// MaxSpentFunc is the most that a dead incarnation can have spent of its grant.
type MaxSpentFunc func(incarnation string, figure GrantEntry) int64

// WithEntry returns a copy in which an incarnation has the given figure. Earlier
// incarnations of the same VM are closed: their processes are gone.
func (r Record) WithEntry(vm, incarnation string, f GrantEntry, mostSpent MaxSpentFunc) Record {
	next := r.withoutVM(vm, incarnation, mostSpent)
	next.Holders[vm] = map[string]GrantEntry{incarnation: f}
	return next
}

// WithoutEntry returns a copy in which an incarnation has stopped, having used exactly
// used and returned the rest.
func (r Record) WithoutEntry(vm, incarnation string, used int64, mostSpent MaxSpentFunc) Record {
	next := r.withoutVM(vm, incarnation, mostSpent)
	next.Closed += used
	next.ClosedSpent += used
	return next
}

// withoutVM copies the record without the VM's figures; all of them but the present
// incarnation's are closed.
func (r Record) withoutVM(vm, present string, mostSpent MaxSpentFunc) Record {
	next := Record{Format: recordFormat, Closed: r.Closed, ClosedSpent: r.ClosedSpent,
		Holders: make(map[string]map[string]GrantEntry, len(r.Holders)+1)}
	for name, incarnations := range r.Holders {
		if name != vm {
			next.Holders[name] = incarnations
		}
	}
	for incarnation, f := range r.Holders[vm] {
		if incarnation != present {
			next.Closed += mostSpent(incarnation, f)
			next.ClosedSpent += f.Spent
		}
	}
	return next
}
