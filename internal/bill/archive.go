package bill

import (
	"slices"
	"time"

	"chicorytiller.example/chicorytiller/internal/dedup"
	"chicorytiller.example/chicorytiller/internal/id"
)

// Archive keeps bills that routers handed on as they left, so that they can still
// be listed, and found by a retry. Each of them stands: its router was not settled
// by others, or was settled with it.
type Archive struct {
	keep  time.Duration
	max   int
	bills map[id.Request]Bill
	keys  map[dedup.Key]id.Request
	order []archived // oldest first
}

type archived struct {
	request id.Request
	at      time.Time
}

// NewArchive makes an empty archive that keeps at most max bills, each for keep
// after it was handed on.
func NewArchive(keep time.Duration, max int) *Archive {
	return &Archive{
		keep:  keep,
		max:   max,
		bills: make(map[id.Request]Bill),
		keys:  make(map[dedup.Key]id.Request),
	}
}

// Add takes bills in. One that is there already stays as it is.
func (a *Archive) Add(now time.Time, bills []Bill) {
	for _, b := range bills {
		if _, found := a.bills[b.Request]; found {
			continue
		}
		a.bills[b.Request] = b
		a.order = append(a.order, archived{request: b.Request, at: now})
		if b.Key != "" {
			a.keys[b.Key] = b.Request
		}
	}
	a.Forget(now)
}

// Forget drops what is too old or too much.
func (a *Archive) Forget(now time.Time) {
	drop := 0
	for drop < len(a.order) && (len(a.order)-drop > a.max || now.Sub(a.order[drop].at) >= a.keep) {
		b := a.bills[a.order[drop].request]
		delete(a.bills, b.Request)
		delete(a.keys, b.Key)
		drop++
	}
	a.order = dropFront(a.order, drop)
}

// FindKey returns the bill of a key.
func (a *Archive) FindKey(key dedup.Key) (Bill, bool) {
	request, found := a.keys[key]
	return a.bills[request], found
}

// Recent lists the bills that match, latest first.
func (a *Archive) Recent(filter Filter) []Bill {
	return latest(a.bills, filter)
}

// latest lists the bills of a map that match, latest first.
func latest(bills map[id.Request]Bill, filter Filter) []Bill {
	out := []Bill{}
	for _, b := range bills {
		if filter.matches(b) {
			out = append(out, b)
		}
	}
	return newestFirst(out, filter.Limit)
}

// newestFirst sorts bills and cuts them to a limit; zero means no limit.
func newestFirst(bills []Bill, limit int) []Bill {
	slices.SortFunc(bills, func(a, b Bill) int { return b.At.Compare(a.At) })
	if limit > 0 && len(bills) > limit {
		bills = bills[:limit]
	}
	return bills
}
