package node

import (
	"slices"
	"sort"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"

	"chicorytiller.example/chicorytiller/internal/escrow"
	"chicorytiller.example/chicorytiller/internal/fleet"
)

// homeAddress is the address of the router that holds an account's grant; empty if it
// is this one. Rendezvous hashing moves few accounts when a router comes or goes. A
// router that stops is home of nothing: it hands its grants on while it still serves.
func (n *Node) homeAddress(account string) string {
	holders := n.holderAddresses(account)
	if len(holders) == 0 {
		return ""
	}
	return holders[0]
}

// holderAddresses are the addresses of the routers that hold an account's grant for all, by rank:
// its home, and those that do while it has no contact with the store; empty for this one.
// Without them each router draws for itself: their writes of one record race, and the budget
// is left in small parts.
func (n *Node) holderAddresses(account string) []string {
	members, version := n.members.Snapshot()
	accounts := 0
	if p := n.policy.Load(); p != nil {
		accounts = len(p.Accounts)
	}
	key := homeKey(account, len(members), accounts)
	state := fleetState{version: version, stopping: n.stopping.Load()}
	return n.rankings.get(state, key, func() []string { return n.rank(members, key, state.stopping) })
}

// rank works out the holders for a key.
func (n *Node) rank(members []fleet.Member, key string, stopping bool) []string {
	type candidate struct {
		rank    float64
		address string
	}
	top := make([]candidate, 0, escrow.MaxHolders+1)
	add := func(m fleet.Member, address string) {
		rank := m.Rank(key)
		pos := sort.Search(len(top), func(i int) bool { return top[i].rank > rank })
		if pos == escrow.MaxHolders {
			return
		}
		top = slices.Insert(top, pos, candidate{rank, address})
		top = top[:min(len(top), escrow.MaxHolders)]
	}
	if !stopping {
		add(n.self(), "")
	}
	for _, m := range members {
		if m.Name != n.settings.VM && m.PeerAddress != "" {
			add(m, m.PeerAddress)
		}
	}
	addresses := make([]string, 0, len(top))
	for _, c := range top {
		addresses = append(addresses, c.address)
	}
	return addresses
}

// rankings keeps what was worked out from the list of routers, by key, for as long as that
// list stays as it is: holders are wanted some times a request and for each account with each
// ledger, and to work them out takes a look at all routers.
type rankings[T any] struct {
	mu    sync.Mutex
	state fleetState
	byKey map[string]T
}

// fleetState is what rankings depend on beside their key.
type fleetState struct {
	version  uint64 // of the list of routers
	stopping bool
}

// maxCachedRankings bounds the keys kept: some accounts' in a small fleet, a few shares' in a
// large one.
const maxCachedRankings = 10_000

// get returns what is kept for a key, or works it out.
func (r *rankings[T]) get(state fleetState, key string, compute func() T) T {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byKey == nil || r.state != state || len(r.byKey) >= maxCachedRankings {
		r.state, r.byKey = state, make(map[string]T)
	}
	ranked, found := r.byKey[key]
	if !found {
		ranked = compute()
		r.byKey[key] = ranked
	}
	return ranked
}

// Homes of accounts in a large fleet.
const (
	// sharedHomesThreshold is the fleet from which on accounts share homes: each home writes its
	// ledger all the time, and with one for each account those writes grow with the fleet.
	// In a small fleet homes are few anyway, and one that dies holds up all its accounts.
	sharedHomesThreshold = 32
	// minSharedHomes is how many homes there are then, and homesFor one more for so many
	// routers: a home answers each request of its accounts.
	minSharedHomes = 8
	routersPerHome = 32
	// maxAccountsPerHome bounds the accounts of a home: its ledger has some 80 bytes of each, and
	// a value of the store is 1 MB at most.
	maxAccountsPerHome = 4000
)

// homeKey is what the routers are ranked by for an account: its own name, or in a large
// fleet that of its share of the accounts. Whoever is lost, the next in rank is the same.
func homeKey(account string, routers, accounts int) string {
	if routers <= sharedHomesThreshold {
		return account
	}
	shards := uint64(max(minSharedHomes, routers/routersPerHome, accounts/maxAccountsPerHome))
	return "share " + strconv.FormatUint(xxhash.Sum64String(account)%shards, 10)
}
