package quarantine

import (
	"slices"
	"time"
)

// sighting is an exchange that broke off, with when this router learned of it.
type sighting struct {
	Exchange
	at time.Time
	// fateKnown is set once it is known whether the server ended.
	fateKnown bool
}

// testimony is what another router reports.
type testimony struct {
	serial    uint64 // of the report
	sightings []*sighting
	survivors []string
	at        time.Time
}

// RecordCrash records that this router's exchange with a server broke off.
func (q *Quarantine) RecordCrash(e Exchange) {
	q.mu.Lock()
	defer q.unlock()
	q.addOwn(&sighting{Exchange: e, at: q.now()})
	q.adoptEnds(e.Server)
	q.isDue = true
}

func (q *Quarantine) addOwn(s *sighting) {
	same := func(other *sighting) bool {
		return other.Server == s.Server && other.Late == s.Late && slices.Equal(other.Features, s.Features)
	}
	if slices.ContainsFunc(q.own, same) {
		return
	}
	q.clearBySuccesses(s.Exchange)
	q.own = append(q.own, s)
	q.trimOwn()
	q.watchful.Store(true)
}

// trimOwn drops the oldest exchange if there are too many, rather one that blames no feature.
func (q *Quarantine) trimOwn() {
	if len(q.own) <= maxOwn {
		return
	}
	oldest := max(0, slices.IndexFunc(q.own, func(s *sighting) bool { return !q.blames(s) }))
	q.own = slices.Delete(q.own, oldest, oldest+1)
}

// Merge replaces what another router reported before, and reports whether that is news. key identifies the
// router. Judge must be called after the last of several calls.
func (q *Quarantine) Merge(key string, r Report) bool {
	q.mu.Lock()
	defer q.unlock()
	before := q.others[key]
	if before != nil && r.Serial > 0 && r.Serial <= before.serial {
		return false
	}
	t := &testimony{serial: r.Serial, survivors: r.Survivors, at: q.now()}
	for _, e := range r.Exchanges {
		s := before.find(e)
		if s == nil {
			s = &sighting{at: t.at}
		}
		q.clearBySuccesses(Exchange{Server: e.Server, Features: without(e.Features, s.Features), Late: e.Late})
		s.Exchange = e
		t.sightings = append(t.sightings, s)
	}
	for _, c := range r.Cleared {
		for _, server := range c.Servers {
			q.clear(c.Feature, server, clearing{whole: c.Whole, at: t.at})
		}
	}
	for _, server := range r.Survivors {
		if before == nil || !slices.Contains(before.survivors, server) {
			q.survivors[server] = t.at
		}
	}
	q.others[key] = t
	q.watchful.Store(true)
	q.isDue = true
	return true
}

// without returns the features that are not among others.
func without(features, others []Feature) []Feature {
	return slices.DeleteFunc(slices.Clone(features), func(f Feature) bool { return slices.Contains(others, f) })
}

// find returns the known sighting of an exchange, or nil. The parts of one server's exchanges are reported
// together, with any of their contents.
func (t *testimony) find(e Exchange) *sighting {
	if t == nil {
		return nil
	}
	for _, s := range t.sightings {
		if s.Server == e.Server && s.Late == e.Late && (s.hasParts() && e.hasParts() || slices.Equal(s.Features, e.Features)) {
			return s
		}
	}
	return nil
}

func (e Exchange) hasParts() bool {
	return len(e.Features) > 0 && e.Features[0].Kind == KindPart
}
