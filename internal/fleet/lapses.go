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
// the store's return: living servers are back within two seconds.
const lapseGrace = 2 * time.Second

// lapseLatest bounds the same from the moment at which the store may have returned. An
// entry that was removed in the outage, or after it, is taken for a lapsed one too, and its
// server is used although it left. Three seconds after the return a router is held to the
// bound of leaving servers; the rest is for the requests on their way.
const lapseLatest = 2800 * time.Millisecond

// lapseAgain is the silence within the grace after which it begins anew: living servers
// had no time to come back before it. A call that failed by itself is over in less.
const lapseAgain = time.Second

// lapses judges entries that are missing. During an outage of the store entries lapse
// although their owners live; dropping those at once would empty the services, or send
// all callers to the first router that reads, at the moment the store returns.
type lapses struct {
	now func() time.Time
	// quiet is the longest usual time between two answers of the store, beyond which
	// lapseGap counts.
	quiet time.Duration
	// seeded: what is known came from another router while the store was away.
	seeded bool
	// until is when missing entries are taken as gone, if the store answers then.
	until   time.Time
	silence time.Duration // the one that the grace is for
	// returned is when the store may have answered again at the earliest.
	returned time.Time
}

// noteSilence takes the time without an answer before one; after an outage the grace
// begins.
func (l *lapses) noteSilence(s store.Silence) {
	if !l.seeded && s.Length <= lapseGap+l.quiet && !l.again(s) {
		return
	}
	l.seeded = false
	now := l.now()
	l.until = now.Add(min(lapseGrace, lapseLatest-s.Ago))
	l.silence, l.returned = s.Length, now.Add(-s.Ago)
}

// again says whether an outage began in the grace of the one before.
func (l *lapses) again(s store.Silence) bool {
	return s.Broken && s.Length >= lapseAgain && l.now().Add(-s.Length).Before(l.until)
}

// lenient says whether a missing entry is taken for a lapsed one.
func (l *lapses) lenient() bool {
	return l.now().Before(l.until)
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
