// Package entry chooses the routers that a caller should connect to.
package entry

import (
	"sort"

	"chicorytiller.example/chicorytiller/internal/fleet"
)

// minLocalRouters is the number of routers in the caller's failure domain below which routers of
// other domains are included. If there were only one and it died, the caller would have no router
// to connect to until it asks again.
const minLocalRouters = 2

// maxLocalRouters is the number of routers of its failure domain that a caller gets, chosen in
// proportion to capacity. Callers pick one of them at random for each connection. A few are
// enough to continue when some die.
const maxLocalRouters = 4

// maxAddresses bounds the number of addresses returned.
const maxAddresses = 64

// Choose returns router addresses for a caller in a failure domain. Routers in that domain are
// preferred since traffic between failure domains is charged for. A caller gets the same routers
// as long as they live, since it drops its connections to all others. Routers that have withdrawn are
// omitted.
func Choose(members []fleet.Member, domain, caller string) []string {
	local, remote := split(members, domain)
	if ready := readyMembers(members); len(ready) > 0 && len(ready) < len(members) {
		all := len(local)
		if local, remote = split(ready, domain); len(local) < min(all, minLocalRouters) {
			remote = replacements(remote, len(local), caller)
		}
	}
	chosen := local
	if len(local) < minLocalRouters {
		chosen = append(local, remote...)
	}
	local = dropSmallRouters(local)
	if len(local) > maxLocalRouters {
		sort.Slice(local, func(i, j int) bool { return local[i].Rank(caller) < local[j].Rank(caller) })
		chosen = local[:maxLocalRouters]
	} else if len(local) >= minLocalRouters {
		chosen = local
	}
	addresses := make([]string, 0, len(chosen))
	for _, m := range chosen[:min(len(chosen), maxAddresses)] {
		addresses = append(addresses, m.Address)
	}
	return addresses
}

// split returns the members of a failure domain and the others.
func split(members []fleet.Member, domain string) (local, remote []fleet.Member) {
	for _, m := range members {
		if m.Domain == domain {
			local = append(local, m)
			continue
		}
		remote = append(remote, m)
	}
	return local, remote
}

// replacements returns the routers of other failure domains that stand in where overload leaves fewer than
// minLocalRouters in a caller's own: one if there is a local one, since with the usual list, all of the other
// domains, most of the traffic would leave the domain; otherwise as many as a caller gets of its own.
func replacements(remote []fleet.Member, local int, caller string) []fleet.Member {
	count := maxLocalRouters
	if local > 0 {
		count = minLocalRouters - local
	}
	remote = dropSmallRouters(remote)
	sort.Slice(remote, func(i, j int) bool { return remote[i].Rank(caller) < remote[j].Rank(caller) })
	return remote[:min(len(remote), count)]
}

const (
	// smallCapacityFraction is the fraction of the largest capacity below which a router counts
	// as small.
	smallCapacityFraction = 0.2
	// minRemainingFraction is the fraction of the total capacity that the other routers must have
	// for the small ones to be left out.
	minRemainingFraction = 0.5
)

// dropSmallRouters leaves out the routers that are much smaller than the largest as long as the
// others have most of the total capacity: a single caller may send more than the link of a small
// router can carry, and callers pick routers regardless of capacity.
func dropSmallRouters(members []fleet.Member) []fleet.Member {
	largest, total, keptCapacity := 0.0, 0.0, 0.0
	for _, m := range members {
		largest = max(largest, m.Capacity)
		total += m.Capacity
	}
	var kept []fleet.Member
	for _, m := range members {
		if m.Capacity >= smallCapacityFraction*largest {
			kept = append(kept, m)
			keptCapacity += m.Capacity
		}
	}
	if len(kept) < minLocalRouters || keptCapacity < minRemainingFraction*total {
		return members
	}
	return kept
}
