package node

import (
	"sync"
	"time"

	"chicorytiller.example/chicorytiller/internal/fleet"
	"chicorytiller.example/chicorytiller/internal/pacing"
)

// Some backend servers bear few requests a second over all routers, so the first in rank for
// such a server send to it and all others don't. Routers that know different lists could take
// different ones for the first. What follows lets that be twice as many at the most, and for
// some seconds only: a router relies on its rank only if it has been in the list for so
// long that all others who are know it, and if its own list is of late. A router that lost
// the store stops before another one can learn that its entry lapsed and stand in for it,
// or soon after.

const (
	// minListedTime is how long a router is in the list before it counts on being known.
	minListedTime = fleetCheckAfter + 500*time.Millisecond
	// maxListAge is the greatest age of the list in health.
	maxListAge = fleetCheckAfter + 400*time.Millisecond
)

// membership is what a router knows of its own place in the list of routers. It is safe for
// concurrent use.
type membership struct {
	mu sync.Mutex
	// listedSince is when the own entry was first seen there; zero: it is not there.
	listedSince time.Time
	// asOf is the moment whose list is known at the least.
	asOf time.Time
}

// confirm takes that the list is known as it was at a moment.
func (m *membership) confirm(asOf time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.asOf = asOf
}

// setListed takes whether the own entry is in the list.
func (m *membership) setListed(listed bool, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case !listed:
		m.listedSince = time.Time{}
	case m.listedSince.IsZero():
		m.listedSince = now
	}
}

// stable says whether all other routers know this one, and it them.
func (m *membership) stable(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.listedSince.IsZero() && now.Sub(m.listedSince) >= minListedTime && now.Sub(m.asOf) <= maxListAge
}

func (n *Node) updateMembership() {
	n.membership.setListed(n.members.Has(MemberPrefix+n.settings.VM), n.now())
}

// now is a clock that goes on while the VM is suspended: a router that wakes must not take
// its list for a new one.
func (n *Node) now() time.Time {
	if n.env.Now == nil {
		return time.Now()
	}
	return n.env.Now()
}

// rankFor is this router's rank among all that send to a server that bears few requests, by
// the server's start.
func (n *Node) rankFor(incarnation string) pacing.SenderRank {
	if n.stopping.Load() || !n.membership.stable(n.now()) {
		return pacing.SenderRank{}
	}
	members, version := n.members.Snapshot()
	return n.serverRanks.get(fleetState{version: version}, incarnation, func() pacing.SenderRank { return n.ownRank(members, "sends to "+incarnation) })
}

// ownRank works out this router's rank for a key.
func (n *Node) ownRank(members []fleet.Member, key string) pacing.SenderRank {
	ownRank := pacing.SenderRank{Total: 1, Valid: true}
	ownScore := n.self().Rank(key)
	for _, m := range members {
		if m.Name == n.settings.VM || m.PeerAddress == "" {
			continue
		}
		ownRank.Total++
		if m.Rank(key) < ownScore {
			ownRank.Position++
		}
	}
	return ownRank
}

// coldRate is the requests a second that a service's cold servers bear; 0: no bound.
func (n *Node) coldRate(service string) float64 {
	if p := n.policy.Load(); p != nil && p.Services[service] != nil {
		return p.Services[service].ColdRate
	}
	return 0
}

// warmUp is how long a service's servers are cold after a start.
func (n *Node) warmUp(service string) time.Duration {
	if p := n.policy.Load(); p != nil && p.Services[service] != nil {
		return p.Services[service].WarmUp
	}
	return 0
}
