package node

import (
	"math"

	"chicorytiller.example/chicorytiller/internal/fleet"
)

// homeOf is the address of the router that holds an account's grant; empty if it
// is this one. Rendezvous hashing moves few accounts when a router comes or goes. A
// router that stops is home of nothing: it hands its grants on while it still serves.
func (n *Node) homeOf(account string) string {
	home, _ := n.homesOf(account)
	return home
}

// deputyOf is the address of the router that draws for all while the home can't be
// reached; empty if it is this one. Without it each router draws for itself: their
// writes of one record race, and the budget is left in small parts.
func (n *Node) deputyOf(account string) string {
	_, deputy := n.homesOf(account)
	return deputy
}

// homesOf ranks the routers for an account and returns the first two.
func (n *Node) homesOf(account string) (home, deputy string) {
	first, second := math.Inf(1), math.Inf(1)
	take := func(m fleet.Member, address string) {
		switch rank := m.Rank(account); {
		case rank < first:
			first, second, home, deputy = rank, first, address, home
		case rank < second:
			second, deputy = rank, address
		}
	}
	if !n.stopping.Load() {
		take(n.self(), "")
	}
	for _, m := range n.members.List() {
		if m.Name != n.settings.VM && m.Peer != "" {
			take(m, m.Peer)
		}
	}
	return home, deputy
}
