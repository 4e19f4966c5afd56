package enginestub

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/pkg/errors"
)

const (
	maxBodyBytes    = 16 << 20
	idleTimeout     = time.Minute
	shutdownTimeout = 2 * time.Second
)

// httpServer serves a fiber app on one listener and can close all its connections at once to
// simulate a killed process.
type httpServer struct {
	id        string // name of the backend server; empty: accept requests for any
	app       *fiber.App
	rateLimit advertisedLimit
	activity  *activityLogger
	uneven    Uneven

	mu       sync.Mutex
	closed   bool
	listener net.Listener
	conns    map[net.Conn]struct{}
	accepted int64 // connections so far
}

func newHTTPServer(id string, activityLog io.Writer) *httpServer {
	activity := &activityLogger{w: activityLog}
	activity.log(activityRecord{Kind: processStarted, At: time.Now()})
	h := &httpServer{
		id: id,
		app: fiber.New(fiber.Config{
			DisableStartupMessage: true,
			BodyLimit:             maxBodyBytes,
			IdleTimeout:           idleTimeout,
			ErrorHandler:          handleError,
		}),
		conns:     make(map[net.Conn]struct{}),
		rateLimit: advertisedLimit{now: time.Now, activity: activity},
		activity:  activity,
	}
	h.addRateLimitRoute()
	return h
}

// Serve serves requests on the listener until Close.
func (h *httpServer) Serve(listener net.Listener) error {
	h.mu.Lock()
	if h.closed {
		h.mu.Unlock()
		return listener.Close()
	}
	h.listener = listener
	h.mu.Unlock()
	err := h.app.Listener(&trackedListener{Listener: listener, server: h})
	if err != nil && !h.isClosed() {
		return errors.Wrap(err, "serve")
	}
	return nil
}

// Addr returns the listener's "IP:port"; it is empty before Serve.
func (h *httpServer) Addr() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.listener == nil {
		return ""
	}
	return h.listener.Addr().String()
}

// CloseClientConnections closes all open connections without completing their responses. New
// connections are still accepted.
func (h *httpServer) CloseClientConnections() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for conn := range h.conns {
		_ = conn.Close()
	}
	clear(h.conns)
}

// Shutdown stops accepting connections and waits, up to timeout, until all responses are sent.
// Close must be called afterwards.
func (h *httpServer) Shutdown(timeout time.Duration) error {
	return errors.Wrap(h.app.ShutdownWithTimeout(timeout), "shut down")
}

// kill closes the listener and all connections at once.
func (h *httpServer) kill() {
	h.mu.Lock()
	h.closed = true
	if h.listener != nil {
		_ = h.listener.Close()
	}
	h.mu.Unlock()
	h.CloseClientConnections()
}

// shutdown stops the fiber app after kill.
func (h *httpServer) shutdown() {
	_ = h.app.ShutdownWithTimeout(shutdownTimeout)
}

func (h *httpServer) isClosed() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.closed
}

// addConn registers a new connection. A connection that was accepted during kill is closed, or
// else it would outlive the crash and its requests would be answered. It reports whether the
// requests on the connection are to be read slowly.
func (h *httpServer) addConn(conn net.Conn) (slow bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		_ = conn.Close()
		return false
	}
	h.conns[conn] = struct{}{}
	h.accepted++
	return h.uneven.draw(drawSlowBody, h.accepted) < h.uneven.SlowBodyShare
}

func (h *httpServer) removeConn(conn net.Conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.conns, conn)
}

// trackedListener registers its connections with the server.
type trackedListener struct {
	net.Listener
	server *httpServer
}

// Accept implements net.Listener.
func (l *trackedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	slow := l.server.addConn(conn)
	tracked := &trackedConn{Conn: conn, server: l.server}
	if slow {
		limitReadBuffer(conn)
		return newSlowConn(tracked), nil
	}
	return tracked, nil
}

// trackedConn removes itself from the server when it is closed.
type trackedConn struct {
	net.Conn
	server *httpServer
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.server.removeConn(c.Conn)
	return c.Conn.Close()
}
