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

// Member is a router that takes callers.
type Member struct {
	Name    string // VM
	Address string // IP:port for callers
	Peer    string // IP:port for other routers
	Domain  string // failure domain
	// Capacity is what the VM can carry beside others', in cores of work.
	Capacity float64
}

// Rank orders routers for a key by weighted rendezvous hashing: the lowest comes first.
// Each is first for a share of the keys that follows its capacity, and few keys move when
// a router comes or goes. Without the weight a VM with a tenth of a link gets as much.
func (m Member) Rank(key string) float64 {
	const mantissa = 1 << 53
	uniform := (float64(xxhash.Sum64String(key+"/"+m.Name)>>11) + 0.5) / mantissa
	return -math.Log(uniform) / max(m.Capacity, leastCapacity)
}

// leastCapacity keeps a router that states none, or nearly none, in use.
const leastCapacity = 0.01

// DecodeMember makes a Member from an item.
type DecodeMember func(store.Item) (Member, error)

// Members follows the routers' leased entries. It is a store.Sink.
type Members struct {
	decode DecodeMember
	log    *event.Log
	now    func() time.Time

	mu      sync.Mutex
	present map[string]Member
	items   map[string]store.Item // of those present, as stored
	lapsed  map[string]bool       // missing since an outage, and still kept
	lapses  lapses
	reached bool
	// sorted is those present by name, made anew after a change; nil: not yet.
	sorted []Member
	// version counts the changes.
	version uint64
}

// NewMembers makes an empty list. A nil now means time.Now.
func NewMembers(decode DecodeMember, log *event.Log, now func() time.Time) *Members {
	if now == nil {
		now = time.Now
	}
	return &Members{decode: decode, log: log, now: now, present: make(map[string]Member), items: make(map[string]store.Item),
		lapsed: make(map[string]bool), lapses: lapses{now: now, quiet: memberWait}}
}

// Contact implements store.Sink. While the store is away nothing that is missing can come
// back: else a second outage right after the first empties the list. That it answers again
// is taken from the answer itself.
func (m *Members) Contact(reached bool, cause error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !reached {
		m.reached = false
	}
	LogContact(m.log, "routers", reached, cause)
}

// Reset implements store.Sink.
func (m *Members) Reset(items []store.Item, silence store.Silence) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lapses.noteSilence(silence)
	reset(m, items)
	m.reached = true
}

// Apply implements store.Sink.
func (m *Members) Apply(events []store.Event, silence store.Silence) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lapses.noteSilence(silence)
	apply(m, events)
	m.reached = true
}

// memberWait is the longest quiet time between two answers of the members' watch.
const memberWait = 2300 * time.Millisecond

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
	if before != member {
		m.changed()
	}
	m.present[item.Key], m.items[item.Key] = member, item
	delete(m.lapsed, item.Key)
}

func (m *Members) keys() []string {
	return slices.Collect(maps.Keys(m.present))
}

func (m *Members) missing(key string) {
	member, known := m.present[key]
	if !known {
		return
	}
	if m.lapses.lenient() {
		m.lapsed[key] = true
		return
	}
	m.log.Emit(event.PeerLeft, slog.String(event.KeyRouter, member.Name))
	m.changed()
	delete(m.present, key)
	delete(m.items, key)
	delete(m.lapsed, key)
}

// Seed takes another router's knowledge, before the store was ever reached.
func (m *Members) Seed(items []store.Item) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, item := range items {
		m.put(item)
	}
	m.lapses.seeded = true
}

// Items returns the entries as they were stored, for another router.
func (m *Members) Items() []store.Item {
	m.mu.Lock()
	defer m.mu.Unlock()
	items := make([]store.Item, 0, len(m.items))
	for _, item := range m.items {
		items = append(items, item)
	}
	return items
}

// Has says whether an entry is present, by its key.
func (m *Members) Has(key string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, found := m.present[key]
	return found
}

// changed notes a change of the list.
func (m *Members) changed() {
	m.sorted = nil
	m.version++
}

// List returns the routers that take callers, in the order of their names.
func (m *Members) List() []Member {
	list, _ := m.Snapshot()
	return slices.Clone(list)
}

// Snapshot returns the same for reading only, and a number that is another one after each
// change, by which what was worked out from the list can be kept.
func (m *Members) Snapshot() (list []Member, version uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.reached && !m.lapses.lenient() {
		for key := range m.lapsed {
			m.missing(key)
		}
	}
	if m.sorted == nil {
		m.sorted = slices.SortedFunc(maps.Values(m.present), func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	}
	return m.sorted, m.version
}
