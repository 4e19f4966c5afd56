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
	// A response without a rate ends a rate only if its request was sent at least endGracePeriod
	// after the rate was last reported or recorded. Otherwise a response that was in flight when
	// the rate began would end it, or one of several from which the server omits it.
	endGracePeriod = 2 * time.Second
	// maxRecordLag is the maximum time until a record has reached all routers. A report from
	// the server itself within that time may be newer than the record and takes precedence.
	maxRecordLag = 3 * time.Second
	// rateTolerance is the relative difference up to which two rates count as equal.
	rateTolerance = 0.1
	// maxTrackedSubjects bounds the memory used, at a few hundred bytes each.
	maxTrackedSubjects = 8192
	// staleTTL is how long an entry is kept after its last update once its rate has ended or its
	// subject is no longer registered.
	staleTTL = time.Minute
)

// Kind is a kind of rate that backend servers announce in their answers.
type Kind struct {
	prefix string // of the keys of the records in the store
	// began and ended are logged when a rate is first announced or changes, and when it is no longer
	// announced.
	began, ended event.Number
	// SubjectAttr returns the attribute that names the subject in the log.
	SubjectAttr func(subject string) slog.Attr
}

var (
	// RateLimits are the requests per second that a server accepts from all routers together. The
	// subject is the incarnation of the server.
	RateLimits = Kind{prefix: "chicory/limit/", began: event.BackendLimited, ended: event.BackendUnlimited, SubjectAttr: func(incarnation string) slog.Attr {
		return slog.String(event.KeyBackend, fleet.ServerID(incarnation))
	}}
	// Fragility are the requests per second that each server of a service can reject without
	// falling over. The subject is the service.
	Fragility = Kind{prefix: "chicory/fragile/", began: event.ServiceFragile, ended: event.ServiceSound, SubjectAttr: func(service string) slog.Attr {
		return slog.String("service", service)
	}}
)

// Rate is an announced rate as this router knows it.
type Rate struct {
	PerSecond float64
	// Since is when this router learned that the rate is announced.
	Since time.Time
	// RecordedAt is when this router learned of the rate's record in the store; zero if
	// there is none yet.
	RecordedAt time.Time
}

// AnnouncedRates tracks one kind of rate that backend servers announce in their answers. A router
// learns of a rate from a server itself, or from a record that another router wrote to the
// store; the record also tells routers that send nothing to the server when the rate is no longer
// announced. It is safe for concurrent use.
type AnnouncedRates struct {
	kind Kind
	log  *event.Log
	now  func() time.Time

	mu    sync.Mutex
	rates map[string]*entry // by subject
	// inForce holds the rates in force by subject. The map is replaced, never changed, so that Lookup
	// needs no lock.
	inForce atomic.Pointer[map[string]Rate]
	wake    chan struct{}
}

// entry is what this router knows of the rate of one subject.
type entry struct {
	subject   string
	perSecond float64
	since     time.Time // when the rate came into force here
	// ended is set when the rate is no longer announced. The entry is kept so that an older record can't
	// restore it.
	ended bool
	// reported is when a response to this router last announced the rate; zero if none did.
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

// NewAnnouncedRates returns an empty AnnouncedRates. A nil now means time.Now.
func NewAnnouncedRates(kind Kind, log *event.Log, now func() time.Time) *AnnouncedRates {
	if now == nil {
		now = time.Now
	}
	l := &AnnouncedRates{kind: kind, log: log, now: now, rates: make(map[string]*entry), wake: make(chan struct{}, 1)}
	l.publish()
	return l
}

// Kind returns the kind of the rates.
func (l *AnnouncedRates) Kind() Kind {
	return l.kind
}

// Lookup returns a subject's rate in force.
func (l *AnnouncedRates) Lookup(subject string) (Rate, bool) {
	inForce := *l.inForce.Load()
	if len(inForce) == 0 {
		return Rate{}, false
	}
	rate, found := inForce[subject]
	return rate, found
}

// InForce returns the rates in force by subject. The map must not be modified.
func (l *AnnouncedRates) InForce() map[string]Rate {
	return *l.inForce.Load()
}

// Count returns the number of subjects with a rate in force.
func (l *AnnouncedRates) Count() int {
	return len(*l.inForce.Load())
}

// ObserveResponse updates a subject's rate from a response. sent is when the request was sent.
func (l *AnnouncedRates) ObserveResponse(subject string, announced fleet.AnnouncedRate, sent time.Time) {
	if _, found := l.Lookup(subject); announced.State == fleet.RateInvalid || announced.State == fleet.RateAbsent && !found {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if announced.State == fleet.RatePresent {
		l.handleRate(subject, announced.PerSecond)
	} else {
		l.handleNoRate(subject, sent)
	}
	l.publish()
	l.notify()
}

// handleRate handles a response that announces a rate.
func (l *AnnouncedRates) handleRate(subject string, perSecond float64) {
	known := l.rates[subject]
	if known == nil && len(l.rates) >= maxTrackedSubjects {
		return
	}
	if known == nil {
		known = &entry{subject: subject, ended: true}
		l.rates[subject] = known
	}
	if known.ended || !ratesEqual(known.perSecond, perSecond) {
		l.log.Emit(l.kind.began, l.kind.SubjectAttr(subject), slog.Float64("per_second", perSecond), slog.String("by", "answer"))
	}
	if known.ended {
		known.since = l.now()
	}
	known.perSecond, known.reported = perSecond, l.now()
	known.ended, known.endedLocally = false, false
}

// handleNoRate handles a response without a rate.
func (l *AnnouncedRates) handleNoRate(subject string, sent time.Time) {
	known := l.rates[subject]
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
	l.log.Emit(l.kind.ended, l.kind.SubjectAttr(subject), slog.String("by", "answer"),
		slog.Int64("named_ms", l.now().Sub(last).Milliseconds()))
}

// ApplyRecord updates a subject's rate from a record that this or another router wrote. It
// reports whether the item's key is that of such a record; an invalid record is logged.
func (l *AnnouncedRates) ApplyRecord(item store.Item) bool {
	return l.applyRecord(item, false)
}

// ApplyCopied is ApplyRecord for a record that may be an old one, since the store was restored from a
// copy. Such a record doesn't end a rate that is in force.
func (l *AnnouncedRates) ApplyCopied(item store.Item) bool {
	return l.applyRecord(item, true)
}

// WriteAgain makes the records of the rates due that servers announced to this router, because the store
// has lost writes.
func (l *AnnouncedRates) WriteAgain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, known := range l.rates {
		if !known.ended && !known.reported.IsZero() {
			known.record, known.recorded, known.pending = Record{}, time.Time{}, pending{}
		}
	}
	l.publish()
	l.notify()
}

func (l *AnnouncedRates) applyRecord(item store.Item, copied bool) bool {
	if !l.kind.owns(item.Key) {
		return false
	}
	record, err := l.kind.decode(item)
	if err != nil {
		l.log.Emit(event.EntryRejected, slog.String("key", item.Key), item.Revision.Attr(), slog.Any(event.KeyCause, err))
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.rates[record.Subject]
	if copied && record.Ended && known != nil && !known.ended {
		return true
	}
	l.apply(item, record)
	l.publish()
	l.notify()
	return true
}

func (l *AnnouncedRates) apply(item store.Item, record Record) {
	known := l.rates[record.Subject]
	if known != nil && known.item.Revision >= item.Revision || known == nil && len(l.rates) >= maxTrackedSubjects {
		return
	}
	if known == nil {
		known = &entry{subject: record.Subject, ended: true}
		l.rates[record.Subject] = known
	}
	now := l.now()
	known.record, known.item, known.recorded = record, item, now
	reportedRecently := !known.reported.IsZero() && now.Sub(known.reported) < maxRecordLag
	switch {
	case record.Ended && !known.ended && !reportedRecently:
		known.ended = true
		l.logRecord(l.kind.ended, item, record)
	case !record.Ended && !reportedRecently:
		if known.ended || !ratesEqual(known.perSecond, record.PerSecond) {
			l.logRecord(l.kind.began, item, record)
		}
		if known.ended {
			known.since = now
		}
		known.ended, known.endedLocally, known.perSecond = false, false, record.PerSecond
	}
}

func (l *AnnouncedRates) logRecord(n event.Number, item store.Item, record Record) {
	l.log.Emit(n, l.kind.SubjectAttr(record.Subject), slog.Float64("per_second", record.PerSecond),
		slog.String("by", "record"), slog.String(event.KeyRouter, record.Router), item.Revision.Attr())
}

// Items returns the records of the rates in force, to be passed to another router.
func (l *AnnouncedRates) Items() []store.Item {
	l.mu.Lock()
	defer l.mu.Unlock()
	var items []store.Item
	for _, known := range l.rates {
		if !known.ended && !known.recorded.IsZero() {
			items = append(items, known.item)
		}
	}
	return items
}

// Prune removes entries not updated within staleTTL, if their rate has ended or their subject is no
// longer registered.
func (l *AnnouncedRates) Prune(registered func(subject string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	expired := func(at time.Time) bool { return now.Sub(at) > staleTTL }
	maps.DeleteFunc(l.rates, func(subject string, known *entry) bool {
		return expired(known.reported) && expired(known.recorded) && (known.ended || !registered(subject))
	})
	l.publish()
}

// publish replaces the map that Lookup reads.
func (l *AnnouncedRates) publish() {
	inForce := make(map[string]Rate)
	for subject, known := range l.rates {
		if !known.ended {
			inForce[subject] = Rate{PerSecond: known.perSecond, Since: known.since, RecordedAt: known.recordedAt()}
		}
	}
	l.inForce.Store(&inForce)
}

// recordedAt returns when this router learned of the record of the rate in force, or zero if
// there is no such record.
func (e *entry) recordedAt() time.Time {
	if e.record.Ended {
		return time.Time{}
	}
	return e.recorded
}

// subjects returns the tracked subjects in sorted order.
func (l *AnnouncedRates) subjects() []string {
	return slices.Sorted(maps.Keys(l.rates))
}

// ratesEqual reports whether two rates are equal within rateTolerance.
func ratesEqual(a, b float64) bool {
	return math.Abs(a-b) <= rateTolerance*max(a, b)
}
