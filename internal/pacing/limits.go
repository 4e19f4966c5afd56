package pacing

import (
	"log/slog"
	"maps"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/fleet"
	"chicorytiller.example/chicorytiller/internal/store"
)

const (
	// endGracePeriod is how long after the last word of a limit a request must have been sent for
	// its answer to end the limit. An answer that was under way when the limit began, or a
	// server that names it in most answers only, doesn't end it.
	endGracePeriod = 2 * time.Second
	// maxRecordLag is the greatest time that a record takes to be known at all routers. What a
	// router heard from the server itself within it may be newer than a record of the end.
	maxRecordLag = 3 * time.Second
	// rateTolerance is the relative difference below which two rates count as the same.
	rateTolerance = 0.1
	// maxTrackedServers bounds the servers kept; some hundred bytes each.
	maxTrackedServers = 8192
	// unregisteredTTL is how long the limit of a server that isn't registered is kept.
	unregisteredTTL = time.Minute
)

// Limit is a server's limit as this router knows it.
type Limit struct {
	PerSecond float64
	// RecordedAt is when the fleet's record of it became known here; zero: there is none yet.
	RecordedAt time.Time
}

// Limits is what this router knows of the limits that backend servers name in their
// answers. A router hears of a limit from the server, or from a record in the store that
// another router wrote; so also those that are not to send anything learn of its end. It is
// safe for concurrent use.
type Limits struct {
	log *event.Log
	now func() time.Time

	mu    sync.Mutex
	known map[string]*limit // by start of the server
	// inForce holds the limits in force, by start of the server. The map never changes.
	inForce atomic.Pointer[map[string]Limit]
	wake    chan struct{}
}

// limit is what is known of one server's.
type limit struct {
	start     string
	perSecond float64
	// ended: the limit has ended. It is kept so that an older record can't bring it back.
	ended bool
	// reported is when an answer to this router last named it; zero: none did.
	reported time.Time
	// endedLocally: this router found the end, and is to tell the others.
	endedLocally bool
	// record is the last one known, and recorded when it became known; zero: none.
	record   Record
	item     store.Item
	recorded time.Time
	pending  pending
}

// NewLimits makes an empty set. A nil now means time.Now.
func NewLimits(log *event.Log, now func() time.Time) *Limits {
	if now == nil {
		now = time.Now
	}
	l := &Limits{log: log, now: now, known: make(map[string]*limit), wake: make(chan struct{}, 1)}
	l.publish()
	return l
}

// Lookup returns the limit in force of a server, by its start.
func (l *Limits) Lookup(start string) (Limit, bool) {
	inForce := *l.inForce.Load()
	if len(inForce) == 0 {
		return Limit{}, false
	}
	limit, found := inForce[start]
	return limit, found
}

// Count is how many servers limit their requests.
func (l *Limits) Count() int {
	return len(*l.inForce.Load())
}

// Answered takes what an answer to a request says, and when that request was sent.
func (l *Limits) Answered(s *fleet.Server, rateLimit fleet.RateLimit, sent time.Time) {
	if _, limited := l.Lookup(s.Incarnation); rateLimit.State == fleet.LimitInvalid || rateLimit.State == fleet.LimitAbsent && !limited {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if rateLimit.State == fleet.LimitPresent {
		l.reported(s, rateLimit.PerSecond)
	} else {
		l.reportedNone(s, sent)
	}
	l.publish()
	l.notify()
}

// reported takes a limit that a server named to this router.
func (l *Limits) reported(s *fleet.Server, perSecond float64) {
	known := l.known[s.Incarnation]
	if known == nil && len(l.known) >= maxTrackedServers {
		return
	}
	if known == nil {
		known = &limit{start: s.Incarnation, ended: true}
		l.known[s.Incarnation] = known
	}
	if known.ended || !ratesEqual(known.perSecond, perSecond) {
		l.log.Emit(event.BackendLimited, slog.String(event.KeyBackend, s.ID), slog.Float64("per_second", perSecond), slog.String("by", "answer"))
	}
	known.perSecond, known.reported = perSecond, l.now()
	known.ended, known.endedLocally = false, false
}

// reportedNone takes that a server named no limit to this router.
func (l *Limits) reportedNone(s *fleet.Server, sent time.Time) {
	known := l.known[s.Incarnation]
	if known == nil || known.ended {
		return
	}
	last := known.reported
	if known.recorded.After(last) {
		last = known.recorded
	}
	if sent.Sub(last) < endGracePeriod {
		return
	}
	known.ended, known.endedLocally = true, true
	l.log.Emit(event.BackendUnlimited, slog.String(event.KeyBackend, s.ID), slog.String("by", "answer"),
		slog.Int64("named_ms", l.now().Sub(last).Milliseconds()))
}

// ApplyRecord takes a record that another router, or this one, wrote. It says whether the item is
// one.
func (l *Limits) ApplyRecord(item store.Item) bool {
	if !isRecord(item.Key) {
		return false
	}
	record, err := decodeRecord(item)
	if err != nil {
		l.log.Emit(event.EntryRejected, slog.String("key", item.Key), slog.Int64("revision", int64(item.Revision)), slog.Any(event.KeyCause, err))
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.apply(item, record)
	l.publish()
	l.notify()
	return true
}

func (l *Limits) apply(item store.Item, record Record) {
	known := l.known[record.Incarnation]
	if known != nil && known.item.Revision >= item.Revision || known == nil && len(l.known) >= maxTrackedServers {
		return
	}
	if known == nil {
		known = &limit{start: record.Incarnation, ended: true}
		l.known[record.Incarnation] = known
	}
	now := l.now()
	known.record, known.item, known.recorded = record, item, now
	reportedRecently := !known.reported.IsZero() && now.Sub(known.reported) < maxRecordLag
	switch {
	case record.Ended && !known.ended && !reportedRecently:
		known.ended = true
		l.logRecord(event.BackendUnlimited, item, record)
	case !record.Ended && !reportedRecently:
		if known.ended || !ratesEqual(known.perSecond, record.PerSecond) {
			l.logRecord(event.BackendLimited, item, record)
		}
		known.ended, known.endedLocally, known.perSecond = false, false, record.PerSecond
	}
}

func (l *Limits) logRecord(n event.Number, item store.Item, record Record) {
	l.log.Emit(n, slog.String(event.KeyBackend, fleet.ServerID(record.Incarnation)), slog.Float64("per_second", record.PerSecond),
		slog.String("by", "record"), slog.String(event.KeyRouter, record.Router), slog.Int64("revision", int64(item.Revision)))
}

// Items returns the records of the limits in force, for another router.
func (l *Limits) Items() []store.Item {
	l.mu.Lock()
	defer l.mu.Unlock()
	var items []store.Item
	for _, known := range l.known {
		if !known.ended && !known.recorded.IsZero() {
			items = append(items, known.item)
		}
	}
	return items
}

// Prune drops what is known of servers that are not registered any more.
func (l *Limits) Prune(registered func(start string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	old := func(at time.Time) bool { return now.Sub(at) > unregisteredTTL }
	maps.DeleteFunc(l.known, func(start string, known *limit) bool {
		return old(known.reported) && old(known.recorded) && (known.ended || !registered(start))
	})
	l.publish()
}

// publish makes the view anew.
func (l *Limits) publish() {
	inForce := make(map[string]Limit)
	for start, known := range l.known {
		if !known.ended {
			inForce[start] = Limit{PerSecond: known.perSecond, RecordedAt: known.recordedAt()}
		}
	}
	l.inForce.Store(&inForce)
}

// recordedAt is when the record of the limit in force became known; zero: there is none.
func (k *limit) recordedAt() time.Time {
	if k.record.Ended {
		return time.Time{}
	}
	return k.recorded
}

// starts lists the servers known, in a fixed order.
func (l *Limits) starts() []string {
	return slices.Sorted(maps.Keys(l.known))
}

// ratesEqual says whether two rates differ by little.
func ratesEqual(a, b float64) bool {
	return math.Abs(a-b) <= rateTolerance*max(a, b)
}
