package entry

import "chicorytiller.example/chicorytiller/internal/fleet"

// largerCapacityFactor is how many times the capacity of an overloaded router another one must have to be
// certain to carry its callers. Routers of one size differ by less.
const largerCapacityFactor = 1.5

// maxWithdrawnShare is the share of a failure domain's routers that may withdraw. Platforms ignore readiness
// where most routers of a place are not ready, and callers then stay at the overloaded one.
const maxWithdrawnShare = 1.0 / 3

// Withdraws reports whether an overloaded router takes no new callers, because another one is not overloaded
// and at most maxWithdrawnShare of its failure domain's routers are, those with the smallest capacity first.
// One may always withdraw.
func Withdraws(members []fleet.Member, self fleet.Member) bool {
	if !self.Overloaded {
		return false
	}
	anyOther, domainSize, before := false, 1, 0
	for _, m := range members {
		if m.Name == self.Name {
			continue
		}
		anyOther = anyOther || !m.Overloaded
		if m.Domain != self.Domain {
			continue
		}
		domainSize++
		if m.Overloaded && withdrawsBefore(m, self) {
			before++
		}
	}
	return anyOther && before < max(1, int(maxWithdrawnShare*float64(domainSize)))
}

// withdrawsBefore orders the overloaded routers of a failure domain.
func withdrawsBefore(a, b fleet.Member) bool {
	if a.Capacity != b.Capacity {
		return a.Capacity < b.Capacity
	}
	return a.Name < b.Name
}

// WithdrawsUnconfirmed is Withdraws for a router that does not know which others are overloaded. It withdraws
// only for a larger one: if each did for any other, none might be left.
func WithdrawsUnconfirmed(members []fleet.Member, self fleet.Member) bool {
	for _, m := range members {
		if m.Name != self.Name && m.Capacity > largerCapacityFactor*self.Capacity {
			return self.Overloaded
		}
	}
	return false
}

// readyMembers returns the members that are not overloaded.
func readyMembers(members []fleet.Member) []fleet.Member {
	ready := make([]fleet.Member, 0, len(members))
	for _, m := range members {
		if !m.Overloaded {
			ready = append(ready, m)
		}
	}
	return ready
}
