package enginestub

import (
	"encoding/json"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gofiber/fiber/v2"
	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/native"
)

// CrashPoint defines when a call whose body contains the crash marker crashes a Service.
type CrashPoint string

const (
	CrashBeforeEffect CrashPoint = "before"
	CrashAfterEffect  CrashPoint = "after"
)

// ServiceConfig configures a Service.
type ServiceConfig struct {
	ID          string        // as in Config
	Slots       int           // has no effect
	Delay       time.Duration // before the effect of each call
	CrashMarker string        // a call whose body contains it crashes the service; empty: never
	CrashPoint  CrashPoint    // empty: CrashBeforeEffect
	OnCrash     func()        // called once after a crash has closed all connections
}

// Service simulates a plain service with one non-idempotent call, POST /confirm. It counts the
// calls' effects so that repeated ones can be found.
type Service struct {
	*httpServer
	cfg  ServiceConfig
	now  func() time.Time
	quit chan struct{}

	mu        sync.Mutex // guards the fields below
	calls     int
	byRequest map[string]*Confirmation
	byBody    map[string]*Confirmation
	running   int
	draining  bool
	stopped   bool
}

// NewService returns a Service. The optional now replaces time.Now.
func NewService(cfg ServiceConfig, now ...func() time.Time) *Service {
	setDefault(&cfg.Slots, DefaultSlots)
	s := &Service{
		httpServer: newHTTPServer(cfg.ID, nil),
		cfg:        cfg,
		now:        time.Now,
		quit:       make(chan struct{}),
		byRequest:  make(map[string]*Confirmation),
		byBody:     make(map[string]*Confirmation),
	}
	if len(now) > 0 {
		s.now = now[0]
	}
	s.app.Use(s.handleCommon)
	s.app.Post("/confirm", s.handleConfirm)
	s.app.Get("/runs", s.handleRuns)
	return s
}

// Close stops the service and closes all its connections.
func (s *Service) Close() {
	s.stop()
	s.kill()
	s.shutdown()
}

// Drain makes the service reject new calls.
func (s *Service) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// Idle reports whether no call is running.
func (s *Service) Idle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running == 0
}

// confirmRequest is the body of POST /confirm.
type confirmRequest struct {
	ID string `json:"id"`
}

// confirmResponse is the response to POST /confirm. It depends only on the request body.
type confirmResponse struct {
	ID           string `json:"id"`
	Confirmation string `json:"confirmation"`
}

func (s *Service) handleConfirm(c *fiber.Ctx) error {
	var req confirmRequest
	err := json.Unmarshal(c.Body(), &req)
	if err != nil || req.ID == "" {
		return errors.Wrap(ErrBadRequest, "body is not {\"id\":...}")
	}
	err = s.beginCall()
	if err != nil {
		return err
	}
	defer s.endCall()
	if !s.delay() {
		return ErrUnavailable
	}
	hasMarker := s.cfg.CrashMarker != "" && strings.Contains(string(c.Body()), s.cfg.CrashMarker)
	if hasMarker && s.cfg.CrashPoint != CrashAfterEffect {
		s.crash()
		return ErrUnavailable
	}
	bodyHash := strconv.FormatUint(xxhash.Sum64(c.Body()), 16)
	err = s.confirm(req.ID, strings.Clone(c.Get(native.HeaderRequestID)), bodyHash)
	if err != nil {
		return err
	}
	if hasMarker {
		s.crash()
	}
	hash := xxhash.Sum64String("confirmation\x00" + req.ID)
	return c.JSON(confirmResponse{ID: req.ID, Confirmation: strconv.FormatUint(hash, 16)})
}

func (s *Service) handleRuns(c *fiber.Ctx) error {
	return c.JSON(s.Runs())
}

func (s *Service) beginCall() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining || s.stopped {
		return ErrUnavailable
	}
	s.running++
	return nil
}

func (s *Service) endCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// delay waits for the configured delay. It returns false if the service stops before its end.
func (s *Service) delay() bool {
	if s.cfg.Delay <= 0 {
		return true
	}
	timer := time.NewTimer(s.cfg.Delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.quit:
		return false
	}
}

// crash simulates a killed process. It closes all connections before a response can be sent.
func (s *Service) crash() {
	if !s.stop() {
		return
	}
	s.kill()
	if s.cfg.OnCrash != nil {
		s.cfg.OnCrash()
	}
}

// stop stops the service. It reports whether the service was still running.
func (s *Service) stop() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return false
	}
	s.stopped = true
	close(s.quit)
	return true
}
