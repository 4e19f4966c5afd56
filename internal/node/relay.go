package node

import (
	"context"
	"math/rand/v2"
	"slices"
	"sort"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/fleet"
	"chicorytiller.example/chicorytiller/internal/peers"
	"chicorytiller.example/chicorytiller/internal/store"
)

// A few routers of each failure domain, its store readers, follow the store, and the other routers
// follow the store readers. The calls to the store thus grow with the number of failure domains
// and not with the number of routers. The store readers are computed from the list of routers
// alone, so no agreement protocol is needed. Routers whose lists differ for a while only make some
// extra calls: a router that does not follow the store itself says so in its answer, and the router
// that asked turns to the store.

// routersPerStoreReader is the number of routers in a failure domain per store reader. Each
// follower costs a store reader about six small calls per second, a thousandth of a core.
const routersPerStoreReader = 32

// minReaderCapacityFraction is the minimum capacity of a store reader as a fraction of the largest
// in its failure domain. A store reader sends each version of the configuration to all its
// followers. That would saturate the link of a small VM for seconds, during which its own reads
// from the store time out and it serves with an old version.
const minReaderCapacityFraction = 0.5

// storeReaders returns the routers of members that follow the store for a failure domain.
func storeReaders(members []fleet.Member, domain string) []fleet.Member {
	var candidates []fleet.Member
	largest := 0.0
	for _, m := range members {
		if m.Domain == domain && m.PeerAddress != "" {
			candidates = append(candidates, m)
			largest = max(largest, m.Capacity)
		}
	}
	readerCount := 1 + len(candidates)/routersPerStoreReader
	candidates = slices.DeleteFunc(candidates, func(m fleet.Member) bool { return m.Capacity < minReaderCapacityFraction*largest })
	const key = "follows the store"
	sort.Slice(candidates, func(i, j int) bool { return candidates[i].Rank(key) < candidates[j].Rank(key) })
	return candidates[:min(len(candidates), readerCount)]
}

// relay reads from the store readers of this router's failure domain. It implements store.Relay.
type relay struct {
	node *Node
	// maxWait is how long another router may hold back its answer. A router that froze or lost power
	// is detected only after this time and a few round trips.
	maxWait time.Duration
	// lastAny is the address of the router that answered WatchAny last.
	lastAny atomic.Pointer[string]
}

// Active implements store.Relay.
func (r *relay) Active() bool {
	return len(r.addresses()) > 0
}

// addresses returns the addresses of the store readers, in an order that differs between routers
// to spread the load. It returns none if this router is a store reader or not yet in the list of
// routers.
func (r *relay) addresses() []string {
	ownName := r.node.settings.VM
	members := r.node.members.List()
	listed := false
	for _, m := range members {
		listed = listed || m.Name == ownName
	}
	if !listed {
		return nil
	}
	chosen := storeReaders(members, r.node.settings.FailureDomain)
	for _, m := range chosen {
		if m.Name == ownName {
			return nil
		}
	}
	order := func(m fleet.Member) uint64 { return xxhash.Sum64String(ownName + "/" + m.Name) }
	sort.Slice(chosen, func(i, j int) bool { return order(chosen[i]) < order(chosen[j]) })
	return peerAddresses(chosen)
}

// Read implements store.Relay.
func (r *relay) Read(ctx context.Context, prefix string, after store.Revision) (store.Snapshot, error) {
	answer, err := r.ask(ctx, peers.FollowRequest{Prefix: prefix, All: true, After: after})
	return answer.Snapshot, err
}

// Watch implements store.Relay.
func (r *relay) Watch(ctx context.Context, prefix string, after store.Revision) (store.Changes, error) {
	answer, err := r.ask(ctx, peers.FollowRequest{Prefix: prefix, After: after, Wait: r.maxWait})
	return answer.Changes, err
}

// ask sends the request to one store reader after the other until one has an answer.
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

// Limits of the routers that WatchAny asks.
const (
	maxAnyReaders = 3
	maxStandIns   = 2
)

// WatchAny implements store.Relay.
func (r *relay) WatchAny(ctx context.Context, prefix string, after store.Revision) (store.Changes, error) {
	var afterSilence *store.Changes
	for _, address := range r.anyReaders() {
		answer, err := r.node.peers.FollowDespiteBackoff(ctx, address, peers.FollowRequest{Prefix: prefix, After: after, Wait: r.maxWait})
		if err != nil {
			continue // the next one is asked
		}
		if answer.Changes.Silence.Length == 0 {
			r.lastAny.Store(&address)
			return answer.Changes, nil
		}
		afterSilence = &answer.Changes
	}
	if afterSilence == nil {
		return store.Changes{}, store.ErrNoFeed
	}
	return *afterSilence, nil
}

// anyReaders returns the addresses of a few store readers of all failure domains: first the one that
// answered last, then others at random, since many routers may ask at once. A few of the routers that take
// their place follow: the readers may have lost the store as well, and this router knows of no new ones.
func (r *relay) anyReaders() []string {
	others := r.node.members.List()
	others = slices.DeleteFunc(others, func(m fleet.Member) bool { return m.Name == r.node.settings.VM })
	var readers, standIns []string
	for _, domain := range domainsOf(others) {
		chosen := storeReaders(others, domain)
		rest := slices.DeleteFunc(slices.Clone(others), func(m fleet.Member) bool { return slices.Contains(chosen, m) })
		readers = append(readers, peerAddresses(chosen)...)
		standIns = append(standIns, peerAddresses(storeReaders(rest, domain))...)
	}
	shuffle(readers)
	shuffle(standIns)
	if last := r.lastAny.Load(); last != nil {
		if i := slices.Index(readers, *last); i > 0 {
			readers[0], readers[i] = readers[i], readers[0]
		}
	}
	return append(readers[:min(len(readers), maxAnyReaders)], standIns[:min(len(standIns), maxStandIns)]...)
}

// domainsOf returns the failure domains of routers.
func domainsOf(members []fleet.Member) []string {
	domains := make([]string, 0, len(members))
	for _, m := range members {
		domains = append(domains, m.Domain)
	}
	slices.Sort(domains)
	return slices.Compact(domains)
}

func peerAddresses(members []fleet.Member) []string {
	addresses := make([]string, 0, len(members))
	for _, m := range members {
		addresses = append(addresses, m.PeerAddress)
	}
	return addresses
}

func shuffle(list []string) {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}
