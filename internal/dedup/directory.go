package dedup

import (
	"time"

	"chicorytiller.example/chicorytiller/internal/id"
)

// Entry says which router serves a key.
type Entry struct {
	Key      Key        `msgpack:"k"`
	Request  id.Request `msgpack:"r"`
	Serving  id.Router  `msgpack:"s"`
	Serial   uint64     `msgpack:"n"` // the serving router's number of this admission
	BodyHash uint64     `msgpack:"b"`
	At       time.Time  `msgpack:"t"` // of the first registration
	Done     bool       `msgpack:"d"` // the serving router has its whole answer
}

// Directory is the home router's memory of keys. The first registration of a
// key wins; only Replace changes the admission that serves it.
type Directory struct {
	retention time.Duration
	max       int
	entries   map[Key]*Entry
	order     []Key // by time of registration, oldest first
	// coldUntil: until then a key that is not found may have been registered
	// before this directory started, or been dropped for lack of room.
	coldUntil time.Time
}

// NewDirectory starts an empty directory of at most max keys.
func NewDirectory(now time.Time, retention time.Duration, max int) *Directory {
	return &Directory{
		retention: retention,
		max:       max,
		entries:   make(map[Key]*Entry),
		coldUntil: now.Add(retention),
	}
}

// Register records e unless its key is known already; then the entry known is
// returned and found is true. The time of registration is now, not e.At.
func (d *Directory) Register(now time.Time, e Entry) (existing Entry, found bool) {
	d.Expire(now)
	known, found := d.entries[e.Key]
	if found {
		return *known, true
	}
	d.makeRoom()
	e.At = now
	d.entries[e.Key] = &e
	d.order = append(d.order, e.Key)
	return e, false
}

// Done records that the serving router has the whole answer. A word from a
// router that serves the key no longer changes nothing.
func (d *Directory) Done(key Key, serving id.Router) bool {
	entry, found := d.entries[key]
	if !found || entry.Serving != serving {
		return false
	}
	entry.Done = true
	return true
}

// Lookup returns the entry of a key that has not expired.
func (d *Directory) Lookup(now time.Time, key Key) (Entry, bool) {
	entry, found := d.entries[key]
	if !found || d.expired(now, entry) {
		return Entry{}, false
	}
	return *entry, true
}

// Expire drops the keys registered longer than the retention ago.
func (d *Directory) Expire(now time.Time) {
	drop := 0
	for drop < len(d.order) && d.expired(now, d.entries[d.order[drop]]) {
		delete(d.entries, d.order[drop])
		drop++
	}
	d.order = dropFront(d.order, drop)
}

// Warm tells whether a key that is not found was surely not registered here
// within the retention.
func (d *Directory) Warm(now time.Time) bool {
	return !now.Before(d.coldUntil)
}

// Len is the number of keys kept.
func (d *Directory) Len() int {
	return len(d.entries)
}

func (d *Directory) expired(now time.Time, entry *Entry) bool {
	return now.Sub(entry.At) >= d.retention
}

// makeRoom drops the oldest key of a full directory. Failure: a retry of the
// dropped key would look new and run twice. So the directory counts as cold for
// as long as that key should have been kept.
func (d *Directory) makeRoom() {
	if len(d.entries) < d.max {
		return
	}
	oldest := d.entries[d.order[0]]
	until := oldest.At.Add(d.retention)
	if until.After(d.coldUntil) {
		d.coldUntil = until
	}
	delete(d.entries, oldest.Key)
	d.order = dropFront(d.order, 1)
}

// dropFront removes the first n elements. The slice moves to a new array now
// and then (when append grows it), so the dropped ones don't stay in memory.
func dropFront[E any](queue []E, n int) []E {
	if n == len(queue) {
		return queue[:0]
	}
	clear(queue[:n])
	return queue[n:]
}

// Entries lists the keys kept, oldest first.
func (d *Directory) Entries() []Entry {
	entries := make([]Entry, 0, len(d.order))
	for _, key := range d.order {
		entries = append(entries, *d.entries[key])
	}
	return entries
}
