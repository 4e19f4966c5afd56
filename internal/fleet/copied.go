package fleet

import (
	"maps"
	"time"

	"chicorytiller.example/chicorytiller/internal/store"
)

// A store that was restored from a copy has entries again that are older than what is known: of servers
// that were removed since, or whose state has changed. They must not bring back what has ended.

// removedEntry is the last entry of a server that was removed.
type removedEntry struct {
	revision   store.Revision
	start, seq int64
	at         time.Time
}

// removedTTL is how long removed entries are remembered: far longer than the age of a copy from which
// the store may be restored.
const removedTTL = 2 * time.Minute

// isCopied reports whether an entry is the removed one or an older one, which the store has again because
// it was restored from a copy.
func (e removedEntry) isCopied(item store.Item, entry Entry) bool {
	return item.Revision.Era() > e.revision.Era() && item.Revision.Number() <= e.revision.Number() &&
		entry.StartUnixMilli == e.start && entry.Seq <= e.seq
}

// removedEntries holds removed entries by key.
type removedEntries map[string]removedEntry

// add remembers the last entry of a server, and forgets those beyond removedTTL.
func (e removedEntries) add(key string, last *tracked, now time.Time) {
	maps.DeleteFunc(e, func(_ string, old removedEntry) bool { return now.Sub(old.at) > removedTTL })
	e[key] = removedEntry{revision: last.revision, start: last.start, seq: last.seq, at: now}
}

// isCopied reports whether an entry is older than the known one of the same server process, since the
// store was restored from a copy.
func (t *tracked) isCopied(item store.Item, e Entry) bool {
	return item.Revision.Era() > t.revision.Era() && e.StartUnixMilli == t.start && e.Seq < t.seq
}
