package node

import (
	"sync"
	"time"
)

// A cold backend server bears few requests a second over all routers, so one router sends to
// it and all others don't: the first in rank for it. Routers that know different lists could
// take two routers for the first. What follows lets that be two at the most, and for some
// seconds only: a router takes itself for the first only if it has been in the list for so
// long that all others who are know it, and if its own list is of late. A router that lost
// the store stops before another one can learn that its entry lapsed and stand in for it,
// or soon after.

const (
	// listedLeast is how long a router is in the list before it counts on being known.
	listedLeast = fleetCheck + 500*time.Millisecond
	// listOldMost is the greatest age of the list in health.
	listOldMost = fleetCheck + 400*time.Millisecond
)

// listing is what a router knows of its own place in the list of routers. It is safe for
// concurrent use.
type listing struct {
	mu sync.Mutex
	// since is when the own entry was first seen there; zero: it is not there.
	since time.Time
	// asOf is the moment whose list is known at the least.
	asOf time.Time
}

// confirmed takes that the list is known as it was at a moment.
func (l *listing) confirmed(asOf time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asOf = asOf
}

// note takes whether the own entry is in the list.
func (l *listing) note(listed bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case !listed:
		l.since = time.Time{}
	case l.since.IsZero():
		l.since = now
	}
}

// sure says whether all other routers know this one, and it them.
func (l *listing) sure(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.since.IsZero() && now.Sub(l.since) >= listedLeast && now.Sub(l.asOf) <= listOldMost
}

func (n *Node) noteListed() {
	n.listing.note(n.members.Has(MemberPrefix+n.settings.VM), n.now())
}

// now is a clock that goes on while the VM is suspended: a router that wakes must not take
// its list for a new one.
func (n *Node) now() time.Time {
	if n.dialect.Now == nil {
		return time.Now()
	}
	return n.dialect.Now()
}

// warms says whether this router is the one that may send to a cold server, by its start.
func (n *Node) warms(start string) bool {
	if n.stopping.Load() || !n.listing.sure(n.now()) {
		return false
	}
	members, version := n.members.Listed()
	key := "warms " + start
	ranked := n.rankings.get(rankedFrom{version: version}, key, func() []string { return n.rank(members, key, false) })
	return ranked[0] == "" // this router
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
