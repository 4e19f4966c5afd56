// Package gateway is the callers' listener of a router: the OpenAI-compatible
// chat completions, the model list, the entry addresses and the plain services.
// It parses and authenticates, asks the core.Gate for leave, drives the backend
// server and answers. It decides nothing about budgets, limits or routing.
package gateway

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/gofiber/fiber/v2"
	recovery "github.com/gofiber/fiber/v2/middleware/recover"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sourcegraph/conc"

	"chicorytiller.example/chicorytiller/internal/backend"
	"chicorytiller.example/chicorytiller/internal/core"
	"chicorytiller.example/chicorytiller/internal/event"
)

// Paths of the callers' API.
const (
	pathChat     = "/v1/chat/completions"
	pathModels   = "/v1/models"
	pathEntry    = "/v1/entry"
	pathServices = "/v1/services/"
)

// Server is the callers' listener.
type Server struct {
	config  Config
	gate    core.Gate
	engine  backend.Engine
	service backend.Service
	events  *event.Log
	metrics *metrics
	app     *fiber.App

	inFlight atomic.Int64
	// work holds cancellations and runs that go on without their caller.
	work conc.WaitGroup

	stopOnce sync.Once
	stopping conc.WaitGroup
	stopped  chan struct{} // closed when all has ended
	stopErr  error         // set before stopped is closed
}

// New makes a listener. It fails when its metrics can't be registered.
func New(config Config, gate core.Gate, engine backend.Engine, service backend.Service,
	events *event.Log, registerer prometheus.Registerer) (*Server, error) {
	s := &Server{
		config:  config.withDefaults(),
		gate:    gate,
		engine:  engine,
		service: service,
		events:  events,
		stopped: make(chan struct{}),
	}
	m, err := newMetrics(registerer, func() float64 { return float64(s.InFlight()) })
	if err != nil {
		return nil, errors.Wrap(err, "gateway: metrics")
	}
	s.metrics = m
	s.app = s.newApp()
	return s, nil
}

func (s *Server) newApp() *fiber.App {
	app := fiber.New(fiber.Config{
		DisableStartupMessage: true,
		BodyLimit:             s.config.BodyLimit,
		ReadBufferSize:        s.config.HeaderLimit,
		Concurrency:           s.config.MaxConnections,
		ReadTimeout:           s.config.ReadTimeout,
		IdleTimeout:           s.config.IdleTimeout,
		ErrorHandler:          s.writeError,
		// Strings taken from a request outlive its handler here (streams and
		// runs without a caller), so fiber must copy them.
		Immutable:     true,
		CaseSensitive: true,
		// A form would otherwise be parsed away from the body that a plain
		// service is to get.
		DisablePreParseMultipartForm: true,
	})
	app.Server().CloseOnShutdown = true
	app.Server().HeaderReceived = s.boundBody
	app.Use(recovery.New(recovery.Config{EnableStackTrace: true, StackTraceHandler: s.reportPanic}))
	app.Post(pathChat, s.counted(kindChat, s.chat))
	app.Get(pathModels, s.counted(kindModels, s.models))
	app.Get(pathEntry, s.counted(kindEntry, s.entry))
	app.All(pathServices+":name/*", s.counted(kindService, s.callService))
	return app
}

// reportPanic tells of a fault of the program in a handler. Without the recovery
// one request that meets such a fault would end the process, and with it the
// streams of all other callers; the handlers' deferred release has by then freed
// the request's reservation.
func (s *Server) reportPanic(_ *fiber.Ctx, cause any) {
	s.events.EmitPanic("a handler of the callers' listener", cause)
}

// recoverTold is deferred by goroutines of their own: their pool would keep a panic
// unseen until the router stops.
func (s *Server) recoverTold(where string) {
	if cause := recover(); cause != nil {
		s.events.EmitPanic(where, cause)
	}
}

// Serve answers callers until Shutdown. The listener may be a TLS one.
func (s *Server) Serve(listener net.Listener) error {
	err := s.app.Listener(callerListener{Listener: listener, writeTimeout: s.config.WriteTimeout})
	return errors.Wrap(err, "gateway: serve")
}

// Shutdown stops accepting and waits until every request in flight has ended,
// those that go on without their caller included. When ctx ends first it
// returns its error and leaves the requests running: it never cuts one. It may
// then be called again to go on waiting.
func (s *Server) Shutdown(ctx context.Context) error {
	s.stopOnce.Do(s.stop)
	select {
	case <-s.stopped:
		return errors.Wrap(s.stopErr, "gateway: shutdown")
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "gateway: shutdown")
	}
}

// stop begins the shutdown. The HTTP library gets no deadline: once one of its
// own has passed it reports every later shutdown as done, though connections are
// still open, and the process would end under them.
func (s *Server) stop() {
	s.stopping.Go(func() {
		defer close(s.stopped)
		s.stopErr = s.app.ShutdownWithContext(context.Background())
		s.work.Wait()
	})
}

// InFlight is the number of requests that have not ended yet, those that go on
// without their caller included.
func (s *Server) InFlight() int {
	return int(s.inFlight.Load())
}

// counted counts a request in flight while its handler runs.
func (s *Server) counted(kind requestKind, handler fiber.Handler) fiber.Handler {
	return func(c *fiber.Ctx) error {
		s.inFlight.Add(1)
		defer s.inFlight.Add(-1)
		c.Locals(localKind, kind)
		return handler(c)
	}
}
