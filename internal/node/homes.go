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

// homeAddress returns the address of the router that holds an account's grant, or "" if that is
// this router or there is none. Rendezvous hashing moves few accounts when a router joins or
// leaves. A stopping router is home of no account: it hands over its grants while it still serves.
func (n *Node) homeAddress(account string) string {
	holders := n.holderAddresses(account)
	if len(holders) == 0 {
		return ""
	}
	return holders[0]
}

// holderAddresses returns the addresses of the routers that may hold an account's grant for the
// whole fleet, by rank: its home, then the standbys for a home that cannot reach the store. This
// router's own address is "". Without common holders each router would draw from the budget for
// itself: their writes to one record would conflict, and the budget would be split into small
// parts.
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

// rank returns the addresses of the routers with the lowest ranks for key, in order.
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

// rankings caches, by key, what is computed from the list of routers until that list changes.
// Holders are needed several times per request, and for each account whenever a ledger is
// written, and computing them takes time proportional to the number of routers.
type rankings[T any] struct {
	mu    sync.Mutex
	state fleetState
	byKey map[string]T
}

// fleetState identifies the state of the fleet that rankings are computed from.
type fleetState struct {
	version  uint64 // of the list of routers
	stopping bool
}

// maxCachedRankings bounds the memory of a cache. In a small fleet the keys are accounts, in a
// large one a few shards.
const maxCachedRankings = 10_000

// get returns the cached value for key, or computes and caches it.
func (r *rankings[T]) get(state fleetState, key string, compute func() T) T {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byKey == nil || r.state != state || len(r.byKey) >= maxCachedRankings {
		r.state, r.byKey = state, make(map[string]T)
	}
	value, found := r.byKey[key]
	if !found {
		value = compute()
		r.byKey[key] = value
	}
	return value
}

// Homes of accounts in a large fleet.
const (
	// sharedHomesThreshold is the number of routers above which accounts are sharded over few
	// homes. Each home writes its ledger continuously; if every account were ranked separately,
	// those writes would grow with the fleet. A small fleet has few homes anyway, and the crash
	// of a home delays all its accounts.
	sharedHomesThreshold = 32
	// minSharedHomes is the minimum number of homes in a large fleet. There is one home per
	// routersPerHome routers if that is more, since a home answers each request of its accounts.
	minSharedHomes = 8
	routersPerHome = 32
	// maxAccountsPerHome bounds the size of a home's ledger: an account takes about 80 bytes in
	// it, and a value in the store may have 1 MB at most.
	maxAccountsPerHome = 4000
)

// homeKey returns the key by which routers are ranked for an account: the account's name, or in a
// large fleet the name of its shard. All accounts with one key have the same home and the same
// standbys.
func homeKey(account string, routers, accounts int) string {
	if routers <= sharedHomesThreshold {
		return account
	}
	shards := uint64(max(minSharedHomes, routers/routersPerHome, accounts/maxAccountsPerHome))
	return "share " + strconv.FormatUint(xxhash.Sum64String(account)%shards, 10)
}
