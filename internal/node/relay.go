package node

import (
	"context"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/fleet"
	"chicorytiller.example/chicorytiller/internal/peers"
	"chicorytiller.example/chicorytiller/internal/store"
)

// A few routers of each failure domain follow the store, and the others follow those: the
// calls to the store then grow with the failure domains and not with the routers. Which
// ones follows from the list of routers alone, so nothing has to be agreed on; views that
// differ for a while cost some calls, since a router that does not follow the store itself
// says so to those who ask it, and they ask the store.

// routersPerStoreReader is one router that follows the store for so many of its failure domain: each
// follower costs it some six small calls a second, a thousandth of a core.
const routersPerStoreReader = 32

// minReaderCapacityFraction is the part of a failure domain's largest capacity that its readers have at
// least. A reader passes each version of the configuration on to all its followers: that
// fills the link of a small VM for seconds, its own reads of the store run out of time, and it
// serves by an old version for as long.
const minReaderCapacityFraction = 0.5

// storeReaders are the routers that follow the store for a failure domain, of all routers that
// take callers.
func storeReaders(members []fleet.Member, domain string) []fleet.Member {
	var candidates []fleet.Member
	largest := 0.0
	for _, m := range members {
		if m.Domain == domain && m.PeerAddress != "" {
			candidates = append(candidates, m)
			largest = max(largest, m.Capacity)
		}
	}
	count := 1 + len(candidates)/routersPerStoreReader
	candidates = slices.DeleteFunc(candidates, func(m fleet.Member) bool { return m.Capacity < minReaderCapacityFraction*largest })
	const key = "follows the store"
	sort.Slice(candidates, func(i, j int) bool { return candidates[i].Rank(key) < candidates[j].Rank(key) })
	return candidates[:min(len(candidates), count)]
}

// relay is where this router learns from; it implements store.Relay.
type relay struct {
	node *Node
	// wait is how long another router may hold its answer back. A router that froze or
	// lost its power is noticed that much later, and some round trips.
	wait time.Duration
}

// Used implements store.Relay.
func (r *relay) Used() bool {
	return len(r.addresses()) > 0
}

// addresses are the routers to ask, in an order that spreads those who ask. There are
// none if this router is one of them, or not yet in the list itself.
func (r *relay) addresses() []string {
	own := r.node.settings.VM
	members := r.node.members.List()
	listed := false
	for _, m := range members {
		listed = listed || m.Name == own
	}
	if !listed {
		return nil
	}
	chosen := storeReaders(members, r.node.settings.FailureDomain)
	for _, m := range chosen {
		if m.Name == own {
			return nil
		}
	}
	order := func(m fleet.Member) uint64 { return xxhash.Sum64String(own + "/" + m.Name) }
	sort.Slice(chosen, func(i, j int) bool { return order(chosen[i]) < order(chosen[j]) })
	addresses := make([]string, 0, len(chosen))
	for _, m := range chosen {
		addresses = append(addresses, m.PeerAddress)
	}
	return addresses
}

// Read implements store.Relay.
func (r *relay) Read(ctx context.Context, prefix string, after store.Revision) (store.Snapshot, error) {
	answer, err := r.ask(ctx, peers.FollowRequest{Prefix: prefix, All: true, After: after})
	return answer.Snapshot, err
}

// Watch implements store.Relay.
func (r *relay) Watch(ctx context.Context, prefix string, after store.Revision) (store.Changes, error) {
	answer, err := r.ask(ctx, peers.FollowRequest{Prefix: prefix, After: after, Wait: r.wait})
	return answer.Changes, err
}

// ask asks one router after the other until one can tell.
func (r *relay) ask(ctx context.Context, request peers.FollowRequest) (peers.FollowAnswer, error) {
	err := error(store.ErrNoFeed)
	for _, address := range r.addresses() {
		var answer peers.FollowAnswer
		answer, err = r.node.peers.Follow(ctx, address, request)
		if err == nil || errors.Is(err, store.ErrCompacted) {
			return answer, err
		}
	}
	return peers.FollowAnswer{}, err
}
