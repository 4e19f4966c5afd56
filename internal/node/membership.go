package node

import (
	"sync"
	"time"

	"chicorytiller.example/chicorytiller/internal/fleet"
	"chicorytiller.example/chicorytiller/internal/pacing"
)

// Some backend servers can take only few requests per second from all routers together, so only
// the routers that rank first for such a server send to it. Routers with different lists of
// routers could disagree on who ranks first. The rules below limit this to at most twice as many
// senders, for a few seconds: a router relies on its rank only if it has been in the list long
// enough for all other listed routers to know it, and if its own list is recent. A router that
// lost the store thus stops sending before, or shortly after, another router can see that its
// entry expired and take its place.

const (
	// minListedTime is how long a router must have been in the list to assume that all others
	// know it.
	minListedTime = fleetCheckAfter + 500*time.Millisecond
	// maxListAge is the maximum age of the list in normal operation.
	maxListAge = fleetCheckAfter + 400*time.Millisecond
)

// membership tracks whether this router is in the list of routers, and how recent the list is. It
// is safe for concurrent use.
type membership struct {
	mu sync.Mutex
	// listedSince is when this router's own entry was first seen in the list; zero if it is not
	// there.
	listedSince time.Time
	// asOf is a time such that the list contains all changes up to it.
	asOf time.Time
}

// confirm records that the list contains all changes up to asOf.
func (m *membership) confirm(asOf time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.asOf = asOf
}

// age returns how old the list is at most; known is false before it was first confirmed.
func (m *membership) age(now time.Time) (age time.Duration, known bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return now.Sub(m.asOf), !m.asOf.IsZero()
}

// setListed records whether this router's own entry is in the list.
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

// stable reports whether this router and all other listed routers can be assumed to know each
// other.
func (m *membership) stable(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.listedSince.IsZero() && now.Sub(m.listedSince) >= minListedTime && now.Sub(m.asOf) <= maxListAge
}

func (n *Node) updateMembership() {
	n.membership.setListed(n.members.Has(MemberPrefix+n.settings.VM), n.now())
}

// now reads a clock that keeps running while the VM is suspended, so that a router that wakes up
// does not take its old list for a recent one.
func (n *Node) now() time.Time {
	if n.env.Now == nil {
		return time.Now()
	}
	return n.env.Now()
}

// rankFor returns this router's rank among the routers as a sender to a backend server that can
// take only few requests, or an invalid rank if it cannot be relied on.
func (n *Node) rankFor(incarnation string) pacing.SenderRank {
	if n.stopping.Load() || !n.membership.stable(n.now()) {
		return pacing.SenderRank{}
	}
	members, version := n.members.Snapshot()
	return n.serverRanks.get(fleetState{version: version}, incarnation, func() pacing.SenderRank { return n.ownRank(members, "sends to "+incarnation) })
}

// ownRank computes this router's rank for key.
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

// coldRate returns the rate, in requests per second, that cold servers of a service can take; 0
// means no limit.
func (n *Node) coldRate(service string) float64 {
	if p := n.policy.Load(); p != nil && p.Services[service] != nil {
		return p.Services[service].ColdRate
	}
	return 0
}

// warmUp returns how long servers of a service are cold after their start.
func (n *Node) warmUp(service string) time.Duration {
	if p := n.policy.Load(); p != nil && p.Services[service] != nil {
		return p.Services[service].WarmUp
	}
	return 0
}
