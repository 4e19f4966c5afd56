package entry

import "chicorytiller.example/chicorytiller/internal/fleet"

// nextCapacityFactor is how many times the capacity of an overloaded router another one may have to be
// overloaded by the same callers if they move there. Routers of one size differ by less.
const nextCapacityFactor = 1.5

// standbyLimits returns, by failure domain, the capacity up to which routers are in standby, and no entry for
// domains without any: nextCapacityFactor times that of an overloaded router, if a router that is not
// overloaded has more. That one is larger than all in standby, so that the largest router of a domain that is
// not overloaded is never in standby.
func standbyLimits(members []fleet.Member) map[string]float64 {
	largest := make(map[string]float64)
	for _, m := range members {
		if !m.Overloaded {
			largest[m.Domain] = max(largest[m.Domain], m.Capacity)
		}
	}
	limits := make(map[string]float64)
	for _, m := range members {
		limit := nextCapacityFactor * m.Capacity
		if m.Overloaded && limit < largest[m.Domain] {
			limits[m.Domain] = max(limits[m.Domain], limit)
		}
	}
	return limits
}

func isStandby(m fleet.Member, limits map[string]float64) bool {
	limit, any := limits[m.Domain]
	return any && !m.Overloaded && m.Capacity <= limit
}

// Standby reports whether a router that is not overloaded takes no new callers, because those that overload
// another one of its failure domain would overload it next, while a larger one there can take them.
func Standby(members []fleet.Member, self fleet.Member) bool {
	return isStandby(self, standbyLimits(members))
}

// Withdraws reports whether an overloaded router takes no new callers, because another one is not overloaded.
func Withdraws(members []fleet.Member, self fleet.Member) bool {
	for _, m := range members {
		if m.Name != self.Name && !m.Overloaded {
			return self.Overloaded
		}
	}
	return false
}

// WithdrawsUnconfirmed is Withdraws for a router that does not know which others are overloaded. It withdraws
// only for a larger one: if each did for any other, none might be left.
func WithdrawsUnconfirmed(members []fleet.Member, self fleet.Member) bool {
	for _, m := range members {
		if m.Name != self.Name && m.Capacity > nextCapacityFactor*self.Capacity {
			return self.Overloaded
		}
	}
	return false
}

// readyMembers returns the members that are neither overloaded nor in standby.
func readyMembers(members []fleet.Member) []fleet.Member {
	limits := standbyLimits(members)
	ready := make([]fleet.Member, 0, len(members))
	for _, m := range members {
		if !m.Overloaded && !isStandby(m, limits) {
			ready = append(ready, m)
		}
	}
	return ready
}
