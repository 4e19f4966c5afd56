package fleet

import (
	"log/slog"
	"maps"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/store"
)

// Member is a router that accepts callers.
type Member struct {
	Name        string // name of the router's VM
	Address     string // IP:port for callers
	PeerAddress string // IP:port for other routers
	Domain      string // failure domain
	// Capacity is the VM's capacity relative to other VMs, in cores of work.
	Capacity float64
	// Overloaded reports whether callers' bytes overload the router's link (package intake).
	Overloaded bool
}

// sameMembership reports whether two entries of a router are equal but for Overloaded, which comes and goes
// without any effect on who holds what.
func (m Member) sameMembership(other Member) bool {
	m.Overloaded = other.Overloaded
	return m == other
}

// Rank returns the router's rank for a key by weighted rendezvous hashing; the lowest rank
// comes first. Each router is first for a share of the keys proportional to its capacity, and
// few keys move when a router joins or leaves. Without the weight, a VM with a tenth of the
// network bandwidth would get as many keys as the others.
func (m Member) Rank(key string) float64 {
	const mantissa = 1 << 53
	uniform := (float64(xxhash.Sum64String(key+"/"+m.Name)>>11) + 0.5) / mantissa
	return -math.Log(uniform) / max(m.Capacity, minCapacity)
}

// minCapacity keeps a router in use whose stated capacity is zero or close to it.
const minCapacity = 0.01

// DecodeMember decodes a stored item.
type DecodeMember func(store.Item) (Member, error)

// Members tracks the routers' leased entries. It is a store.Sink.
type Members struct {
	decode DecodeMember
	log    *event.Log
	now    func() time.Time

	mu        sync.Mutex
	present   map[string]Member
	items     map[string]store.Item // stored items of the present members
	expired   map[string]bool       // missing since an outage, kept for the grace period
	grace     grace
	reachable bool
	// sorted caches the present members in order of name; nil after a change.
	sorted []Member
	// version is incremented by each change of present but those of Overloaded alone.
	version uint64
}

// NewMembers returns an empty list. A nil now means time.Now.
func NewMembers(decode DecodeMember, log *event.Log, now func() time.Time) *Members {
	if now == nil {
		now = time.Now
	}
	return &Members{decode: decode, log: log, now: now, present: make(map[string]Member), items: make(map[string]store.Item),
		expired: make(map[string]bool), grace: grace{now: now, log: log, entries: followedRouters, usualSilence: maxMemberSilence}}
}

// SetReachable implements store.Sink. While the store is unreachable, missing members can't
// reregister and are not dropped; otherwise a second outage right after the first would empty
// the list. Only Reset and Apply, which carry the store's answer, mark it reachable again.
func (m *Members) SetReachable(reachable bool, cause error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !reachable {
		m.reachable = false
	}
	LogReachable(m.log, followedRouters, reachable, cause)
}

// Reset implements store.Sink.
func (m *Members) Reset(items []store.Item, silence store.Silence) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.grace.observeSilence(silence)
	reset(m, items)
	m.reachable = true
}

// Apply implements store.Sink.
func (m *Members) Apply(events []store.Event, silence store.Silence) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.grace.observeSilence(silence)
	apply(m, events)
	m.reachable = true
}

// maxMemberSilence is the longest time between two answers of the watch on members if nothing
// changes.
const maxMemberSilence = 2300 * time.Millisecond

func (m *Members) put(item store.Item) {
	member, err := m.decode(item)
	if err != nil {
		m.log.Emit(event.EntryRejected, slog.String("key", item.Key), slog.Any(event.KeyCause, err))
		return
	}
	before, known := m.present[item.Key]
	if !known {
		m.log.Emit(event.PeerJoined, slog.String(event.KeyRouter, member.Name), slog.String("address", member.Address))
	}
	switch {
	case !before.sameMembership(member):
		m.changed()
	case before != member:
		m.sorted = nil
	}
	m.present[item.Key], m.items[item.Key] = member, item
	delete(m.expired, item.Key)
}

func (m *Members) keys() []string {
	return slices.Collect(maps.Keys(m.present))
}

func (m *Members) remove(key string) {
	member, known := m.present[key]
	if !known {
		return
	}
	if m.grace.active() {
		m.expired[key] = true
		return
	}
	m.log.Emit(event.PeerLeft, slog.String(event.KeyRouter, member.Name))
	m.changed()
	delete(m.present, key)
	delete(m.items, key)
	delete(m.expired, key)
}

// Seed adds entries learned from another router before the store was first reached.
func (m *Members) Seed(items []store.Item) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, item := range items {
		m.put(item)
	}
	m.grace.seeded = true
}

// Items returns the stored entries, to send to another router.
func (m *Members) Items() []store.Item {
	m.mu.Lock()
	defer m.mu.Unlock()
	items := make([]store.Item, 0, len(m.items))
	for _, item := range m.items {
		items = append(items, item)
	}
	return items
}

// Has reports whether an entry with this key is present.
func (m *Members) Has(key string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, found := m.present[key]
	return found
}

// changed invalidates the cached list after a change.
func (m *Members) changed() {
	m.sorted = nil
	m.version++
}

// List returns a copy of the present members in order of name.
func (m *Members) List() []Member {
	list, _ := m.Snapshot()
	return slices.Clone(list)
}

// Snapshot returns the present members in order of name, and a version that differs after each
// change, so that callers can cache what they derive from the list. Changes of Member.Overloaded alone keep
// the version: grantors of fragile servers hold back permits after each new one. The list must not be
// modified.
func (m *Members) Snapshot() (list []Member, version uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.reachable && !m.grace.active() {
		for key := range m.expired {
			m.remove(key)
		}
	}
	if m.sorted == nil {
		m.sorted = slices.SortedFunc(maps.Values(m.present), func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	}
	return m.sorted, m.version
}
