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
	survivors  map[string]time.Time   // until when servers are known not to have crashed
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
	return q.lookup(features)
}

// LookHeld is Held as of the last judgement; it makes none.
func (q *Quarantine) LookHeld(features []Feature) (held Feature, found bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.lookup(features)
}

func (q *Quarantine) lookup(features []Feature) (held Feature, found bool) {
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
			if s.at.After(q.survivors[s.Server]) {
				q.survivors[s.Server] = s.at // it may have crashed since
			}
			s.fateKnown, q.isDue = true, true
		case fleet.FateEnded:
			s.fateKnown = true
		}
	})
	if q.isDue {
		q.judge()
	}
}
