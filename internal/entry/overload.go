package entry

import "chicorytiller.example/chicorytiller/internal/fleet"

// largerCapacityFactor is how many times the capacity of an overloaded router another one must have to be
// certain to carry its callers. Routers of one size differ by less.
const largerCapacityFactor = 1.5

// withdrawnPart is the part of a failure domain's routers that may withdraw, as its denominator. Platforms ignore
// readiness where most routers of a place are not ready, and callers then stay at the overloaded one.
const withdrawnPart = 3

// Withdraws reports whether an overloaded router takes no new callers, because another one is not overloaded.
// Of a failure domain, one in withdrawnPart routers may withdraw at the same time, and one at least, those with
// the smallest capacity first.
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
	return anyOther && before < max(1, domainSize/withdrawnPart)
}

// withdrawsBefore orders the overloaded routers of a failure domain.
func withdrawsBefore(a, b fleet.Member) bool {
	if a.Capacity != b.Capacity {
		return a.Capacity < b.Capacity
	}
	return a.Name < b.Name
}

// WithdrawsUnconfirmed is Withdraws for a router that does not know which others are overloaded. It withdraws
// only for a larger one in its failure domain: if each did for any other, none might be left.
func WithdrawsUnconfirmed(members []fleet.Member, self fleet.Member) bool {
	if !self.Overloaded {
		return false
	}
	for _, m := range members {
		if m.Name != self.Name && m.Domain == self.Domain && m.Capacity > largerCapacityFactor*self.Capacity {
			return true
		}
	}
	return false
}

// readyMembers returns the members that have not withdrawn.
func readyMembers(members []fleet.Member) []fleet.Member {
	ready := make([]fleet.Member, 0, len(members))
	for _, m := range members {
		if !Withdraws(members, m) {
			ready = append(ready, m)
		}
	}
	return ready
}
