package link

import (
	"crypto/tls"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
)

// acceptPause is waited after a failed accept (for instance no file descriptors
// left), which else would be tried again in a busy loop.
const acceptPause = 10 * time.Millisecond

// Server answers the calls of other routers.
type Server struct {
	cfg Config
	rpc *rpc.Server
	wg  conc.WaitGroup

	mu        sync.Mutex
	closed    bool
	listeners map[net.Listener]struct{}
	conns     map[net.Conn]struct{}
}

// NewServer makes a Server without receivers.
func NewServer(cfg Config) *Server {
	return &Server{
		cfg:       cfg.withDefaults(),
		rpc:       rpc.NewServer(),
		listeners: make(map[net.Listener]struct{}),
		conns:     make(map[net.Conn]struct{}),
	}
}

// Register offers the receiver's methods to peers as "name.Method". It is called
// before Serve.
func (s *Server) Register(name string, receiver any) error {
	return errors.Wrapf(s.rpc.RegisterName(name, receiver), "link: register %s", name)
}

// Serve accepts connections until Close, then returns ErrClosed.
func (s *Server) Serve(listener net.Listener) error {
	if err := s.track(listener); err != nil {
		return err
	}
	for {
		conn, err := listener.Accept()
		if err == nil {
			s.accept(conn)
			continue
		}
		if s.isClosed() {
			return ErrClosed
		}
		if errors.Is(err, net.ErrClosed) {
			return errors.Wrap(err, "link: accept")
		}
		time.Sleep(acceptPause)
	}
}

// Close closes listeners and connections and waits for running calls, for at
// most CloseTimeout.
func (s *Server) Close() error {
	s.mu.Lock()
	s.closed = true
	for listener := range s.listeners {
		_ = listener.Close()
	}
	for conn := range s.conns {
		_ = conn.Close()
	}
	s.mu.Unlock()
	return waitFor(&s.wg, s.cfg.CloseTimeout)
}

func (s *Server) track(listener net.Listener) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = listener.Close()
		return ErrClosed
	}
	s.listeners[listener] = struct{}{}
	return nil
}

func (s *Server) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

func (s *Server) accept(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.conns) >= s.cfg.MaxConnections {
		_ = conn.Close()
		return
	}
	s.conns[conn] = struct{}{}
	s.wg.Go(func() {
		defer s.forget(conn)
		s.serveConn(conn)
	})
}

func (s *Server) forget(conn net.Conn) {
	_ = conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// serveConn returns when the connection has ended. A failed handshake is told to
// the peer by the handshake itself.
func (s *Server) serveConn(conn net.Conn) {
	if s.cfg.ServerTLS != nil {
		conn = tls.Server(conn, s.cfg.ServerTLS)
	}
	authenticated, err := serverHandshake(conn, s.cfg)
	if err != nil {
		return
	}
	codec := newServerCodec(authenticated, s.cfg)
	var writing conc.WaitGroup
	writing.Go(codec.writer.run)
	s.rpc.ServeCodec(codec)
	writing.Wait()
}

// waitFor waits for the goroutines of wg. A receiver that hangs must not hang the
// router's shutdown, so the wait is bounded.
func waitFor(wg *conc.WaitGroup, limit time.Duration) error {
	done := make(chan struct{})
	var waiter conc.WaitGroup
	waiter.Go(func() {
		wg.Wait()
		close(done)
	})
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-done:
		return nil
	case <-timer.C:
		return errors.Wrap(ErrTimeout, "calls still running at close")
	}
}
