package fleet

import (
	"log/slog"
	"time"

	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/store"
)

// outageSilence is how long the store must have been silent for missing entries to be
// treated as expired in an outage rather than removed. It is far above the interval
// between two reads, so that a normal pause is never taken for an outage, and below the
// three heartbeats that an entry survives.
const outageSilence = 3 * time.Second

// gracePeriod is how long entries that expired during an outage stay in use after the
// store is back: live servers reregister within two seconds.
const gracePeriod = 2 * time.Second

// maxGraceSinceReturn bounds the grace period from the earliest time at which the store may
// have been back. An entry that was removed during or after the outage is also kept for the
// grace period, so a server that left still gets requests. From three seconds after the store
// is back, the router must meet its bound on requests to servers that left; the difference
// covers requests in flight.
const maxGraceSinceReturn = 2800 * time.Millisecond

// repeatOutageSilence is how long the store must be silent within a grace period for the
// period to start again: live servers had no time to reregister before the second outage.
// A single failed call causes a shorter silence.
const repeatOutageSilence = time.Second

// grace decides whether missing entries are kept for a while. During a store outage the
// leases of live servers and routers expire. Dropping their entries as soon as the store
// is back would leave services without servers, or send all callers to the router that
// reregisters first.
type grace struct {
	now func() time.Time
	log *event.Log
	// entries names the data that the entries belong to.
	entries string
	// usualSilence is the longest time between two answers of a healthy store. A longer
	// silence is an outage if it exceeds usualSilence by more than outageSilence.
	usualSilence time.Duration
	// seeded is set if the entries came from another router and no store answer followed yet.
	seeded bool
	// end is when missing entries are dropped, if the store is reachable then.
	end     time.Time
	silence time.Duration // the silence that started the grace period
	// returned is the earliest time at which the store may have been back.
	returned time.Time
}

// observeSilence records the silence before an answer of the store and starts the grace
// period if it was an outage, or if entries may be missing because the store has lost them.
func (g *grace) observeSilence(s store.Silence) {
	if !g.seeded && !s.LostWrites && s.Length <= outageSilence+g.usualSilence && !g.outageRepeated(s) {
		return
	}
	repeated := g.active()
	g.seeded = false
	now := g.now()
	g.end = now.Add(min(gracePeriod, maxGraceSinceReturn-s.Ago))
	g.silence, g.returned = s.Length, now.Add(-s.Ago)
	g.log.Emit(event.GraceChanged, slog.String("follows", g.entries), slog.Int64("silence_ms", s.Length.Milliseconds()),
		slog.Int64("returned_ms", s.Ago.Milliseconds()), slog.Int64("kept_ms", g.end.Sub(now).Milliseconds()),
		slog.Bool("repeated", repeated), slog.Bool("lost_writes", s.LostWrites))
}

// cancel ends the grace period, since entries that are missing were removed.
func (g *grace) cancel() {
	if !g.active() {
		return
	}
	g.end = g.now()
	g.log.Emit(event.GraceRefuted, slog.String("follows", g.entries), slog.Int64("silence_ms", g.silence.Milliseconds()),
		slog.Int64("returned_ms", g.end.Sub(g.returned).Milliseconds()))
}

// outageRepeated reports whether s is an outage that began within the current grace period.
func (g *grace) outageRepeated(s store.Silence) bool {
	return s.Broken && s.Length >= repeatOutageSilence && g.now().Add(-s.Length).Before(g.end)
}

// active reports whether missing entries are still kept.
func (g *grace) active() bool {
	return g.now().Before(g.end)
}

// entries is a set of stored entries by key. Its lock is held during each call.
type entries interface {
	put(item store.Item)
	remove(key string)
	keys() []string
}

// reset replaces all entries with the result of a full read.
func reset(e entries, items []store.Item) {
	present := make(map[string]bool, len(items))
	for _, item := range items {
		present[item.Key] = true
		e.put(item)
	}
	for _, key := range e.keys() {
		if !present[key] {
			e.remove(key)
		}
	}
}

// apply applies changes in order.
func apply(e entries, events []store.Event) {
	for _, change := range events {
		if change.Deleted {
			e.remove(change.Key)
			continue
		}
		e.put(change.Item)
	}
}
