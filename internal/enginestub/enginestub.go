// Package enginestub simulates backend servers for tests and load tests: a model engine
// (Server) and a plain service (Service). Both run in process or as the program
// chicory-engine.
//
// The engine speaks the protocol of package native. Its answers depend only on the request
// (see Answer), so that a load client can check them byte for byte whichever engine sent them.
// It records its runs so that they can be reconciled with the charged tokens.
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

// Config configures a Server. Fields with a Default constant use it if they are not positive.
type Config struct {
	// ID is the name of the backend server. Requests for another one are rejected. Empty:
	// all requests are accepted.
	ID              string
	Version         string        // of the server's software; answers depend on it
	Models          []string      // loaded models; empty: any model is served
	Slots           int           // maximum number of running sequences
	MaxWaiting      int           // maximum number of waiting sequences; more are rejected with 429
	TokenTime       time.Duration // per output token; 0: full speed
	PromptTokenTime time.Duration // per prompt token that is not cached
	BytesPerToken   int           // of the prompt
	ChunkTokens     int           // output tokens per streamed chunk
	CacheTokens     int           // size of the prefix cache; 0: no cache
	// CrashMarker in a prompt makes the engine crash after CrashAfterTokens output tokens of
	// that request, at the latest before its last token. Empty: never.
	CrashMarker      string
	CrashAfterTokens int
	Uneven           Uneven
	// ActivityLog receives one JSON line for each action of the engine when it happens; see
	// ReadActivityLog. Nil disables the log.
	ActivityLog io.Writer
	// OnCrash is called once after a crash has closed all connections. It must not call
	// methods of the Server, because the scheduler's lock is held.
	OnCrash func()
	// OnOutOfMemory is called instead of OnCrash if the engine ends by memory.
	OnOutOfMemory func()
}

// Server simulates a model engine.
type Server struct {
	*httpServer
	cfg          Config
	scheduler    *scheduler
	attemptCount atomic.Int64
	tasks        conc.WaitGroup
}

// New returns a Server whose scheduler runs until Close or a crash. The optional now replaces
// time.Now.
func New(cfg Config, now ...func() time.Time) *Server {
	cfg = cfg.withDefaults()
	clock := time.Now
	if len(now) > 0 {
		clock = now[0]
	}
	s := &Server{httpServer: newHTTPServer(cfg.ID, cfg.ActivityLog), cfg: cfg}
	s.uneven = cfg.Uneven
	s.scheduler = newScheduler(cfg, clock, s.activity, s.crash)
	s.addRoutes()
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

// Drain makes the engine reject new requests with status 503. Running and waiting ones are
// completed.
func (s *Server) Drain() {
	s.scheduler.setDraining()
}

// Idle reports whether no request is running or waiting.
func (s *Server) Idle() bool {
	return s.scheduler.idle()
}

// Pause stalls the engine: it accepts requests but generates no tokens.
func (s *Server) Pause() {
	s.scheduler.setPaused(true)
}

// Resume ends a pause started by Pause.
func (s *Server) Resume() {
	s.scheduler.setPaused(false)
}

// Runs returns a report of the attempts of all requests.
func (s *Server) Runs() RunReport {
	return s.scheduler.runReport()
}

// crash is called by the scheduler with its lock held so that the connections are closed before
// any further token can be read.
func (s *Server) crash() {
	s.kill()
	onCrash := s.cfg.OnCrash
	if s.scheduler.outOfMemory {
		onCrash = s.cfg.OnOutOfMemory
	}
	if onCrash != nil {
		onCrash()
	}
}

// newIDs returns the IDs of a request and of its new attempt. A request without an ID gets one.
func (s *Server) newIDs(givenID string) (requestID, attemptID string) {
	number := strconv.FormatInt(s.attemptCount.Add(1), 10)
	if givenID == "" {
		givenID = "unnamed-" + number
	}
	return givenID, givenID + "#" + number
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
