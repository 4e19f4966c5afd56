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

// standbyOf is the address of the router that draws for all while the home can't be
// reached; empty if it is this one. Without it each router draws for itself: their
// writes of one record race, and the budget is left in small parts.
func (n *Node) standbyOf(account string) string {
	_, standby := n.homesOf(account)
	return standby
}

// homesOf ranks the routers for an account and returns the first two.
func (n *Node) homesOf(account string) (home, standby string) {
	first, second := math.Inf(1), math.Inf(1)
	take := func(m fleet.Member, address string) {
		switch rank := m.Rank(account); {
		case rank < first:
			first, second, home, standby = rank, first, address, home
		case rank < second:
			second, standby = rank, address
		}
	}
	for _, m := range n.holders() {
		address := m.Peer
		if m.Name == n.settings.VM {
			address = ""
		}
		take(m, address)
	}
	return home, standby
}

// holders are the routers that may hold accounts for all: those that follow the store for
// others, which have the capacity. Each router that holds something writes to the store
// all the time; if all of a large fleet did, that would cost more calls than all else. With
// fewer than two of them each router may: an account needs a home and a standby.
func (n *Node) holders() []fleet.Member {
	members := n.members.List()
	others := members[:0:0]
	for _, m := range members {
		if m.Name != n.settings.VM && m.Peer != "" {
			others = append(others, m)
		}
	}
	all := others
	if !n.stopping.Load() {
		all = append(all, n.self())
	}
	if chosen := allReaders(all); len(chosen) > 1 {
		return chosen
	}
	return all
}
