// Package escrow hands out prepaid tokens: a router spends only out of grants that
// a durable record per client account counts as given out, so that no schedule of
// failures can spend more than was paid.
//
// The record holds, per router incarnation, the total granted to it as an absolute
// figure. A router is the only writer of its own figure and never spends beyond the
// last one that it knows to be stored, so the sum of all figures bounds what was
// spent. A grant dies with its router: its unspent rest stays counted as given out.
// Grants are therefore sized for a few seconds of use, and planned stops return them.
package escrow

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// Figure is what one router incarnation was granted.
type Figure struct {
	// Seq counts the incarnation's writes, so that it recognises after an
	// unanswered write whether it took effect.
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
	// Closed is the tokens of incarnations that are no longer listed: what they
	// returned is not in it, what they lost is.
	Closed int64 `json:"closed"`
	// Holders is by VM, then by incarnation.
	Holders map[string]map[string]Figure `json:"holders"`
}

// recordFormat is the version of the stored form.
const recordFormat = 1

// ErrRecord: a stored record can't be used. Nothing is granted on it.
var ErrRecord = errors.New("escrow: unusable record")

// DecodeRecord reads a stored record. No bytes mean a new one.
func DecodeRecord(data []byte) (Record, error) {
	r := Record{Format: recordFormat, Holders: map[string]map[string]Figure{}}
	if len(data) == 0 {
		return r, nil
	}
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{}, errors.Wrap(ErrRecord, err.Error())
	}
	if r.Format != recordFormat || r.Closed < 0 {
		return Record{}, errors.Wrapf(ErrRecord, "format %d, closed %d", r.Format, r.Closed)
	}
	for _, incarnations := range r.Holders {
		for _, f := range incarnations {
			if f.Granted < 0 {
				return Record{}, errors.Wrap(ErrRecord, "negative grant")
			}
		}
	}
	if r.Holders == nil {
		r.Holders = map[string]map[string]Figure{}
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

// Given is the tokens given out in all.
func (r Record) Given() int64 {
	sum := r.Closed
	for _, incarnations := range r.Holders {
		for _, f := range incarnations {
			sum += f.Granted
		}
	}
	return sum
}

// SpentAtLeast is what was surely spent: the holders' figures are a lower bound.
// Of closed holders all counts, since nothing of it can be granted again.
func (r Record) SpentAtLeast() int64 {
	sum := r.Closed
	for _, incarnations := range r.Holders {
		for _, f := range incarnations {
			sum += f.Spent
		}
	}
	return sum
}

// Figure returns the figure of one incarnation.
func (r Record) Figure(vm, incarnation string) Figure {
	return r.Holders[vm][incarnation]
}

// With returns a copy in which an incarnation has the given figure. Earlier
// incarnations of the same VM are closed: their processes are gone, and what they
// had not returned may have been spent.
func (r Record) With(vm, incarnation string, f Figure) Record {
	next := r.copyWithout(vm)
	next.Holders[vm] = map[string]Figure{incarnation: f}
	for other, figure := range r.Holders[vm] {
		if other != incarnation {
			next.Closed += figure.Granted
		}
	}
	return next
}

// Without returns a copy in which an incarnation has stopped, having spent
// exactly spent and returned the rest.
func (r Record) Without(vm, incarnation string, spent int64) Record {
	next := r.copyWithout(vm)
	next.Closed += spent
	for other, figure := range r.Holders[vm] {
		if other != incarnation {
			next.Closed += figure.Granted
		}
	}
	return next
}

func (r Record) copyWithout(vm string) Record {
	next := Record{Format: recordFormat, Closed: r.Closed, Holders: make(map[string]map[string]Figure, len(r.Holders)+1)}
	for name, incarnations := range r.Holders {
		if name != vm {
			next.Holders[name] = incarnations
		}
	}
	return next
}
