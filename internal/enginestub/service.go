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

// CrashPoint is when a marked call crashes a plain service.
type CrashPoint string

// Crash points.
const (
	CrashBeforeEffect CrashPoint = "before"
	CrashAfterEffect  CrashPoint = "after"
)

// ServiceConfig sets up a plain service.
type ServiceConfig struct {
	ID          string        // as of an engine
	Slots       int           // reported only
	Delay       time.Duration // before each effect
	CrashMarker string        // in a body; empty: never
	CrashPoint  CrashPoint    // CrashBeforeEffect when empty
	OnCrash     func()        // called once after all connections are closed
}

// Service is the plain service "confirmations".
type Service struct {
	*httpServer
	cfg  ServiceConfig
	now  func() time.Time
	quit chan struct{}

	effects   sync.Mutex // guards all below
	calls     int
	byRequest map[string]*Confirmation
	byBody    map[string]*Confirmation
	running   int
	leaving   bool
	stopped   bool
}

// NewService makes a plain service. now is its clock; without one it is
// time.Now.
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
	s.app.Use(s.accept)
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

// Drain makes the service refuse new calls.
func (s *Service) Drain() {
	s.effects.Lock()
	defer s.effects.Unlock()
	s.leaving = true
}

// Idle tells whether no call runs.
func (s *Service) Idle() bool {
	s.effects.Lock()
	defer s.effects.Unlock()
	return s.running == 0
}

// confirmCall is the body of POST /confirm.
type confirmCall struct {
	ID string `json:"id"`
}

// confirmAnswer follows from the call alone.
type confirmAnswer struct {
	ID           string `json:"id"`
	Confirmation string `json:"confirmation"`
}

func (s *Service) handleConfirm(c *fiber.Ctx) error {
	var call confirmCall
	err := json.Unmarshal(c.Body(), &call)
	if err != nil || call.ID == "" {
		return errors.Wrap(ErrBadRequest, "body is not {\"id\":...}")
	}
	err = s.begin()
	if err != nil {
		return err
	}
	defer s.finish()
	if !s.wait() {
		return ErrUnavailable
	}
	marked := s.cfg.CrashMarker != "" && strings.Contains(string(c.Body()), s.cfg.CrashMarker)
	if marked && s.cfg.CrashPoint != CrashAfterEffect {
		s.crash()
		return ErrUnavailable
	}
	bodyHash := strconv.FormatUint(xxhash.Sum64(c.Body()), 16)
	err = s.confirm(call.ID, strings.Clone(c.Get(native.HeaderRequestID)), bodyHash)
	if err != nil {
		return err
	}
	if marked {
		s.crash()
	}
	number := xxhash.Sum64String("confirmation\x00" + call.ID)
	return c.JSON(confirmAnswer{ID: call.ID, Confirmation: strconv.FormatUint(number, 16)})
}

func (s *Service) handleRuns(c *fiber.Ctx) error {
	return c.JSON(s.Runs())
}

func (s *Service) begin() error {
	s.effects.Lock()
	defer s.effects.Unlock()
	if s.leaving || s.stopped {
		return ErrUnavailable
	}
	s.running++
	return nil
}

func (s *Service) finish() {
	s.effects.Lock()
	defer s.effects.Unlock()
	s.running--
}

// wait takes the call's time; false means that the service stopped meanwhile.
func (s *Service) wait() bool {
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

// crash closes all connections before any answer can be sent.
func (s *Service) crash() {
	if !s.stop() {
		return
	}
	s.kill()
	if s.cfg.OnCrash != nil {
		s.cfg.OnCrash()
	}
}

// stop tells whether it was this call that stopped the service.
func (s *Service) stop() bool {
	s.effects.Lock()
	defer s.effects.Unlock()
	if s.stopped {
		return false
	}
	s.stopped = true
	close(s.quit)
	return true
}
