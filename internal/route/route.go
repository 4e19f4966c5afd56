// Package route chooses the backend server for a request. It is pure: time and
// random numbers are passed in.
//
// The measure of load is the tokens that are outstanding at a backend server:
// those which this router has dispatched itself, known at once, and those of
// other routers, known from lagging load reports.
package route

import (
	"time"

	"chicorytiller.example/chicorytiller/internal/backend"
	"chicorytiller.example/chicorytiller/internal/id"
)

// Config holds the tunables of a Chooser.
type Config struct {
	// FailuresToOpen consecutive failures keep new work from a backend server.
	FailuresToOpen int
	// OpenFor is how long it is kept away before one request may try it again.
	OpenFor time.Duration
	// ReportKeep is how long a load report counts.
	ReportKeep time.Duration
	// RemotePenalty is added to the load, in tokens, of a backend server in
	// another failure domain, so that a near one is taken among equals.
	RemotePenalty id.Tokens
}

// DefaultConfig suits tens of backend servers with load reports every half second.
func DefaultConfig() Config {
	return Config{FailuresToOpen: 3, OpenFor: 2 * time.Second, ReportKeep: 5 * time.Second, RemotePenalty: 64}
}

// Target describes a backend server to the Chooser.
type Target struct {
	Ref     backend.Ref
	Models  []id.Model
	Service id.Service
	Leaving bool
}

// server is what the Chooser knows of one backend server.
type server struct {
	target      Target
	outstanding id.Tokens // dispatched by this router and not yet done
	running     int
	report      backend.LoadReport
	reportAt    time.Time // zero: none yet
	ownAtReport id.Tokens // outstanding when the report was taken in
	failures    int
	openUntil   time.Time
	reportedOut bool // its own report says that it is leaving
}

// Chooser chooses among the backend servers that are configured.
type Chooser struct {
	config  Config
	near    id.FailureDomain
	servers map[id.Backend]*server
	order   []*server // sorted by id, so that equal choices are reproducible
}

// NewChooser makes a Chooser for a router in the given failure domain.
func NewChooser(config Config, near id.FailureDomain) *Chooser {
	return &Chooser{config: config, near: near, servers: make(map[id.Backend]*server)}
}

// Wanted is what a request needs.
type Wanted struct {
	Model   id.Model   // or
	Service id.Service // exactly one is set
	Tokens  id.Tokens  // the work that it brings
	Exclude map[id.Backend]bool
}

// Choose takes the backend server with the least outstanding work, and counts the
// work as dispatched. It returns false when no backend server may take the request.
func (c *Chooser) Choose(now time.Time, want Wanted) (backend.Ref, bool) {
	var best *server
	var bestLoad id.Tokens
	for _, s := range c.order {
		if !s.serves(want) || want.Exclude[s.target.Ref.ID] || !s.takesWork(now) {
			continue
		}
		load := c.load(now, s)
		if best == nil || load < bestLoad {
			best, bestLoad = s, load
		}
	}
	if best == nil {
		return backend.Ref{}, false
	}
	best.dispatched(want.Tokens)
	if best.failures >= c.config.FailuresToOpen {
		// One request tries a backend server that had failed; until it is done
		// the others stay away, or each try of a dead one would cost many requests.
		best.openUntil = now.Add(c.config.OpenFor)
	}
	return best.target.Ref, true
}

// Take counts work as dispatched to a given backend server, if it is configured
// and not leaving: a stream that is kept there is to be read again.
func (c *Chooser) Take(b id.Backend, tokens id.Tokens) (backend.Ref, bool) {
	s, found := c.servers[b]
	if !found || s.target.Leaving || s.reportedOut {
		return backend.Ref{}, false
	}
	s.dispatched(tokens)
	return s.target.Ref, true
}

func (s *server) dispatched(tokens id.Tokens) {
	s.outstanding += tokens
	s.running++
}

func (s *server) serves(want Wanted) bool {
	if want.Service != "" {
		return s.target.Service == want.Service
	}
	for _, m := range s.target.Models {
		if m == want.Model {
			return true
		}
	}
	return false
}

func (s *server) takesWork(now time.Time) bool {
	leaving := s.target.Leaving || s.reportedOut
	return !leaving && !now.Before(s.openUntil)
}

// load estimates the tokens outstanding at s: the report's count, moved by what
// this router dispatched or saw finish since the report.
func (c *Chooser) load(now time.Time, s *server) id.Tokens {
	load := s.outstanding
	if !s.reportAt.IsZero() && now.Sub(s.reportAt) < c.config.ReportKeep {
		since := s.outstanding - s.ownAtReport
		load = max(s.outstanding, s.report.OutstandingTk+since)
	}
	if s.target.Ref.FailureDomain != c.near {
		load += c.config.RemotePenalty
	}
	return load
}

// Done counts work as no longer outstanding. Ok tells whether the backend server
// did its part; false counts towards keeping new work away from it.
func (c *Chooser) Done(now time.Time, b id.Backend, tokens id.Tokens, ok bool) {
	s, found := c.servers[b]
	if !found {
		return
	}
	s.outstanding = max(0, s.outstanding-tokens)
	s.running = max(0, s.running-1)
	if ok {
		s.failures = 0
		s.openUntil = time.Time{}
		return
	}
	s.failures++
	if s.failures >= c.config.FailuresToOpen {
		s.openUntil = now.Add(c.config.OpenFor)
	}
}

// Report takes in a load report. It returns true when the backend server has
// begun to leave by its own word.
func (c *Chooser) Report(now time.Time, b id.Backend, r backend.LoadReport) bool {
	s, found := c.servers[b]
	if !found || r.At.Before(s.report.At) {
		return false
	}
	began := r.Leaving && !s.reportedOut
	s.report = r
	s.reportAt = now
	s.ownAtReport = s.outstanding
	s.reportedOut = r.Leaving
	return began
}

// Count is the number of backend servers that would take the wanted work now.
func (c *Chooser) Count(now time.Time, want Wanted) int {
	count := 0
	for _, s := range c.order {
		if s.serves(want) && s.takesWork(now) {
			count++
		}
	}
	return count
}
