// Package streams remembers at which version of the backend servers' software streams began, so that
// they go on only there. It does no I/O.
package streams

import (
	"cmp"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"chicorytiller.example/chicorytiller/internal/fleet"
)

// Key identifies a stream among the routers: a hash of its service and of the ID of the caller's
// attempt that brought its first event.
type Key uint64

// KeyOf returns the key of the stream that an attempt began at a service.
func KeyOf(service, attemptID string) Key {
	return Key(xxhash.Sum64String(service + "\x00" + attemptID))
}

// Record tells at which version a stream began.
type Record struct {
	Key     Key
	Version string
}

const (
	// retention is how long a record is kept at least after its last use. It is longer than the
	// deadline of any stream and the pauses of a caller that resumes it.
	retention = time.Minute
	// maxRecords bounds the records kept for a retention; one takes about a hundred bytes.
	maxRecords = 1 << 16
)

// Table holds records. It is safe for concurrent use.
type Table struct {
	now func() time.Time

	mu sync.Mutex
	// recent holds the records used since rotatedAt, older those of the period before. Dropping a
	// whole period at a time bounds the memory without a search for expired records.
	recent, older map[Key]string
	rotatedAt     time.Time
}

// NewTable returns an empty table. A nil now means time.Now.
func NewTable(now func() time.Time) *Table {
	if now == nil {
		now = time.Now
	}
	return &Table{now: now, recent: make(map[Key]string), rotatedAt: now()}
}

// Put keeps a record. The version of a known stream never changes.
func (t *Table) Put(r Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, known := t.find(r.Key); !known {
		t.rotate()
		t.recent[r.Key] = r.Version
	}
}

// Find returns the version at which a stream began, and keeps its record for another retention.
func (t *Table) Find(key Key) (version string, found bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.find(key)
}

func (t *Table) find(key Key) (version string, found bool) {
	if version, found = t.recent[key]; found {
		return version, true
	}
	if version, found = t.older[key]; found {
		t.recent[key] = version
	}
	return version, found
}

// Remove drops the record of a stream that has ended.
func (t *Table) Remove(key Key) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.recent, key)
	delete(t.older, key)
}

// Records returns all records.
func (t *Table) Records() []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	records := make([]Record, 0, len(t.recent)+len(t.older))
	for key, version := range t.recent {
		records = append(records, Record{key, version})
	}
	for key, version := range t.older {
		if _, both := t.recent[key]; !both {
			records = append(records, Record{key, version})
		}
	}
	return records
}

// Len returns the number of records, of which some may count twice.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.recent) + len(t.older)
}

// rotate drops the older records once a retention has passed, or once the table is full.
func (t *Table) rotate() {
	now := t.now()
	if now.Sub(t.rotatedAt) < retention && len(t.recent) < maxRecords {
		return
	}
	t.older, t.recent, t.rotatedAt = t.recent, make(map[Key]string), now
}

// HolderCount is the number of routers that hold the record of a stream, beside the router that
// relays it. If a third of all routers die at once, four in a hundred streams lose all holders.
const HolderCount = 3

// AskCount is the number of routers that are asked for a record. It is larger than HolderCount, since
// those that took the places of routers which died have no older records.
const AskCount = 2 * HolderCount

const (
	// minSlots and routersPerSlot bound the connections of each router to holders, and the streams that
	// a holder serves, in a large fleet.
	minSlots       = 64
	routersPerSlot = 8
	// shards is the number of groups of streams with the same holders. If there were few, the death of
	// some routers could take all holders of a large part of the streams.
	shards = 512
)

// Shard is a group of streams with the same holders.
type Shard uint64

// ShardOf returns the shard of a stream.
func ShardOf(key Key) Shard {
	return Shard(key % shards)
}

// Slots returns the routers that hold records. Each of a fixed number of slots belongs to the router
// of the lowest rank, so that a router that joins or leaves changes few of them.
func Slots(members []fleet.Member) []fleet.Member {
	reachable := slices.DeleteFunc(slices.Clone(members), func(m fleet.Member) bool { return m.PeerAddress == "" })
	if len(reachable) == 0 {
		return nil
	}
	slots := make([]fleet.Member, max(minSlots, len(reachable)/routersPerSlot))
	for i := range slots {
		key := "stream records " + strconv.Itoa(i)
		slots[i] = slices.MinFunc(reachable, func(a, b fleet.Member) int {
			return cmp.Or(cmp.Compare(a.Rank(key), b.Rank(key)), cmp.Compare(a.Name, b.Name))
		})
	}
	return slots
}

// Holders returns up to count routers for the records of a shard, those of the first slots in the
// shard's order. As many as possible are in different failure domains.
func Holders(slots []fleet.Member, shard Shard, count int) []fleet.Member {
	var holders, rest []fleet.Member
	routers, domains := make(map[string]bool), make(map[string]bool)
	for _, i := range slotOrder(len(slots), shard) {
		m := slots[i]
		switch {
		case routers[m.Name]:
			continue
		case domains[m.Domain]:
			rest = append(rest, m)
		default:
			holders = append(holders, m)
		}
		routers[m.Name], domains[m.Domain] = true, true
	}
	holders = append(holders, rest...)
	return holders[:min(len(holders), count)]
}

// slotOrder returns the indexes of all slots in the order in which a shard uses them.
func slotOrder(slots int, shard Shard) []int {
	order := make([]int, slots)
	hashes := make([]uint64, slots)
	for i := range order {
		order[i] = i
		hashes[i] = xxhash.Sum64String(strconv.FormatUint(uint64(shard), 10) + "/" + strconv.Itoa(i))
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(hashes[a], hashes[b]) })
	return order
}
