package quarantine

import (
	"maps"
	"slices"
	"time"

	"chicorytiller.example/chicorytiller/internal/fleet"
)

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

// successes holds the features of recent answers.
type successes struct {
	begun, whole map[Feature]time.Time
}

func newSuccesses() successes {
	return successes{begun: make(map[Feature]time.Time), whole: make(map[Feature]time.Time)}
}

// record notes an answer to a request with the features.
func (s successes) record(features []Feature, whole bool, now time.Time) {
	for _, feature := range features {
		s.begun[feature] = now
		if whole {
			s.whole[feature] = now
		}
	}
	if len(s.begun) > maxSuccesses {
		s.expire(now)
	}
}

// expire drops answers that count no more, and all if those are too few.
func (s successes) expire(now time.Time) {
	for _, times := range []map[Feature]time.Time{s.begun, s.whole} {
		for feature, at := range times {
			if now.Sub(at) > successWindow {
				delete(times, feature)
			}
		}
		if len(times) > maxSuccesses/2 {
			clear(times)
		}
	}
}

// RecordBegun records that a server has answered a request for a while, so that it did not crash when
// it began.
func (q *Quarantine) RecordBegun(features []Feature) {
	q.recordSuccess(features, false)
}

// RecordWhole records a complete answer.
func (q *Quarantine) RecordWhole(features []Feature) {
	q.recordSuccess(features, true)
}

func (q *Quarantine) recordSuccess(features []Feature, whole bool) {
	q.mu.Lock()
	defer q.unlock()
	q.successes.record(features, whole, q.now())
	if !q.watchful.Load() {
		return
	}
	for _, feature := range features {
		if q.clearKnown(feature, whole) && q.known[feature] > 1 {
			q.isDue = true
		}
	}
}

// clearKnown clears a feature of all crashes known so far. It reports whether that is news.
func (q *Quarantine) clearKnown(feature Feature, whole bool) bool {
	if q.known[feature] == 0 {
		return false
	}
	news := false
	q.eachSighting(func(s *sighting) {
		if (whole || !s.Late) && slices.Contains(s.Features, feature) && !q.clearances[feature].covers(s.Server, s.Late) {
			q.clear(feature, s.Server, clearing{whole: whole, own: true, at: q.now()})
			news = true
		}
	})
	return news
}

// clearBySuccesses clears the features of a new exchange that were in recent answers.
func (q *Quarantine) clearBySuccesses(e Exchange) {
	now := q.now()
	for _, feature := range e.Features {
		if at, found := q.successes.whole[feature]; found && now.Sub(at) <= successWindow {
			q.clear(feature, e.Server, clearing{whole: true, own: true, at: now})
		} else if at, found := q.successes.begun[feature]; found && now.Sub(at) <= successWindow && !e.Late {
			q.clear(feature, e.Server, clearing{own: true, at: now})
		}
	}
}

// clear clears a feature of one crash.
func (q *Quarantine) clear(feature Feature, server string, c clearing) {
	if q.clearances[feature] == nil {
		if len(q.clearances) >= maxClearances {
			q.pruneClearances()
		}
		q.clearances[feature] = make(clearances)
	}
	if len(q.clearances[feature]) >= maxClearings {
		q.clearances[feature].dropOldest()
	}
	q.clearances[feature].add(server, c)
}

// pruneClearances drops the clearances of features that are in no evidence, and all if those are too few.
func (q *Quarantine) pruneClearances() {
	maps.DeleteFunc(q.clearances, func(feature Feature, _ clearances) bool { return q.known[feature] == 0 })
	if len(q.clearances) > maxClearances/2 {
		clear(q.clearances)
	}
}

func (c clearances) dropOldest() {
	oldest := ""
	for server, cleared := range c {
		if oldest == "" || cleared.at.Before(c[oldest].at) {
			oldest = server
		}
	}
	delete(c, oldest)
}

// RecordAlive records that a server answered a request that was sent at the given time. Exchanges with
// it that broke off shortly before were cut by something else than a crash.
func (q *Quarantine) RecordAlive(server string, sentAt time.Time) {
	if !q.watchful.Load() {
		return
	}
	q.mu.Lock()
	defer q.unlock()
	q.confirmEnds(server, sentAt)
	now := q.now()
	isBefore := func(s *sighting) bool {
		return s.Server == server && s.at.Before(sentAt) && now.Sub(s.at) < minRestartTime && !q.hasSurvived(s)
	}
	if slices.ContainsFunc(q.own, isBefore) {
		q.survivors[server] = sentAt
		q.isDue = true
	}
}

// maxEnds bounds the answers whose end is not understood yet.
const maxEnds = 256

// RecordUnframedEnd records that an answer ended with its connection, which tells a whole answer from
// one that a crash cut off only if more becomes known of its server.
func (q *Quarantine) RecordUnframedEnd(e Exchange) {
	q.mu.Lock()
	defer q.unlock()
	end := &sighting{Exchange: e, at: q.now()}
	justBroken := func(s *sighting) bool {
		return s.Server == e.Server && end.at.Sub(s.at) < minRestartTime
	}
	if slices.ContainsFunc(q.own, justBroken) {
		q.addOwn(end)
		q.isDue = true
		return
	}
	q.ends = append(q.ends, end)
	q.ends = q.ends[max(0, len(q.ends)-maxEnds):]
	q.watchful.Store(true)
}

// RecordUnreachable records that a server refuses connections. Answers that ended with their connection
// shortly before were cut off.
func (q *Quarantine) RecordUnreachable(server string) {
	if !q.watchful.Load() {
		return
	}
	q.mu.Lock()
	defer q.unlock()
	if q.adoptEnds(server) {
		q.isDue = true
	}
}

// adoptEnds counts answers that ended at a server shortly before as cut off by its crash. It reports
// whether there were any.
func (q *Quarantine) adoptEnds(server string) bool {
	now, found := q.now(), false
	q.ends = slices.DeleteFunc(q.ends, func(end *sighting) bool {
		if end.Server != server || now.Sub(end.at) >= minRestartTime {
			return false
		}
		found = true
		q.addOwn(end)
		return true
	})
	return found
}

// confirmEnds counts answers as whole that ended before a server took another request.
func (q *Quarantine) confirmEnds(server string, sentAt time.Time) {
	q.ends = slices.DeleteFunc(q.ends, func(end *sighting) bool {
		if end.Server != server || !end.at.Before(sentAt) {
			return false
		}
		q.confirmEnd(end)
		return true
	})
}

func (q *Quarantine) confirmEnd(end *sighting) {
	q.successes.record(end.Features, true, end.at)
	for _, feature := range end.Features {
		if q.clearKnown(feature, true) {
			q.isDue = true
		}
	}
}

// judgeEnds decides on answers that ended with their connection by what became of their servers.
func (q *Quarantine) judgeEnds(fateOf func(server string, after time.Time) fleet.Fate) {
	q.ends = slices.DeleteFunc(q.ends, func(end *sighting) bool {
		switch fateOf(end.Server, end.at) {
		case fleet.FateSurvived:
			q.confirmEnd(end)
			return true
		case fleet.FateEnded:
			// The server may have ended any time since, so this counts for nothing.
			return true
		}
		return false
	})
}
