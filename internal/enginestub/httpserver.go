package enginestub

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/pkg/errors"
)

// Limits of the HTTP server.
const (
	maxBodyBytes     = 16 << 20
	idleTimeout      = time.Minute
	shutdownDeadline = 2 * time.Second
)

// httpServer serves a fiber app on one listener and can break all its connections
// at once, as the death of the process would.
type httpServer struct {
	id       string // of the backend server; empty: requests for any are taken
	app      *fiber.App
	limit    rateLimit
	evidence *evidence

	mu       sync.Mutex
	closed   bool
	listener net.Listener
	conns    map[net.Conn]struct{}
}

func newHTTPServer(id string, written io.Writer) *httpServer {
	noted := &evidence{out: written}
	noted.note(evidenceLine{Kind: processStarted, At: time.Now()})
	h := &httpServer{
		id: id,
		app: fiber.New(fiber.Config{
			DisableStartupMessage: true,
			BodyLimit:             maxBodyBytes,
			IdleTimeout:           idleTimeout,
			ErrorHandler:          answerError,
		}),
		conns:    make(map[net.Conn]struct{}),
		limit:    rateLimit{now: time.Now, evidence: noted},
		evidence: noted,
	}
	h.rateLimitRoutes()
	return h
}

// Serve answers on the listener until Close.
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

// Addr is the listener's "IP:port"; empty before Serve.
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

// Shutdown takes no further connection and waits, up to limit, until the open
// answers are sent. Close has to follow.
func (h *httpServer) Shutdown(limit time.Duration) error {
	return errors.Wrap(h.app.ShutdownWithTimeout(limit), "shut down")
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

// shutdown frees what is left after kill.
func (h *httpServer) shutdown() {
	_ = h.app.ShutdownWithTimeout(shutdownDeadline)
}

func (h *httpServer) isClosed() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.closed
}

// add notes a new connection. One that was accepted while kill ran is closed,
// else it would outlive the crash and still be answered.
func (h *httpServer) add(conn net.Conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		_ = conn.Close()
		return
	}
	h.conns[conn] = struct{}{}
}

func (h *httpServer) remove(conn net.Conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.conns, conn)
}

// trackedListener tells the server of its connections.
type trackedListener struct {
	net.Listener
	server *httpServer
}

// Accept waits for the next connection.
func (l *trackedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.server.add(conn)
	return &trackedConn{Conn: conn, server: l.server}, nil
}

// trackedConn leaves the server's set when it is closed.
type trackedConn struct {
	net.Conn
	server *httpServer
}

// Close closes the connection.
func (c *trackedConn) Close() error {
	c.server.remove(c.Conn)
	return c.Conn.Close()
}
