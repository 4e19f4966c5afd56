// Package rollout decides at which versions of the backend servers' software new streams of a service
// may begin, and tells when all streams must have begun at a single one. It does no I/O.
//
// The admitted versions of a service are in a record in the store. A router begins streams only at
// versions that have been in the record for AdmissionDelay, as this router saw it. Another router that
// knows the record as it was less than MaxAge ago therefore knows of each version at which any stream
// can have begun: if there is one, it needs to ask nobody.
//
// When the store comes back from a copy, it may have lost the admission of a version, and all that knew of it
// may have died or may not reach the store. So in a new era of the store nobody concludes anything from the
// absence of a version until all streams of the earlier era have ended. Then a router confirms the record for
// the new era, for those that start later.
package rollout

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"chicorytiller.example/chicorytiller/internal/store"
)

const (
	// admissionMargin covers the time between a router's decision and its use.
	admissionMargin = 200 * time.Millisecond
	// RetireAfter is how long no server of a version must have been listed before it is retired. It is
	// longer than any stream lasts, and than routers without the store go on with servers that left.
	RetireAfter = 10 * time.Minute
	// spreadPerRouter and maxSpread bound the random delay of writes, so that in a large fleet only a
	// few routers write before they see the record that the first one wrote.
	spreadPerRouter = 20 * time.Millisecond
	maxSpread       = 2 * time.Second
	// writeInterval is the least time between two writes of a record by one router.
	writeInterval = 500 * time.Millisecond
)

// Tracker keeps the admitted versions of all services as this router knows them. It is safe for
// concurrent use.
type Tracker struct {
	now    func() time.Time
	maxAge time.Duration

	mu       sync.Mutex
	asOf     time.Time // the records are known as of this time
	era      store.Era // of the store, as far as known
	services map[string]*service
	// listedAt is when NextWrite last knew the listed servers.
	listedAt time.Time
}

// service is the state of one service.
type service struct {
	record   Record
	revision store.Revision
	// stored holds the versions of the record in the store, which lacks some of the known record if the
	// store has lost writes.
	stored []string
	item   store.Item
	// usableAt tells from when new streams may begin at a version.
	usableAt map[string]time.Time
	// sole is the version at which all streams without a record began until soleUntil, while another
	// one has been admitted and can't be in use yet.
	sole      string
	soleUntil time.Time
	// lastListed is when a server of a version was last listed, or when the version was first known.
	lastListed map[string]time.Time
	// writeAt is when this router may write the record; zero if no write is due.
	writeAt time.Time
	// uncertainSince is when this router learned that the record may lack versions, since the store has
	// lost writes; zero: it lacks none.
	uncertainSince time.Time
}

// New returns a tracker. maxAge is the maximum age of records on which Sole relies. A nil now means
// time.Now.
func New(maxAge time.Duration, now func() time.Time) *Tracker {
	if now == nil {
		now = time.Now
	}
	return &Tracker{now: now, maxAge: maxAge, services: make(map[string]*service)}
}

// AdmissionDelay is how long a router waits between seeing a version admitted and using it.
func (t *Tracker) AdmissionDelay() time.Duration {
	return t.maxAge + admissionMargin
}

// Confirm records that all changes of the records up to asOf have been applied.
func (t *Tracker) Confirm(asOf time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if asOf.After(t.asOf) {
		t.asOf = asOf
	}
}

// Apply applies a record that was read from the store or learned from another router. It returns the
// record and whether it is newer than the known one, or an error if it is invalid.
func (t *Tracker) Apply(item store.Item) (record Record, changed bool, err error) {
	record, err = DecodeRecord(item)
	if err != nil {
		return Record{}, false, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(record.Service)
	if item.Revision <= s.revision {
		return record, false, nil
	}
	s.writeAt, s.stored = time.Time{}, record.Versions
	t.observeEra(item.Revision.Era())
	wasCertain := s.isCertain()
	s.setCertain(store.Era(record.Era) == t.era && item.Revision.Era() == t.era, t.now())
	if item.Revision.Era() > s.revision.Era() && record.Changes <= s.record.Changes {
		// The store was restored from a copy. Streams may have begun at versions that were admitted since.
		s.revision = item.Revision
		return record, false, nil
	}
	t.adopt(s, record, wasCertain)
	s.revision, s.item = item.Revision, item
	return record, true, nil
}

// ObserveEra takes notice of the store's era. In a new one the store has lost writes.
func (t *Tracker) ObserveEra(era store.Era) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.observeEra(era)
}

func (t *Tracker) observeEra(era store.Era) {
	if era <= t.era {
		return
	}
	t.era = era
	for _, s := range t.services {
		s.setCertain(false, t.now())
	}
}

// DropMissing takes notice that the store has only the present records, because it has lost writes.
func (t *Tracker) DropMissing(isPresent func(key string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, s := range t.services {
		if s.revision > 0 && !isPresent((Record{Service: name}).Key()) {
			s.drop(t.now())
		}
	}
}

// Drop takes notice that the store has lost the record with the key, if there is one.
func (t *Tracker) Drop(key string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, s := range t.services {
		if (Record{Service: name}).Key() == key {
			s.drop(t.now())
		}
	}
}

// drop makes the record due to be written again.
func (s *service) drop(now time.Time) {
	s.revision, s.stored, s.writeAt = 0, nil, time.Time{}
	s.setCertain(false, now)
}

// setCertain notes whether the record surely lacks no version.
func (s *service) setCertain(certain bool, now time.Time) {
	switch {
	case certain:
		s.uncertainSince = time.Time{}
	case s.uncertainSince.IsZero():
		s.uncertainSince = now
	}
}

// isCertain reports whether the record surely lacks no version at which streams may have begun.
func (s *service) isCertain() bool {
	return s.uncertainSince.IsZero()
}

// isConfirmable reports whether all streams that may have begun at versions which the record lacks have ended.
func (s *service) isConfirmable(now time.Time) bool {
	return !s.isCertain() && now.Sub(s.uncertainSince) >= RetireAfter
}

// service returns the state of a service, without a record if none is known.
func (t *Tracker) service(name string) *service {
	s := t.services[name]
	if s == nil {
		s = &service{usableAt: make(map[string]time.Time), lastListed: make(map[string]time.Time)}
		t.services[name] = s
	}
	return s
}

// adopt puts a newer record in the place of the known one. wasCertain says that the known one lacked no version as of
// asOf.
func (t *Tracker) adopt(s *service, record Record, wasCertain bool) {
	now := t.now()
	before := s.record.Versions
	if wasCertain && len(before) == 1 && len(record.Versions) > 1 && slices.Contains(record.Versions, before[0]) {
		s.sole, s.soleUntil = before[0], t.asOf.Add(t.AdmissionDelay())
	}
	for i, version := range record.Versions {
		if slices.Contains(before, version) {
			continue
		}
		s.lastListed[version] = now
		// No router can rely on the absence of the versions of the first record, unless the store may have lost an
		// earlier one. The first version of a later one was admitted long ago, since others were retired after it.
		isFirstSinceLoss := !s.isCertain() && store.Era(record.Created) == t.era
		if i > 0 && record.Changes > 1 || isFirstSinceLoss {
			s.usableAt[version] = now.Add(t.AdmissionDelay())
		}
	}
	for _, version := range before {
		if !slices.Contains(record.Versions, version) {
			delete(s.usableAt, version)
			delete(s.lastListed, version)
		}
	}
	s.record = record
}

// MayBegin returns whether new streams of a service may begin at a version, and if not, how long
// until they may; zero if the version is not admitted yet.
func (t *Tracker) MayBegin(serviceName, version string) (ok bool, wait time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[serviceName]
	if s == nil || !slices.Contains(s.record.Versions, version) {
		return false, 0
	}
	wait = max(0, s.usableAt[version].Sub(t.now()))
	return wait == 0, wait
}

// Sole returns the version at which all streams of a service began that may still be resumed and of
// which no record was found. It returns false if there may be several, or if what this router knows
// is too old to tell.
func (t *Tracker) Sole(serviceName string) (version string, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[serviceName]
	now := t.now()
	switch {
	case s == nil || len(s.record.Versions) == 0 || !s.isCertain() || now.Sub(t.asOf) > t.maxAge:
		return "", false
	case len(s.record.Versions) == 1:
		return s.record.Versions[0], true
	}
	return s.sole, now.Before(s.soleUntil)
}

// NeedsRecords reports whether other routers may need a record of a stream of the service: unless
// this router knows that there is a single version, they may not know it either.
func (t *Tracker) NeedsRecords(serviceName string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[serviceName]
	return s == nil || len(s.record.Versions) != 1 || !s.isCertain() || t.now().Sub(t.asOf) > t.maxAge
}

// Age returns how old the records may be.
func (t *Tracker) Age() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.now().Sub(t.asOf)
}

// Known reports whether the records of all services are known.
func (t *Tracker) Known(services map[string][]string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name := range services {
		if s := t.services[name]; s == nil || s.revision == 0 {
			return false
		}
	}
	return true
}

// Items returns the stored records, to send to another router.
func (t *Tracker) Items() []store.Item {
	t.mu.Lock()
	defer t.mu.Unlock()
	var items []store.Item
	for _, s := range t.services {
		if s.item.Key != "" {
			items = append(items, s.item)
		}
	}
	return items
}

// Write is a record to be written if the present one still has the revision.
type Write struct {
	Record   Record
	Revision store.Revision
}

// NextWrite returns a record that this router should write now, or nil. listed holds the versions of
// each service's listed servers.
func (t *Tracker) NextWrite(listed map[string][]string, routers int) *Write {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	if now.Sub(t.asOf) > t.maxAge {
		return nil // another router may have written meanwhile, or the store is unreachable
	}
	if now.Sub(t.listedAt) > t.maxAge {
		t.resetLastListed(now)
	}
	t.listedAt = now
	for name, versions := range listed {
		s := t.service(name)
		for _, version := range versions {
			if slices.Contains(s.record.Versions, version) {
				s.lastListed[version] = now
			}
		}
		wanted := s.wanted(versions, now)
		if slices.Equal(wanted, s.stored) && !s.isConfirmable(now) {
			s.writeAt = time.Time{}
			continue
		}
		if s.writeAt.IsZero() {
			spread := min(maxSpread, time.Duration(routers)*spreadPerRouter)
			s.writeAt = now.Add(rand.N(spread + 1))
		}
		if now.Before(s.writeAt) {
			continue
		}
		s.writeAt = now.Add(writeInterval)
		record := Record{Service: name, Versions: wanted, Changes: s.record.Changes + 1, Era: s.record.Era, Created: s.record.Created}
		if s.record.Changes == 0 {
			record.Created = int64(t.era)
		}
		if s.record.Changes > 0 && (s.isCertain() || s.isConfirmable(now)) {
			record.Era = int64(t.era)
		}
		return &Write{Record: record, Revision: s.revision}
	}
	return nil
}

// resetLastListed counts all versions as just listed, after a time in which the list was unknown.
func (t *Tracker) resetLastListed(now time.Time) {
	for _, s := range t.services {
		for version := range s.lastListed {
			s.lastListed[version] = now
		}
	}
}

// wanted returns the versions that the record should hold while servers of the given ones are listed.
func (s *service) wanted(listed []string, now time.Time) []string {
	var wanted []string
	for _, version := range s.record.Versions {
		if slices.Contains(listed, version) || now.Sub(s.lastListed[version]) < RetireAfter {
			wanted = append(wanted, version)
		}
	}
	for _, version := range listed {
		if !slices.Contains(wanted, version) {
			wanted = append(wanted, version)
		}
	}
	return wanted
}
