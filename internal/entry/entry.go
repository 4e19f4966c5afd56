// Package entry chooses the routers that a caller should connect to.
package entry

import (
	"sort"

	"chicorytiller.example/chicorytiller/internal/fleet"
)

// nearEnough is the routers of the caller's own failure domain below which those of
// others are named too: with one alone its death would leave the caller nothing to
// turn to until it asks again.
const nearEnough = 2

// told is how many routers of its own failure domain a caller is told of. Callers pick
// one of them at random for each connection; which ones they are told of follows the
// routers' capacities. A few are enough to go on when some die.
const told = 4

// addressesMost bounds an answer.
const addressesMost = 64

// Choose returns addresses for a caller in a failure domain. Near routers are preferred
// since bytes between failure domains are paid for. The same caller is told the same
// routers as long as they live, since it leaves the connections to others.
func Choose(members []fleet.Member, domain, caller string) []string {
	var near, far []fleet.Member
	for _, m := range members {
		if m.Domain == domain {
			near = append(near, m)
			continue
		}
		far = append(far, m)
	}
	chosen := near
	if len(near) < nearEnough {
		chosen = append(near, far...)
	}
	near = withoutSmall(near)
	if len(near) > told {
		sort.Slice(near, func(i, j int) bool { return near[i].Rank(caller) < near[j].Rank(caller) })
		chosen = near[:told]
	} else if len(near) >= nearEnough {
		chosen = near
	}
	addresses := make([]string, 0, len(chosen))
	for _, m := range chosen[:min(len(chosen), addressesMost)] {
		addresses = append(addresses, m.Address)
	}
	return addresses
}

// smallPart is the part of the largest capacity below which a router is small, and
// mostOf the part of the whole that the others must have for it to be left out.
const (
	smallPart = 0.2
	mostOf    = 0.5
)

// withoutSmall leaves out the routers that are much smaller than the largest, as long as
// the others can carry most of what all can: one caller alone may send more than a small
// one's link takes, and callers pick without regard to size.
func withoutSmall(members []fleet.Member) []fleet.Member {
	largest, all, large := 0.0, 0.0, 0.0
	for _, m := range members {
		largest = max(largest, m.Capacity)
		all += m.Capacity
	}
	var kept []fleet.Member
	for _, m := range members {
		if m.Capacity >= smallPart*largest {
			kept = append(kept, m)
			large += m.Capacity
		}
	}
	if len(kept) < nearEnough || large < mostOf*all {
		return members
	}
	return kept
}
