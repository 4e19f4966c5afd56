package node

import (
	"math"
	"strconv"

	"github.com/cespare/xxhash/v2"

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
	members := n.members.List()
	accounts := 0
	if p := n.policy.Load(); p != nil {
		accounts = len(p.Accounts)
	}
	key := homeKey(account, len(members), accounts)
	take := func(m fleet.Member, address string) {
		switch rank := m.Rank(key); {
		case rank < first:
			first, second, home, standby = rank, first, address, home
		case rank < second:
			second, standby = rank, address
		}
	}
	if !n.stopping.Load() {
		take(n.self(), "")
	}
	for _, m := range members {
		if m.Name != n.settings.VM && m.Peer != "" {
			take(m, m.Peer)
		}
	}
	return home, standby
}

// Homes of accounts in a large fleet.
const (
	// homesTogether is the fleet from which on accounts share homes. Each home writes its
	// ledger all the time: with an own one for each account, and every router writing that
	// had ever drawn, four in ten calls to the store of 83 routers were such writes. In a
	// small fleet homes are few anyway, and one that dies holds up all its accounts.
	homesTogether = 32
	// homesLeast is how many homes there are then, and homesFor one more for so many
	// routers: a home answers each request of its accounts, some hundred a second.
	homesLeast = 8
	homesFor   = 32
	// accountsFor bounds the accounts of a home: its ledger has some 80 bytes of each, and
	// a value of the store is 1 MB at most.
	accountsFor = 4000
)

// homeKey is what the routers are ranked by for an account: its own name, or in a large
// fleet that of its share of the accounts. Whoever is lost, the next in rank is the same.
func homeKey(account string, routers, accounts int) string {
	if routers <= homesTogether {
		return account
	}
	shares := uint64(max(homesLeast, routers/homesFor, accounts/accountsFor))
	return "share " + strconv.FormatUint(xxhash.Sum64String(account)%shares, 10)
}
