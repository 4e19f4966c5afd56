package bill

import (
	"chicorytiller.example/chicorytiller/internal/dedup"
)

// Recent lists the bills held for other routers whose details are kept, latest
// first.
func (w *Witness) Recent(filter Filter) []Bill {
	out := []Bill{}
	for _, known := range w.wards {
		for _, e := range known.bills {
			if filter.matches(e.bill) {
				out = append(out, e.bill)
			}
		}
	}
	return newestFirst(out, filter.Limit)
}

// Vouched lists the bills of routers that were sealed here while this was their
// witness. They stand, whatever becomes of their routers. Bills that an earlier
// witness holds may stand nowhere.
func (w *Witness) Vouched() []Bill {
	out := []Bill{}
	for _, known := range w.wards {
		if !known.vouched {
			continue
		}
		for _, e := range known.bills {
			out = append(out, e.bill)
		}
	}
	return newestFirst(out, 0)
}

// FindKey returns the bill of a key that any other router made, if it is held here.
// Of several it is the latest: an earlier witness may hold a bill that counts
// nowhere, since its router was settled without it.
func (w *Witness) FindKey(key dedup.Key) (latest Bill, found bool) {
	for _, known := range w.wards {
		request, held := known.keys[key]
		if !held {
			continue
		}
		b := known.bills[request].bill
		if !found || b.At.After(latest.At) {
			latest, found = b, true
		}
	}
	return latest, found
}
