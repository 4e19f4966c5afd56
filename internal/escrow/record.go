// Package escrow limits the spending of prepaid tokens across routers. A router spends
// only tokens that a durable record, one per client account, shows as granted to it, so
// that no sequence of failures leads to more spending than was paid for.
//
// The record holds one entry per router incarnation (one run of the router process) with
// the total granted to it as an absolute number. A router is the only writer of its own
// entry and never spends more than the last value it knows to be stored, so the sum of
// all entries bounds total spending. A planned stop returns unspent tokens. After a
// crash, the next process on the same VM frees what its predecessor cannot have spent
// (see Ledger).
package escrow

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// GrantEntry holds the tokens granted to one router incarnation.
type GrantEntry struct {
	// Seq counts the incarnation's writes; zero means that it has no entry.
	Seq int64 `json:"seq"`
	// Granted is the total number of tokens granted to it.
	Granted int64 `json:"granted"`
	// Spent is what it had spent at that write, plus tokens lent to other routers and
	// minus tokens borrowed from them, so it can be negative.
	Spent int64 `json:"spent"`
}

// Record is the durable state of one account's budget.
type Record struct {
	Format int `json:"format"`
	// Closed is the most that incarnations no longer listed can have spent.
	Closed int64 `json:"closed"`
	// ClosedSpent is the least that they spent.
	ClosedSpent int64 `json:"closed_spent"`
	// Entries is keyed by VM, then by incarnation.
	Entries map[string]map[string]GrantEntry `json:"holders"`
	// Era is the store's era at the last write.
	Era int64 `json:"era,omitempty"`
	// Base is the latest record of an earlier era that this one contains; nil: none.
	Base *RecordBase `json:"base,omitempty"`
}

// recordFormat is the version of the stored form of a Record.
const recordFormat = 1

// ErrInvalidRecord means that a stored record or ledger can't be used. Nothing is granted
// from such a record.
var ErrInvalidRecord = errors.New("escrow: unusable record")

// newRecord returns the record of an account that has no grants yet.
func newRecord() Record {
	return Record{Format: recordFormat, Entries: map[string]map[string]GrantEntry{}}
}

func DecodeRecord(data []byte) (Record, error) {
	r := newRecord()
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, errors.Wrap(ErrInvalidRecord, err.Error())
	}
	if r.Format != recordFormat || r.Closed < 0 {
		return Record{}, errors.Wrapf(ErrInvalidRecord, "format %d, closed %d", r.Format, r.Closed)
	}
	for _, incarnations := range r.Entries {
		for incarnation, e := range incarnations {
			// Routers of earlier versions stored negative grants. Zero is on the safe side, since it leaves
			// less to grant to others.
			e.Granted = max(0, e.Granted)
			incarnations[incarnation] = e
		}
	}
	if r.Entries == nil {
		r.Entries = map[string]map[string]GrantEntry{}
	}
	return r, nil
}

func (r Record) Encode() []byte {
	data, err := json.Marshal(r)
	if err != nil {
		panic(err) // plain integers and strings always encode
	}
	return data
}

// TotalGranted returns all tokens that are granted or counted as spent.
func (r Record) TotalGranted() int64 {
	sum := r.Closed
	r.forEachEntry(func(e GrantEntry) { sum += e.Granted })
	return sum
}

// MinSpent returns the least that was spent; entries lag behind the actual use.
func (r Record) MinSpent() int64 {
	sum := r.ClosedSpent
	r.forEachEntry(func(e GrantEntry) { sum += e.Spent })
	return sum
}

// SpentBy returns the least that the listed incarnations of a VM have spent.
func (r Record) SpentBy(vm string) int64 {
	sum := int64(0)
	for _, e := range r.Entries[vm] {
		sum += e.Spent
	}
	return sum
}

// GrantedTo returns the tokens granted to the listed incarnations of a VM.
func (r Record) GrantedTo(vm string) int64 {
	sum := int64(0)
	for _, e := range r.Entries[vm] {
		sum += e.Granted
	}
	return sum
}

func (r Record) forEachEntry(visit func(GrantEntry)) {
	for _, incarnations := range r.Entries {
		for _, e := range incarnations {
			visit(e)
		}
	}
}

// GrantEntry returns the entry of one incarnation, or the zero value if it has none.
func (r Record) GrantEntry(vm, incarnation string) GrantEntry {
	return r.Entries[vm][incarnation]
}

// HasOtherEntries reports whether the record lists incarnations of a VM other than the
// present one.
func (r Record) HasOtherEntries(vm, present string) bool {
	for incarnation := range r.Entries[vm] {
		if incarnation != present {
			return true
		}
	}
	return false
}

// MaxSpentFunc returns the most that a dead incarnation can have spent of its grant.
type MaxSpentFunc func(incarnation string, entry GrantEntry) int64

// WithEntry returns a copy in which an incarnation has the given entry. Earlier
// incarnations of the same VM are closed, since their processes are gone.
func (r Record) WithEntry(vm, incarnation string, e GrantEntry, maxSpent MaxSpentFunc) Record {
	next := r.withoutVM(vm, incarnation, maxSpent)
	next.Entries[vm] = map[string]GrantEntry{incarnation: e}
	return next
}

// WithoutEntry returns a copy in which an incarnation has stopped after spending exactly
// used tokens and returning the rest.
func (r Record) WithoutEntry(vm, incarnation string, used int64, maxSpent MaxSpentFunc) Record {
	next := r.withoutVM(vm, incarnation, maxSpent)
	next.Closed += used
	next.ClosedSpent += used
	return next
}

// withoutVM returns a copy without the VM's entries. All of them except the present
// incarnation's are closed: what they can have spent is added to Closed.
func (r Record) withoutVM(vm, present string, maxSpent MaxSpentFunc) Record {
	next := Record{Format: recordFormat, Closed: r.Closed, ClosedSpent: r.ClosedSpent, Era: r.Era, Base: r.Base,
		Entries: make(map[string]map[string]GrantEntry, len(r.Entries)+1)}
	for other, incarnations := range r.Entries {
		if other != vm {
			next.Entries[other] = incarnations
		}
	}
	for incarnation, e := range r.Entries[vm] {
		if incarnation != present {
			next.Closed += maxSpent(incarnation, e)
			next.ClosedSpent += e.Spent
		}
	}
	return next
}
