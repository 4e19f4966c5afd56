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
	// A response without a limit ends a limit only if its request was sent at least endGracePeriod
	// after the limit was last reported or recorded. Otherwise a response that was in flight when
	// the limit began would end it, or one of several from which the server omits it.
	endGracePeriod = 2 * time.Second
	// maxRecordLag is the maximum time until a record has reached all routers. A report from
	// the server itself within that time may be newer than the record and takes precedence.
	maxRecordLag = 3 * time.Second
	// rateTolerance is the relative difference up to which two rates count as equal.
	rateTolerance = 0.1
	// maxTrackedServers bounds the memory used, at a few hundred bytes per server.
	maxTrackedServers = 8192
	// staleTTL is how long an entry is kept after its last update once its limit has ended or its
	// server is no longer registered.
	staleTTL = time.Minute
)

// Limit is a server's rate limit as this router knows it.
type Limit struct {
	PerSecond float64
	// RecordedAt is when this router learned of the limit's record in the store; zero if
	// there is none yet.
	RecordedAt time.Time
}

// Limits tracks the rate limits that backend servers announce in their responses. A router
// learns of a limit from the server itself, or from a record that another router wrote to the
// store; the record also tells routers that send nothing to the server when the limit ends.
// It is safe for concurrent use.
type Limits struct {
	log *event.Log
	now func() time.Time

	mu     sync.Mutex
	limits map[string]*entry // by incarnation of the server
	// inForce holds the limits in force by incarnation of the server. The map is replaced, never
	// changed, so that Lookup needs no lock.
	inForce atomic.Pointer[map[string]Limit]
	wake    chan struct{}
}

// entry is what this router knows of one server's rate limit.
type entry struct {
	incarnation string
	perSecond   float64
	// ended is set when the limit has ended. The entry is kept so that an older record can't
	// restore it.
	ended bool
	// reported is when a response to this router last announced the limit; zero if none did.
	reported time.Time
	// endedLocally is set if this router noticed the end and has to record it.
	endedLocally bool
	// record is the latest record, and recorded is when this router learned of it; zero if
	// there is none.
	record   Record
	item     store.Item
	recorded time.Time
	pending  pending
}

// NewLimits returns an empty Limits. A nil now means time.Now.
func NewLimits(log *event.Log, now func() time.Time) *Limits {
	if now == nil {
		now = time.Now
	}
	l := &Limits{log: log, now: now, limits: make(map[string]*entry), wake: make(chan struct{}, 1)}
	l.publish()
	return l
}

// Lookup returns the limit in force of the server with the given incarnation.
func (l *Limits) Lookup(incarnation string) (Limit, bool) {
	inForce := *l.inForce.Load()
	if len(inForce) == 0 {
		return Limit{}, false
	}
	limit, found := inForce[incarnation]
	return limit, found
}

// Count returns the number of rate-limited servers.
func (l *Limits) Count() int {
	return len(*l.inForce.Load())
}

// ObserveResponse updates a server's limit from a response. sent is when the request was sent.
func (l *Limits) ObserveResponse(s *fleet.Server, rateLimit fleet.RateLimit, sent time.Time) {
	if _, limited := l.Lookup(s.Incarnation); rateLimit.State == fleet.LimitInvalid || rateLimit.State == fleet.LimitAbsent && !limited {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if rateLimit.State == fleet.LimitPresent {
		l.handleLimit(s, rateLimit.PerSecond)
	} else {
		l.handleNoLimit(s, sent)
	}
	l.publish()
	l.notify()
}

// handleLimit handles a response that announces a limit.
func (l *Limits) handleLimit(s *fleet.Server, perSecond float64) {
	known := l.limits[s.Incarnation]
	if known == nil && len(l.limits) >= maxTrackedServers {
		return
	}
	if known == nil {
		known = &entry{incarnation: s.Incarnation, ended: true}
		l.limits[s.Incarnation] = known
	}
	if known.ended || !ratesEqual(known.perSecond, perSecond) {
		l.log.Emit(event.BackendLimited, slog.String(event.KeyBackend, s.ID), slog.Float64("per_second", perSecond), slog.String("by", "answer"))
	}
	known.perSecond, known.reported = perSecond, l.now()
	known.ended, known.endedLocally = false, false
}

// handleNoLimit handles a response without a limit.
func (l *Limits) handleNoLimit(s *fleet.Server, sent time.Time) {
	known := l.limits[s.Incarnation]
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

// ApplyRecord updates a server's limit from a record that this or another router wrote. It
// reports whether the item's key is that of a limit record; an invalid record is logged.
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
	known := l.limits[record.Incarnation]
	if known != nil && known.item.Revision >= item.Revision || known == nil && len(l.limits) >= maxTrackedServers {
		return
	}
	if known == nil {
		known = &entry{incarnation: record.Incarnation, ended: true}
		l.limits[record.Incarnation] = known
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

// Items returns the records of the limits in force, to be passed to another router.
func (l *Limits) Items() []store.Item {
	l.mu.Lock()
	defer l.mu.Unlock()
	var items []store.Item
	for _, known := range l.limits {
		if !known.ended && !known.recorded.IsZero() {
			items = append(items, known.item)
		}
	}
	return items
}

// Prune removes entries not updated within staleTTL, if their limit has ended or their server is no
// longer registered.
func (l *Limits) Prune(registered func(incarnation string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	expired := func(at time.Time) bool { return now.Sub(at) > staleTTL }
	maps.DeleteFunc(l.limits, func(incarnation string, known *entry) bool {
		return expired(known.reported) && expired(known.recorded) && (known.ended || !registered(incarnation))
	})
	l.publish()
}

// publish replaces the map that Lookup reads.
func (l *Limits) publish() {
	inForce := make(map[string]Limit)
	for incarnation, known := range l.limits {
		if !known.ended {
			inForce[incarnation] = Limit{PerSecond: known.perSecond, RecordedAt: known.recordedAt()}
		}
	}
	l.inForce.Store(&inForce)
}

// recordedAt returns when this router learned of the record of the limit in force, or zero if
// there is no such record.
func (e *entry) recordedAt() time.Time {
	if e.record.Ended {
		return time.Time{}
	}
	return e.recorded
}

// incarnations returns the tracked servers in sorted order.
func (l *Limits) incarnations() []string {
	return slices.Sorted(maps.Keys(l.limits))
}

// ratesEqual reports whether two rates are equal within rateTolerance.
func ratesEqual(a, b float64) bool {
	return math.Abs(a-b) <= rateTolerance*max(a, b)
}
