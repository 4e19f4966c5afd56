package limit

import (
	"math"

	"chicorytiller.example/chicorytiller/internal/contract"
)

// floorParts: a router whose account has demand at others begins with this part of
// the equal share, until they know of it.
const floorParts = 4

// maxRouters is the largest fleet in which shares follow demand. Heartbeats go to two
// routers in a period: in a larger fleet a router hears too seldom of each other one
// to give up its share to it, and each keeps the equal share.
const maxRouters = 24

func follows(equal float64) bool {
	return math.Round(1/equal) <= maxRouters
}

// plan is what the account may use here until the next round.
type plan struct {
	round       Round
	equal       float64
	share       float64 // of rate and burst
	concurrency int
}

// standing is what this router knows of one account in the fleet.
type standing struct {
	demand  uint64 // of the others, in thousandths of a request a second
	running uint64 // at the others
	known   bool   // another router has demand
	held    bool   // one of them may not know yet that this router has demand too
	counted int    // routers that know of this one's demand, itself included
	since   Round  // oldest answer of a router with demand
}

// planFor decides the account's share.
//
// Failure: a share that followed only its own demand would be 1 at each router when
// an account begins at all at once, and the fleet would admit N times the contract.
//
// So each router owns 1/N, and another one takes it only after its owner answered a
// heartbeat that told of the demand (standing.part). Until then, and whenever that
// gives less, a router uses a floor: 1/N as long as it knows of no other demand,
// since then nobody counts on its part; else 1/(4N).
//
// This is enough: whatever messages are lost, the shares sum to at most 1 and the
// floors, 1 1/4 in all, and to at most 1 once the routers with demand have answered
// each other (TestSharesNeverSumToMore; the reason is in docs/design/04-limits.md).
// More is possible in two cases. A router that has just started knows of no demand
// and adds up to 1/N until its first heartbeats. Where routers disagree about N (a
// partition), each side enforces the whole contract, as with equal shares.
func (l *Limits) planFor(a *account, c *contract.Contract, equal float64) plan {
	floor := equal
	if !follows(equal) {
		return plan{round: l.round, equal: equal, share: equal, concurrency: shareOf(c.Concurrency, equal)}
	}
	s := l.standingOf(a)
	if s.known {
		floor = equal / floorParts
	}
	p := plan{round: l.round, equal: equal, share: floor, concurrency: shareOf(c.Concurrency, floor)}
	if !s.held && a.toldFrom > 0 {
		own := a.leastSince(s.since, l.round)
		part := s.part(float64(own.Demand), 1/equal)
		p.share = max(floor, part)
		p.concurrency = max(p.concurrency, slots(c.Concurrency, part, own.Running, s.running))
	}
	if s.running >= uint64(c.Concurrency) {
		p.concurrency = 0 // the others run all that the contract allows
	}
	return p
}

// part is this router's part of the account by demand. A router of which it isn't
// known that it knows of this demand counts as one with the same demand. Of its own
// demand this router counts the least that it told since the oldest answer of a router
// with demand, so that each of those reckons with at least as much.
func (s standing) part(own, routers float64) float64 {
	unknown := max(0, math.Round(routers)-float64(s.counted))
	return own / (own*(1+unknown) + float64(s.demand))
}

// slots is how many may run here: those that the others surely reckon with, and a
// part of what is free. Running requests of a share that shrank are never cut; the
// others reckon with them.
func slots(limit int, part float64, own uint32, others uint64) int {
	free := float64(limit) - float64(own) - float64(others)
	if free < 1 {
		return int(own)
	}
	return int(own) + max(1, int(math.Floor(part*free)))
}

func (l *Limits) standingOf(a *account) standing {
	s := standing{counted: 1, since: l.round}
	for _, p := range l.peers {
		theirs, listed := p.uses[a.hash]
		s.running += uint64(theirs.Running)
		if !p.serving {
			continue // it admits nothing more, and has no part in 1/N
		}
		knows := a.knownTo(p.answered)
		switch {
		case listed && knows:
			s.known = true
			s.counted++
			s.demand += uint64(theirs.Demand)
			s.since = min(s.since, p.answered)
		case listed:
			// If it had demand before this router, it may count this one's share as
			// given up. Else it knows of this one's demand, or counts it as unknown;
			// so it counts here both by its demand and as unknown.
			s.known = true
			s.held = s.held || p.since[a.hash] < a.toldFrom
			s.demand += uint64(theirs.Demand)
			s.since = min(s.since, p.since[a.hash])
		case knows && !p.more:
			s.counted++ // one with more accounts may have demand that it didn't tell of
		}
	}
	return s
}
