// Package fleet tracks the backend servers of each service and the other routers.
package fleet

import (
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"chicorytiller.example/chicorytiller/internal/predict"
)

// Entry is a backend server's entry in the registry, written by the server itself.
type Entry struct {
	ID string
	// StartUnixMilli is when the server's process started, in Unix milliseconds; 0 if unknown.
	// A process that restarts under the same ID counts as another server: it has none of the
	// earlier one's cached prompts or requests.
	StartUnixMilli int64
	Service        string
	Address        string // IP:port
	Domain         string // failure domain
	// Version is the version of the server's software; empty if it states none.
	Version string
	// Slots is the number of requests that the server runs at the same time; 0 if unknown.
	Slots int
	// Draining is set if the server takes no new requests.
	Draining bool
	// Seq is the number of entries that the server's process has written; 0 if unknown.
	Seq int64
	// Cold is the remaining time in which the server, recently started, can handle only few
	// requests; zero if it is warm.
	Cold time.Duration
}

// Load is a backend server's count of its own requests, as reported with an answer.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Pace is how long work takes at the server now, in percent of the normal time; 0 if not reported.
	Pace float64
}

// RateState says whether an answer announces a rate.
type RateState int

const (
	// RateAbsent means that the answer announces none.
	RateAbsent RateState = iota
	// RatePresent means that the answer announces a valid rate.
	RatePresent
	// RateInvalid means that what the answer announces is not a valid rate and is ignored.
	RateInvalid
)

// AnnouncedRate is a rate that an answer of a backend server announces, for all routers together: of
// requests that it accepts, or of rejections that it survives.
type AnnouncedRate struct {
	State RateState
	// PerSecond is zero or more; set only if State is RatePresent.
	PerSecond float64
}

// Server is a backend server as this router knows it. Entry and Incarnation are immutable; the
// methods are safe for concurrent use.
type Server struct {
	Entry
	// Incarnation uniquely names this process of the server among all processes of all servers.
	// State about a server is kept under its incarnation, not its ID: load, cached prompts and
	// idle connections of an earlier process must not be attributed to this one.
	Incarnation string

	leaving   atomic.Bool
	evacuated atomic.Bool
	// missing is set while the server's entry is missing and most others of its service have theirs.
	missing atomic.Bool
	// coldUntil is when the server stops being cold; nil if it is warm.
	coldUntil atomic.Pointer[time.Time]
	// unavailableUntil is when the server wants requests from this router again; nil if it rejected none with a time.
	unavailableUntil atomic.Pointer[time.Time]

	// Prediction is what is known of how fast the server works.
	Prediction predict.Server

	mu           sync.Mutex
	load         Load
	loadAt       time.Time
	outstanding  int     // this router's requests in progress
	sinceLoad    int     // those that the last load report may not count
	prefill      float64 // this router's prompt tokens sent and not yet answered
	failures     int     // consecutive failures
	backoffUntil time.Time
}

// NewServer returns a server for an entry.
func NewServer(e Entry) *Server {
	s := &Server{Entry: e, Incarnation: e.ID + "@" + e.Address + "@" + strconv.FormatInt(e.StartUnixMilli, 10)}
	s.leaving.Store(e.Draining)
	return s
}

// ServerID returns the ID of the server that an incarnation belongs to.
func ServerID(incarnation string) string {
	for range 2 { // cut off start time and address
		if at := strings.LastIndexByte(incarnation, '@'); at >= 0 {
			incarnation = incarnation[:at]
		}
	}
	return incarnation
}

// Restarted reports whether e, an entry with the same ID, is of another process of the server, or
// of another server that took over the ID.
func (s *Server) Restarted(e Entry) bool {
	return e.StartUnixMilli != s.StartUnixMilli || e.Address != s.Address || e.Service != s.Service || e.Version != s.Version
}

// Leaving reports whether the server is draining or gone and must get no new requests.
func (s *Server) Leaving() bool {
	return s.leaving.Load()
}

// MarkLeaving marks the server as draining or gone. The mark is permanent: an entry that says
// otherwise after the server began to drain is an older one.
func (s *Server) MarkLeaving() {
	s.leaving.Store(true)
}

// Evacuated reports whether operators have ordered the server's failure domain evacuated.
func (s *Server) Evacuated() bool {
	return s.evacuated.Load()
}

// SetEvacuated sets whether the server's failure domain is evacuated.
func (s *Server) SetEvacuated(evacuated bool) {
	s.evacuated.Store(evacuated)
}

// Missing reports whether the server must get no new requests until its entry returns.
func (s *Server) Missing() bool {
	return s.missing.Load()
}

func (s *Server) setMissing(missing bool) {
	s.missing.Store(missing)
}

// Ineligible reports whether the server must get no new requests, because it is leaving, missing
// or evacuated.
func (s *Server) Ineligible() bool {
	return s.Leaving() || s.Missing() || s.Evacuated()
}

// maxColdTime caps the cold time that a server reports. Servers warm up within seconds, and one
// that stays cold for longer reports it again.
const maxColdTime = time.Minute

// MarkCold marks the server as cold for the given time from now. If several sources report
// different times the longest counts: MarkCold never shortens the cold time, and a value of zero
// or less has no effect.
func (s *Server) MarkCold(now time.Time, cold time.Duration) {
	if cold <= 0 {
		return
	}
	extend(&s.coldUntil, now.Add(min(cold, maxColdTime)))
}

// ColdFor returns how much longer the server is cold, as far as known; zero if it is warm.
func (s *Server) ColdFor(now time.Time) time.Duration {
	return remaining(&s.coldUntil, now)
}

// MarkUnavailable records that the server wants no requests from this router for the given time from now. It
// never shortens an earlier time, and a value of zero or less has no effect.
func (s *Server) MarkUnavailable(now time.Time, rest time.Duration) {
	if rest > 0 {
		extend(&s.unavailableUntil, now.Add(rest))
	}
}

// UnavailableFor returns how much longer the server wants no requests from this router; zero if it takes them.
func (s *Server) UnavailableFor(now time.Time) time.Duration {
	return remaining(&s.unavailableUntil, now)
}

// AcceptsRequests reports whether the server may get new requests from this router: it is neither leaving nor
// missing, evacuated or unavailable.
func (s *Server) AcceptsRequests(now time.Time) bool {
	return !s.Ineligible() && s.UnavailableFor(now) == 0
}

// extend sets a time if none is set or if the one that is set is earlier.
func extend(at *atomic.Pointer[time.Time], until time.Time) {
	for {
		known := at.Load()
		if known != nil && !until.After(*known) || at.CompareAndSwap(known, &until) {
			return
		}
	}
}

// remaining returns the time from now until a time that may not be set.
func remaining(at *atomic.Pointer[time.Time], now time.Time) time.Duration {
	until := at.Load()
	if until == nil {
		return 0
	}
	return max(0, until.Sub(now))
}

// BeginRequest counts a request that is being sent, with the number of prompt tokens that the
// server has to process for it.
func (s *Server) BeginRequest(prefill float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outstanding++
	s.sinceLoad++
	s.prefill += prefill
}

// EndPrefill subtracts the prompt tokens of a request whose answer has begun.
func (s *Server) EndPrefill(prefill float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prefill = max(0, s.prefill-prefill)
}

// EndRequest counts a request as finished.
func (s *Server) EndRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outstanding--
	s.sinceLoad = max(0, s.sinceLoad-1)
}

// SetLoad records the load that the server reported with an answer.
func (s *Server) SetLoad(l Load, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.load, s.loadAt, s.sinceLoad = l, now, 0
}

// Slots returns the number of requests that the server runs at the same time, as it last reported with
// an answer or states in its entry; 0 if unknown.
func (s *Server) Slots() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.load.Slots > 0 {
		return s.load.Slots
	}
	return s.Entry.Slots
}

// ReportedLoad returns the number of requests that the server reported with its last answer, zero if the
// report is old or there is none.
func (s *Server) ReportedLoad(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.loadAt.IsZero() || now.Sub(s.loadAt) >= maxLoadAge {
		return 0
	}
	return s.load.Running + s.load.Waiting
}

// Outstanding returns the number of this router's requests in progress.
func (s *Server) Outstanding() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outstanding
}

// Shortest and longest backoff of a server after failures. minBackoff is about the time that a
// crashed process takes to restart; maxBackoff keeps a server that is back after an outage of
// some seconds from idling much longer.
const (
	minBackoff = 300 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// RecordFailure records that an exchange with the server broke off or could not begin. The
// server is avoided for a time that doubles with each consecutive failure.
func (s *Server) RecordFailure(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	wait := minBackoff << min(s.failures, 4)
	s.failures++
	s.backoffUntil = now.Add(min(wait, maxBackoff))
}

// RecordSuccess records a complete answer and ends the backoff.
func (s *Server) RecordSuccess() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures = 0
	s.backoffUntil = time.Time{}
}

// Status is a server's state at one moment, used to choose between servers.
type Status struct {
	Outstanding int
	Running     int     // estimated number of all routers' requests
	Prefill     float64 // this router's prompt tokens sent and not yet answered
	Slots       int     // as last reported or stated in the entry; 0 if unknown
	InBackoff   bool
	Failures    int
	// Reported is set if the server's last load report is recent enough to count, ReportAge is then its age.
	Reported  bool
	ReportAge time.Duration
}

// maxLoadAge is the age up to which a load report is used. A request takes about this long, so
// an older report says nothing about the requests that run now.
const maxLoadAge = 1500 * time.Millisecond

// Status returns the server's state at now.
func (s *Server) Status(now time.Time) Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	status := Status{
		Outstanding: s.outstanding,
		Running:     s.outstanding,
		Prefill:     s.prefill,
		Slots:       s.Entry.Slots,
		InBackoff:   now.Before(s.backoffUntil),
		Failures:    s.failures,
	}
	if s.load.Slots > 0 {
		status.Slots = s.load.Slots
	}
	if !s.loadAt.IsZero() && now.Sub(s.loadAt) < maxLoadAge {
		status.Running = max(s.outstanding, s.load.Running+s.load.Waiting+s.sinceLoad)
		status.Reported, status.ReportAge = true, now.Sub(s.loadAt)
	}
	return status
}
