package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxPublished bounds the exchanges that a router tells the others of, maxCleared the features that
	// it cleared and maxSurvivors the servers that did not crash, and so the bytes that each router gets
	// when a fault breaks many exchanges everywhere.
	maxPublished = 24
	maxCleared   = 12
	maxSurvivors = 8
	// maxUnited bounds the parts of one server's exchanges.
	maxUnited = 32
	// maxClearedServers bounds the servers of one clearance.
	maxClearedServers = 8
	// survivorNewsTime is how long a router tells the others of a server that did not crash.
	survivorNewsTime = 10 * time.Second
)

// Report is what a router tells the others.
type Report struct {
	// Serial numbers the reports of one incarnation of a router from 1 on; 0 if it doesn't number them.
	Serial uint64
	// Exchanges are the latest that broke off, with the features that are not cleared.
	Exchanges []Exchange
	// Cleared tells the features that others may suspect wrongly.
	Cleared []Clearance
	// Survivors are the incarnations of servers that did not crash, though exchanges with them broke
	// off.
	Survivors []string
}

func (r Report) equal(other Report) bool {
	sameExchange := func(a, b Exchange) bool {
		return a.Server == b.Server && a.Late == b.Late && slices.Equal(a.Features, b.Features)
	}
	sameClearance := func(a, b Clearance) bool {
		return a.Feature == b.Feature && a.Whole == b.Whole && slices.Equal(a.Servers, b.Servers)
	}
	return slices.EqualFunc(r.Exchanges, other.Exchanges, sameExchange) && slices.EqualFunc(r.Cleared, other.Cleared, sameClearance) &&
		slices.Equal(r.Survivors, other.Survivors)
}

// Report returns what this router tells the others. Its serial is 0 as long as that is nothing.
func (q *Quarantine) Report() Report {
	q.mu.Lock()
	defer q.unlock()
	q.judgeIfDue()
	return q.report
}

// Changed returns a channel that receives a value when Report may have a new result.
func (q *Quarantine) Changed() <-chan struct{} {
	return q.changed
}

// NotifyChanged signals that the report has to be looked at again.
func (q *Quarantine) NotifyChanged() {
	select {
	case q.changed <- struct{}{}:
	default: // a value is already pending
	}
}

// updateReport builds the report and signals a change.
func (q *Quarantine) updateReport() {
	report := Report{Exchanges: q.ownOpen(), Cleared: q.ownCleared(), Survivors: q.ownSurvivors()}
	if report.equal(q.report) {
		return
	}
	report.Serial = q.report.Serial + 1
	q.report = report
	q.NotifyChanged()
}

// ownOpen returns exchanges of this router with the features that it has not cleared. For each server the
// parts of all exchanges are united in one, so that a crash which broke many can't push out the guilty one.
// Servers whose crashes blame a feature come first, then the latest.
func (q *Quarantine) ownOpen() []Exchange {
	var united, contents []Exchange
	seen := make(map[crash]bool)
	for _, blaming := range []bool{true, false} {
		for _, s := range slices.Backward(q.own) {
			e := q.openExchange(s)
			if len(e.Features) == 0 || q.blames(s) != blaming {
				continue
			}
			if key := (crash{s.Server, s.Late}); !seen[key] {
				seen[key] = true
				united = append(united, q.uniteParts(e))
				continue
			}
			if last := e.Features[len(e.Features)-1]; last.Kind == KindContent {
				contents = append(contents, Exchange{Server: e.Server, Features: []Feature{last}, Late: e.Late})
			}
		}
	}
	open := append(united, contents...)
	return open[:min(len(open), maxPublished)]
}

// crash identifies the exchanges that broke off when a server crashed.
type crash struct {
	server string
	late   bool
}

// uniteParts returns an exchange with the parts of all of this router's exchanges that broke off with it, from
// the most general to the most specific.
func (q *Quarantine) uniteParts(e Exchange) Exchange {
	byDepth := make([][]Feature, 0, len(e.Features))
	counts := make(map[Feature]int)
	for _, s := range q.own {
		if s.Server != e.Server || s.Late != e.Late || q.hasSurvived(s) {
			continue
		}
		depth := 0
		for _, feature := range s.Features {
			if feature.Kind != KindPart {
				continue
			}
			if depth == len(byDepth) {
				byDepth = append(byDepth, nil)
			}
			if !q.clearances[feature].covers(s.Server, s.Late) && !slices.Contains(byDepth[depth], feature) {
				byDepth[depth] = append(byDepth[depth], feature)
			}
			counts[feature]++
			depth++
		}
	}
	united := Exchange{Server: e.Server, Late: e.Late}
	for _, features := range byDepth {
		united.Features = append(united.Features, features...)
	}
	united.Features = mostFrequent(united.Features, counts, maxUnited)
	if last := e.Features[len(e.Features)-1]; last.Kind == KindContent {
		united.Features = append(united.Features, last)
	}
	return united
}

// mostFrequent returns up to most features with the highest counts, in their present order.
func mostFrequent(features []Feature, counts map[Feature]int, most int) []Feature {
	if len(features) <= most {
		return features
	}
	byCount := slices.Clone(features)
	slices.SortStableFunc(byCount, func(a, b Feature) int { return cmp.Compare(counts[b], counts[a]) })
	return slices.DeleteFunc(features, func(f Feature) bool { return !slices.Contains(byCount[:most], f) })
}

// blames reports whether a feature of the exchange is held back.
func (q *Quarantine) blames(s *sighting) bool {
	return slices.ContainsFunc(s.Features, func(f Feature) bool { _, held := q.held[f]; return held })
}

// suspicionOf is a feature that is suspected at one server.
type suspicionOf struct {
	feature Feature
	server  string
}

// ownCleared returns the clearances of features that other routers suspect and that several crashes are
// known of, those with the most crashes first.
func (q *Quarantine) ownCleared() []Clearance {
	suspected := q.suspectedByOthers()
	var cleared []Clearance
	for feature := range q.clearances {
		if q.known[feature] < 2 {
			continue
		}
		for _, whole := range []bool{false, true} {
			if servers := q.clearedServers(feature, whole, suspected); len(servers) > 0 {
				cleared = append(cleared, Clearance{Feature: feature, Servers: servers, Whole: whole})
			}
		}
	}
	slices.SortFunc(cleared, func(a, b Clearance) int {
		return cmp.Or(cmp.Compare(q.known[b.Feature], q.known[a.Feature]), cmp.Compare(a.Feature.Kind, b.Feature.Kind),
			cmp.Compare(a.Feature.Hash, b.Feature.Hash), cmp.Compare(len(b.Servers), len(a.Servers)))
	})
	return cleared[:min(len(cleared), maxCleared)]
}

// clearedServers returns the servers of the latest crashes, sorted, that this router cleared a feature
// of and that other routers suspect it for.
func (q *Quarantine) clearedServers(feature Feature, whole bool, suspected map[suspicionOf]bool) []string {
	crashes := q.clearances[feature]
	var servers []string
	for server, cleared := range crashes {
		if cleared.own && cleared.whole == whole && suspected[suspicionOf{feature, server}] {
			servers = append(servers, server)
		}
	}
	slices.SortFunc(servers, func(a, b string) int { return cmp.Or(crashes[b].at.Compare(crashes[a].at), cmp.Compare(a, b)) })
	servers = servers[:min(len(servers), maxClearedServers)]
	slices.Sort(servers)
	return servers
}

// suspectedByOthers returns what other routers suspect of the features that this router knows clearances of.
func (q *Quarantine) suspectedByOthers() map[suspicionOf]bool {
	suspected := make(map[suspicionOf]bool)
	for _, t := range q.others {
		for _, s := range t.sightings {
			for _, feature := range s.Features {
				if q.clearances[feature] != nil {
					suspected[suspicionOf{feature, s.Server}] = true
				}
			}
		}
	}
	return suspected
}

func (q *Quarantine) ownSurvivors() []string {
	now := q.now()
	var survivors []string
	for server, at := range q.survivors {
		isOwn := slices.ContainsFunc(q.own, func(s *sighting) bool { return s.Server == server })
		if isOwn && now.Sub(at) < survivorNewsTime {
			survivors = append(survivors, server)
		}
	}
	slices.Sort(survivors)
	return survivors[:min(len(survivors), maxSurvivors)]
}
