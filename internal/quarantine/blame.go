package quarantine

import (
	"cmp"
	"maps"
	"slices"
)

// Exchange is an exchange with a server that broke off, so that the server may have crashed because of
// it.
type Exchange struct {
	// Server is the incarnation of the server.
	Server string
	// Features are those of the request, from the most general to the most specific one.
	Features []Feature
	// Late is set if the server had answered for a while before the exchange broke off.
	Late bool
}

// Blame is a feature that crashes servers.
type Blame struct {
	Feature Feature
	// Servers are the incarnations of the servers that crashed, sorted.
	Servers []string
}

// suspicion is the evidence against one feature.
type suspicion struct {
	feature Feature
	early   map[string]bool // servers that crashed while they began to answer
	all     map[string]bool // the same, and those that crashed later in an answer
	depth   int             // largest index among the features of a request
}

// isSufficient reports whether the evidence blames the feature.
func (s *suspicion) isSufficient() bool {
	r := rules[s.feature.Kind]
	return len(s.early) >= r.servers || len(s.all) >= r.lateServers
}

// compare orders suspicions by strength. Of features that explain as many crashes, the most specific
// one comes first: least is lost if it is blamed wrongly, and the next crash shows whether another is
// to blame.
func (s *suspicion) compare(other *suspicion) int {
	return cmp.Or(cmp.Compare(len(other.all), len(s.all)), cmp.Compare(len(other.early), len(s.early)), cmp.Compare(other.feature.Kind, s.feature.Kind),
		cmp.Compare(other.depth, s.depth), cmp.Compare(s.feature.Hash, other.feature.Hash))
}

// collectSuspicions returns the evidence against each feature.
func collectSuspicions(exchanges []Exchange) map[Feature]*suspicion {
	counts := make(map[Feature]int)
	for _, e := range exchanges {
		for _, feature := range e.Features {
			counts[feature]++
		}
	}
	suspicions := make(map[Feature]*suspicion)
	for _, e := range exchanges {
		for depth, feature := range e.Features {
			if counts[feature] < rules[feature.Kind].servers {
				continue // most are the contents of single requests
			}
			s := suspicions[feature]
			if s == nil {
				s = &suspicion{feature: feature, early: make(map[string]bool), all: make(map[string]bool)}
				suspicions[feature] = s
			}
			s.depth = max(s.depth, depth)
			s.all[e.Server] = true
			if !e.Late {
				s.early[e.Server] = true
			}
		}
	}
	return suspicions
}

// findBlame returns the features that crash servers, the strongest suspicion first. A crash that one
// feature explains counts against no other: when a server crashes, all of its exchanges break off, and
// only one of them is the cause.
func findBlame(exchanges []Exchange) []Blame {
	suspicions := collectSuspicions(exchanges)
	var blamed []Blame
	for {
		strongest := findStrongest(suspicions)
		if strongest == nil {
			return blamed
		}
		blamed = append(blamed, Blame{strongest.feature, slices.Sorted(maps.Keys(strongest.all))})
		delete(suspicions, strongest.feature)
		for _, s := range suspicions {
			s.exclude(strongest.all)
		}
	}
}

// findStrongest returns the strongest sufficient suspicion, or nil if there is none. If a more specific part
// explains nearly as many crashes, it returns that one: of a crash that is known in part, the exchange that
// caused it may be missing.
func findStrongest(suspicions map[Feature]*suspicion) *suspicion {
	var strongest *suspicion
	for _, s := range suspicions {
		if s.isSufficient() && (strongest == nil || s.compare(strongest) < 0) {
			strongest = s
		}
	}
	if strongest == nil || strongest.feature.Kind != KindPart {
		return strongest
	}
	most := len(strongest.all)
	enough := most - max(1, most/5)
	for _, s := range suspicions {
		if s.feature.Kind != KindPart || !s.isSufficient() || len(s.all) < enough {
			continue
		}
		if s.depth > strongest.depth || s.depth == strongest.depth && s.compare(strongest) < 0 {
			strongest = s
		}
	}
	return strongest
}

// exclude drops the crashes of servers.
func (s *suspicion) exclude(servers map[string]bool) {
	for server := range servers {
		delete(s.early, server)
		delete(s.all, server)
	}
}
