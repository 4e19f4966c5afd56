// Package fleet keeps what a router knows of the world around it: the backend
// servers of each service and the other routers.
package fleet

import (
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Entry is what a backend server says of itself in the registry.
type Entry struct {
	ID string
	// StartUnixMilli is when the server's process started, in Unix milliseconds; 0: it doesn't
	// tell. A server may start again under its id: another StartUnixMilli is another server,
	// which knows nothing of what the earlier one held or was sent.
	StartUnixMilli int64
	Service        string
	Address        string // IP:port
	Domain         string // failure domain
	// Draining servers take nothing new.
	Draining bool
	// Cold is how much longer the server has just started and bears few requests.
	Cold time.Duration
}

// Load is a backend server's own count of its work, as one answer carried it.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// LimitState is whether an answer names a rate limit.
type LimitState int

const (
	// LimitAbsent: it names none.
	LimitAbsent LimitState = iota
	// LimitPresent: it names one.
	LimitPresent
	// LimitInvalid: it names something that is no rate, which tells nothing.
	LimitInvalid
)

// RateLimit is what one answer of a backend server says of the requests that the server
// takes from all routers together.
type RateLimit struct {
	State LimitState
	// PerSecond is the limit in requests per second, zero or more; set only if State is LimitPresent.
	PerSecond float64
}

// Server is a backend server as this router knows it. The entry never changes;
// the rest is shared by all requests.
type Server struct {
	Entry
	// Incarnation names this one start of the server among all starts of all servers. What is
	// believed of a server is kept by it, not by the id: load, parts read and idle
	// connections of an earlier start must not be taken for this one's.
	Incarnation string

	leaving   atomic.Bool
	evacuated atomic.Bool
	// coldUntil is when it stops being cold; nil: it is warm.
	coldUntil atomic.Pointer[time.Time]

	mu          sync.Mutex
	load        Load
	loadAt      time.Time
	outstanding int     // own requests in hand
	sinceLoad   int     // own requests in hand that the last load report may not count
	prefill     float64 // own prompt tokens sent and not yet answered
	failures    int     // failures in a row
	avoidUntil  time.Time
}

// NewServer makes a server from its entry.
func NewServer(e Entry) *Server {
	s := &Server{Entry: e, Incarnation: e.ID + "@" + e.Address + "@" + strconv.FormatInt(e.StartUnixMilli, 10)}
	s.leaving.Store(e.Draining)
	return s
}

// ServerID is the id of the server that a Start names.
func ServerID(start string) string {
	for range 2 { // of address and birth
		if at := strings.LastIndexByte(start, '@'); at >= 0 {
			start = start[:at]
		}
	}
	return start
}

// Restarted says whether an entry of the same id tells of another start, or of another
// server that took the id over.
func (s *Server) Restarted(e Entry) bool {
	return e.StartUnixMilli != s.StartUnixMilli || e.Address != s.Address || e.Service != s.Service
}

// Leaving says whether the server is draining or gone: it gets nothing new.
func (s *Server) Leaving() bool {
	return s.leaving.Load()
}

// MarkLeaving marks the server as draining or gone. It is never taken back: an entry
// that were ready again after it drained would be an old one.
func (s *Server) MarkLeaving() {
	s.leaving.Store(true)
}

// Evacuated says whether operators ordered that the server's failure domain gets nothing
// new for now.
func (s *Server) Evacuated() bool {
	return s.evacuated.Load()
}

// SetEvacuated notes that the server's failure domain is evacuated, or is not any more.
func (s *Server) SetEvacuated(evacuated bool) {
	s.evacuated.Store(evacuated)
}

// Ineligible says whether the server gets nothing new at all.
func (s *Server) Ineligible() bool {
	return s.Leaving() || s.Evacuated()
}

// coldMost bounds what is believed of a server that says for how long it is cold. Servers
// warm up within seconds, and one that is cold for longer says so again.
const coldMost = time.Minute

// MarkCold notes that the server is cold for some time from now on. Of several sources the
// worst counts, so it never shortens what is known; zero or less changes nothing.
func (s *Server) MarkCold(now time.Time, cold time.Duration) {
	if cold <= 0 {
		return
	}
	until := now.Add(min(cold, coldMost))
	for {
		known := s.coldUntil.Load()
		if known != nil && !until.After(*known) || s.coldUntil.CompareAndSwap(known, &until) {
			return
		}
	}
}

// ColdFor is how much longer the server is cold, as far as is known; zero: it is warm.
func (s *Server) ColdFor(now time.Time) time.Duration {
	until := s.coldUntil.Load()
	if until == nil {
		return 0
	}
	return max(0, until.Sub(now))
}

// BeginRequest counts a request that is being sent, with the prompt tokens that the
// server will have to read for it.
func (s *Server) BeginRequest(prefill float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outstanding++
	s.sinceLoad++
	s.prefill += prefill
}

// Answered takes away the prompt tokens of a request whose answer has begun.
func (s *Server) Answered(prefill float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prefill = max(0, s.prefill-prefill)
}

// EndRequest counts a request as no longer in hand.
func (s *Server) EndRequest() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outstanding--
	s.sinceLoad = max(0, s.sinceLoad-1)
}

// SetLoad takes a load that an answer carried.
func (s *Server) SetLoad(l Load, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.load, s.loadAt, s.sinceLoad = l, now, 0
}

// First and longest time that a server is avoided after it failed. The first is
// about a crashed process's restart; the longest keeps a server that is back
// after an outage of some seconds from idling much longer.
const (
	avoidFirst = 300 * time.Millisecond
	avoidMost  = 2 * time.Second
)

// RecordFailure notes that an exchange broke or could not begin. The server is avoided
// for a while that doubles with each failure in a row.
func (s *Server) RecordFailure(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	wait := avoidFirst << min(s.failures, 4)
	s.failures++
	s.avoidUntil = now.Add(min(wait, avoidMost))
}

// RecordSuccess notes a whole answer.
func (s *Server) RecordSuccess() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures = 0
	s.avoidUntil = time.Time{}
}

// Status is a server's state at one moment, for the choice between servers.
type Status struct {
	Outstanding int
	Running     int     // estimate: own and others' requests
	Prefill     float64 // own prompt tokens not yet read
	InBackoff   bool
	Failures    int
}

// loadFresh bounds the age of a load report that counts: a request takes about
// this long, so an older report says nothing of what runs now.
const loadFresh = 1500 * time.Millisecond

// Status returns the state now.
func (s *Server) Status(now time.Time) Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	status := Status{
		Outstanding: s.outstanding,
		Running:     s.outstanding,
		Prefill:     s.prefill,
		InBackoff:   now.Before(s.avoidUntil),
		Failures:    s.failures,
	}
	if !s.loadAt.IsZero() && now.Sub(s.loadAt) < loadFresh {
		status.Running = max(s.outstanding, s.load.Running+s.load.Waiting+s.sinceLoad)
	}
	return status
}
