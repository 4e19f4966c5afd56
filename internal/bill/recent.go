package bill

import "slices"

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
	slices.SortFunc(out, func(a, b Bill) int { return b.At.Compare(a.At) })
	if filter.Limit > 0 && len(out) > filter.Limit {
		out = out[:filter.Limit]
	}
	return out
}
