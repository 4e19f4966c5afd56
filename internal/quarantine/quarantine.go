// Package quarantine finds out which requests crash the backend servers that run them, and holds them
// back. What crashes a server may be a whole content, which a caller sends again and again, or a part
// of prompts that are never alike. The requests come at any router, so a router judges by what all
// routers saw.
//
// When a server crashes, all of its exchanges break off. A feature of requests is blamed if several
// servers crashed while they began to answer requests with it, and cleared of the crashes known so far
// by an answer to another such request.
package quarantine

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"chicorytiller.example/chicorytiller/internal/fleet"
)

const (
	// SuspectTTL is how long the evidence of a crash counts: longer than callers wait between
	// attempts.
	SuspectTTL = 5 * time.Minute
	// successWindow is how long an answer clears its features of crashes that become known later:
	// other routers report crashes with a delay.
	successWindow = 1500 * time.Millisecond
	// minRestartTime is less than a server takes to restart. An answer within this time after an
	// exchange broke off comes from the same process.
	minRestartTime = time.Second
	// maxOwn bounds the exchanges of this router that are kept, maxSuccesses the features with a recent
	// answer, maxClearances the features cleared of crashes and maxClearings the crashes that each is
	// cleared of. The oldest are dropped first.
	maxOwn        = 256
	maxSuccesses  = 4096
	maxClearances = 4096
	maxClearings  = 64
	// maxAtOnce is the number of exchanges up to which changes are judged with the next request. With more
	// evidence, those within judgeInterval are judged together.
	maxAtOnce     = 256
	judgeInterval = 250 * time.Millisecond
	// maxSightings bounds the exchanges that are judged, and so what a judgement costs in a large fleet.
	maxSightings = 1024
	// expiryInterval is how often evidence is checked for its age.
	expiryInterval = time.Second
)

// Change is a change of what is held back.
type Change struct {
	Held     []Blame
	Released []Feature
}

// Quarantine counts crashes by feature. It is safe for concurrent use.
type Quarantine struct {
	now func() time.Time
	// onChange is called without locks held when features are held back or released.
	onChange func(Change)

	// watchful is set while there is evidence, so that answers are checked against it.
	watchful atomic.Bool

	mu         sync.Mutex
	own        []*sighting            // oldest first
	others     map[string]*testimony  // by key of the record
	successes  successes              // recent answers
	clearances map[Feature]clearances // crashes that answers to other requests cleared features of
	survivors  map[string]time.Time   // servers that did not crash, and since when that is known
	ends       []*sighting            // answers that may have been cut off by a crash
	held       map[Feature]Blame
	known      map[Feature]int // number of exchanges with a feature in the evidence, cleared or not
	judgedAt   time.Time
	isDue      bool // the evidence has changed since
	trials     map[Feature]time.Time
	watches    map[*watch]struct{}
	changes    []Change
	cancelled  []*watch

	report  Report // of this router
	changed chan struct{}
}

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

// Clearance says that requests with a feature did not crash servers.
type Clearance struct {
	Feature Feature
	Servers []string
	// Whole: answers came to their end. Otherwise they were seen to begin, which says nothing of
	// crashes late in an answer.
	Whole bool
}

// clearing says how a feature was cleared of a crash.
type clearing struct {
	whole bool // see Clearance.Whole
	own   bool // by an answer at this router
	at    time.Time
}

// clearances are the crashes that one feature is cleared of, by server.
type clearances map[string]clearing

func (c clearances) add(server string, added clearing) {
	before := c[server]
	c[server] = clearing{whole: before.whole || added.whole, own: before.own || added.own, at: added.at}
}

// covers reports whether a crash is cleared.
func (c clearances) covers(server string, late bool) bool {
	cleared, found := c[server]
	return found && (cleared.whole || !late)
}

// New returns an empty quarantine. onChange may be nil; a nil now means time.Now.
func New(now func() time.Time, onChange func(Change)) *Quarantine {
	if now == nil {
		now = time.Now
	}
	if onChange == nil {
		onChange = func(Change) {}
	}
	return &Quarantine{now: now, onChange: onChange, others: make(map[string]*testimony), successes: newSuccesses(),
		clearances: make(map[Feature]clearances), survivors: make(map[string]time.Time), trials: make(map[Feature]time.Time),
		watches: make(map[*watch]struct{}), changed: make(chan struct{}, 1)}
}

// unlock releases the lock and tells the changes made while it was held.
func (q *Quarantine) unlock() {
	changes, cancelled := q.changes, q.cancelled
	q.changes, q.cancelled = nil, nil
	q.mu.Unlock()
	for _, w := range cancelled {
		w.cancel()
	}
	for _, change := range changes {
		q.onChange(change)
	}
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
	q.clearBySuccesses(s)
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
		s := &sighting{Exchange: e, at: t.at}
		if known := before.find(e); known != nil {
			s = known
		} else {
			q.clearBySuccesses(s)
		}
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

// find returns the known sighting of an exchange, or nil.
func (t *testimony) find(e Exchange) *sighting {
	if t == nil {
		return nil
	}
	for _, s := range t.sightings {
		if s.Server == e.Server && s.Late == e.Late && len(s.Features) > 0 && len(e.Features) > 0 &&
			s.Features[len(s.Features)-1] == e.Features[len(e.Features)-1] {
			s.Features = e.Features // some may have been cleared
			return s
		}
	}
	return nil
}

// Judge judges the evidence if it has changed.
func (q *Quarantine) Judge() {
	q.mu.Lock()
	defer q.unlock()
	q.judgeIfDue()
}

// judgeIfDue judges the evidence if it has changed. If there is much, changes are judged together.
func (q *Quarantine) judgeIfDue() {
	if q.isDue && (q.size() <= maxAtOnce || q.now().Sub(q.judgedAt) >= judgeInterval) {
		q.judge()
	}
}

// size returns the number of sightings.
func (q *Quarantine) size() int {
	size := len(q.own)
	for _, t := range q.others {
		size += len(t.sightings)
	}
	return size
}

// judge finds out which features are to blame, and what to tell the other routers.
func (q *Quarantine) judge() {
	q.isDue, q.judgedAt = false, q.now()
	q.expire()
	before := q.held
	q.held = make(map[Feature]Blame)
	change := Change{}
	for _, blame := range findBlame(q.openExchanges()) {
		q.held[blame.Feature] = blame
		if _, known := before[blame.Feature]; !known {
			change.Held = append(change.Held, blame)
		}
	}
	for feature := range before {
		if _, still := q.held[feature]; !still {
			change.Released = append(change.Released, feature)
		}
	}
	if len(change.Held)+len(change.Released) > 0 {
		q.changes = append(q.changes, change)
		q.cancelHeld()
	}
	q.updateReport()
}

// openExchanges returns the exchanges that count, each with the features that are not cleared.
func (q *Quarantine) openExchanges() []Exchange {
	q.known = make(map[Feature]int)
	var open []Exchange
	q.eachSighting(func(s *sighting) {
		for _, feature := range s.Features {
			q.known[feature]++
		}
		if e := q.openExchange(s); len(e.Features) > 0 {
			open = append(open, e)
		}
	})
	return open
}

// openExchange returns an exchange with the features that are not cleared; none if its server did not
// crash.
func (q *Quarantine) openExchange(s *sighting) Exchange {
	e := Exchange{Server: s.Server, Late: s.Late}
	if q.hasSurvived(s) {
		return e
	}
	for _, feature := range s.Features {
		if !q.clearances[feature].covers(s.Server, s.Late) {
			e.Features = append(e.Features, feature)
		}
	}
	return e
}

// hasSurvived reports whether the server did not crash when the exchange broke off.
func (q *Quarantine) hasSurvived(s *sighting) bool {
	at, found := q.survivors[s.Server]
	return found && !s.at.After(at)
}

func (q *Quarantine) eachSighting(do func(*sighting)) {
	for _, s := range q.own {
		do(s)
	}
	for _, t := range q.others {
		for _, s := range t.sightings {
			do(s)
		}
	}
}

// expire drops the evidence that is too old, or too much.
func (q *Quarantine) expire() {
	now := q.now()
	q.dropSightings(now.Add(-SuspectTTL), false)
	if size := q.size(); size > maxSightings {
		q.dropSightings(q.timeOfLatest(maxSightings), true)
	}
	isOld := func(at time.Time) bool { return now.Sub(at) >= SuspectTTL }
	maps.DeleteFunc(q.others, func(_ string, t *testimony) bool { return len(t.sightings) == 0 && isOld(t.at) })
	maps.DeleteFunc(q.survivors, func(_ string, at time.Time) bool { return isOld(at) })
	if len(q.own) == 0 && len(q.others) == 0 {
		clear(q.trials)
		clear(q.clearances)
		q.watchful.Store(len(q.ends) > 0)
	}
}

// dropSightings drops the sightings up to a time. keepBlaming keeps those that blame a feature.
func (q *Quarantine) dropSightings(upTo time.Time, keepBlaming bool) {
	drops := func(s *sighting) bool { return !s.at.After(upTo) && !(keepBlaming && q.blames(s)) }
	q.own = slices.DeleteFunc(q.own, drops)
	for _, t := range q.others {
		t.sightings = slices.DeleteFunc(t.sightings, drops)
	}
}

// timeOfLatest returns the time after which fewer than count sightings became known.
func (q *Quarantine) timeOfLatest(count int) time.Time {
	var times []time.Time
	q.eachSighting(func(s *sighting) { times = append(times, s.at) })
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[count]
}

// Held returns the first of the features that is held back, so that requests with it must not be sent
// to a server.
func (q *Quarantine) Held(features []Feature) (held Feature, found bool) {
	q.mu.Lock()
	defer q.unlock()
	q.judgeIfDue()
	if len(q.held) > 0 && q.now().Sub(q.judgedAt) >= expiryInterval {
		q.judge()
	}
	for _, feature := range features {
		if _, found = q.held[feature]; found {
			return feature, true
		}
	}
	return Feature{}, false
}

// lastCrash returns when the last crash of a feature became known.
func (q *Quarantine) lastCrash(blame Blame) time.Time {
	last := time.Time{}
	q.eachSighting(func(s *sighting) {
		if s.at.After(last) && slices.Contains(s.Features, blame.Feature) {
			last = s.at
		}
	})
	return last
}

// Servers returns the incarnations of the servers whose crashes blame a feature, sorted.
func (q *Quarantine) Servers(feature Feature) []string {
	q.mu.Lock()
	defer q.unlock()
	q.judgeIfDue()
	return q.held[feature].Servers
}

// Count returns the number of features that are held back.
func (q *Quarantine) Count() int {
	q.mu.Lock()
	defer q.unlock()
	q.judgeIfDue()
	return len(q.held)
}

// DismissSurvived dismisses the crashes of servers that did not end. fateOf tells what became of a
// server after the given time.
func (q *Quarantine) DismissSurvived(fateOf func(server string, after time.Time) fleet.Fate) {
	q.mu.Lock()
	defer q.unlock()
	q.judgeEnds(fateOf)
	q.eachSighting(func(s *sighting) {
		if s.fateKnown {
			return
		}
		switch fateOf(s.Server, s.at) {
		case fleet.FateSurvived:
			q.survivors[s.Server], s.fateKnown = q.now(), true
			q.isDue = true
		case fleet.FateEnded:
			s.fateKnown = true
		}
	})
	if q.isDue {
		q.judge()
	}
}
