package fleet

import (
	"time"

	"chicorytiller.example/chicorytiller/internal/store"
)

// lapseGap is the silence of the store after which missing entries may have
// lapsed with it rather than left. It is far above the pause between two reads, so
// that a usual pause is never taken for an outage, and below the three heartbeats
// that an entry survives.
const lapseGap = 3 * time.Second

// lapseGrace is how long entries that lapsed during an outage stay in use after
// the store's return: living servers are back within two seconds (users' letter).
const lapseGrace = 2 * time.Second

// lapses judges entries that are missing. During an outage of the store entries lapse
// although their owners live; dropping those at once would empty the services, or send
// all callers to the first router that reads, at the moment the store returns.
type lapses struct {
	now func() time.Time
	// quiet is the longest usual time between two answers of the store, beyond which
	// lapseGap counts.
	quiet time.Duration
	// seeded: what is known came from another router while the store was away.
	seeded     bool
	graceUntil time.Time
	silence    time.Duration // the one that the grace is for
}

// noteGap takes the time since the store answered before; after an outage the grace
// begins.
func (l *lapses) noteGap(gap time.Duration) {
	if gap > lapseGap+l.quiet || l.seeded {
		l.seeded = false
		l.graceUntil = l.now().Add(lapseGrace)
		l.silence = gap
	}
}

// grace says whether a missing entry is taken for a lapsed one, and until when.
func (l *lapses) grace() (until time.Time, lenient bool) {
	return l.graceUntil, l.now().Before(l.graceUntil)
}

// entries is what a sink of leased entries does with each of them. Its lock is held.
type entries interface {
	put(item store.Item)
	missing(key string)
	keys() []string
}

// reset replaces what is known by what a read gave.
func reset(e entries, items []store.Item) {
	present := make(map[string]bool, len(items))
	for _, item := range items {
		present[item.Key] = true
		e.put(item)
	}
	for _, key := range e.keys() {
		if !present[key] {
			e.missing(key)
		}
	}
}

// apply takes changes in their order.
func apply(e entries, events []store.Event) {
	for _, change := range events {
		if change.Deleted {
			e.missing(change.Key)
			continue
		}
		e.put(change.Item)
	}
}
