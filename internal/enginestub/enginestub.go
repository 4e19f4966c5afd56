// Package enginestub stands in for backend servers in tests, trials and
// rehearsals: a model engine (Server) and a plain service (Service). Both run
// in process or as the program chicory-engine.
//
// The engine speaks the protocol of package httpbackend. Its answers follow
// from the request alone (see Answer), so that a load client can check them
// byte for byte whichever engine gave them, and it records what it ran, so that
// runs can be reconciled with bills.
package enginestub

import (
	"io"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
)

// Defaults of Config.
const (
	DefaultSlots         = 64
	DefaultMaxWaiting    = 10000
	DefaultBytesPerToken = 4
	DefaultChunkTokens   = 1
)

// Config sets up an engine. Zero values mean the defaults, and no time at all
// for TokenTime and PromptTokenTime.
type Config struct {
	// ID is the backend server's name: requests that are meant for another one are
	// rejected. Empty: all are taken.
	ID              string
	Models          []string // loaded models; none: any model is served
	Slots           int      // sequences that run at once
	MaxWaiting      int      // sequences that wait before new ones get 429
	TokenTime       time.Duration
	PromptTokenTime time.Duration // for each prompt token that isn't cached
	BytesPerToken   int
	ChunkTokens     int // most tokens of one chunk
	CacheTokens     int // size of the prefix cache; 0: none
	// CrashMarker in a prompt makes the engine crash when that request has
	// CrashAfterTokens tokens, or all but the last. Empty: never.
	CrashMarker      string
	CrashAfterTokens int
	// ActivityLog receives one JSON line for each action of the engine when it happens; see
	// ReadActivityLog. Nil disables the log.
	ActivityLog io.Writer
	// OnCrash is called once after a crash has closed all connections. It must
	// not call the Server.
	OnCrash func()
}

// Server is a model engine.
type Server struct {
	*httpServer
	cfg       Config
	scheduler *scheduler
	attempts  atomic.Int64 // so far
	tasks     conc.WaitGroup
}

// New makes an engine whose scheduler runs until Close or a crash. now is its
// clock; without one it is time.Now.
func New(cfg Config, now ...func() time.Time) *Server {
	cfg = cfg.withDefaults()
	clock := time.Now
	if len(now) > 0 {
		clock = now[0]
	}
	s := &Server{httpServer: newHTTPServer(cfg.ID, cfg.ActivityLog), cfg: cfg}
	s.scheduler = newScheduler(cfg, clock, s.evidence, s.crash)
	s.routes()
	s.tasks.Go(s.scheduler.loop)
	return s
}

// Close stops the engine and closes all its connections.
func (s *Server) Close() {
	s.kill()
	s.scheduler.stop()
	s.shutdown()
	s.tasks.Wait()
}

// Drain makes the engine refuse new work and report that it is leaving.
// Running and waiting requests go on.
func (s *Server) Drain() {
	s.scheduler.setLeaving()
}

// Idle tells whether nothing runs or waits.
func (s *Server) Idle() bool {
	return s.scheduler.idle()
}

// Pause stalls the engine: it takes requests but makes no tokens.
func (s *Server) Pause() {
	s.scheduler.setPaused(true)
}

// Resume ends a pause started by Pause.
func (s *Server) Resume() {
	s.scheduler.setPaused(false)
}

// Runs tells what was run for each request.
func (s *Server) Runs() RunReport {
	return s.scheduler.runReport()
}

// crash is called by the scheduler under its lock; the connections close
// before any further token can be read.
func (s *Server) crash() {
	s.kill()
	if s.cfg.OnCrash != nil {
		s.cfg.OnCrash()
	}
}

// name names one attempt of a request, and the request itself if it came without an id.
func (s *Server) name(given string) (request, attempt string) {
	number := strconv.FormatInt(s.attempts.Add(1), 10)
	if given == "" {
		given = "unnamed-" + number
	}
	return given, given + "#" + number
}

func (cfg Config) withDefaults() Config {
	setDefault(&cfg.Slots, DefaultSlots)
	setDefault(&cfg.MaxWaiting, DefaultMaxWaiting)
	setDefault(&cfg.BytesPerToken, DefaultBytesPerToken)
	setDefault(&cfg.ChunkTokens, DefaultChunkTokens)
	return cfg
}

func setDefault[T int | time.Duration](value *T, fallback T) {
	if *value <= 0 {
		*value = fallback
	}
}
