package soak

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// mode is how a proxy treats the data on its connections.
type mode int32

// Modes of a proxy.
const (
	modePass          mode = iota
	modeDelay              // forward each chunk after chunkDelay
	modeHoldResponses      // hold responses, forward requests
	modeHoldRequests       // hold requests, forward responses
	modeHoldBoth           // hold both and keep the connections open
)

// chunkDelay is the delay of each chunk in modeDelay.
const chunkDelay = 40 * time.Millisecond

// holdPollInterval is the time between two checks whether held data may be forwarded.
const holdPollInterval = 10 * time.Millisecond

// proxy is a TCP proxy on the loopback interface that injects faults into the connections to
// one server.
type proxy struct {
	listener net.Listener
	target   string
	mode     atomic.Int32

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "proxy")
	}
	p := &proxy{listener: listener, target: target, conns: make(map[net.Conn]struct{})}
	go p.accept() // returns when the listener is closed
	return p, nil
}

func (p *proxy) address() string {
	return p.listener.Addr().String()
}

func (p *proxy) setMode(m mode) {
	p.mode.Store(int32(m))
}

// reset resets all connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		_ = conn.(*net.TCPConn).SetLinger(0) // makes Close send a reset
		_ = conn.Close()                     // an error means that it is closed already
	}
	clear(p.conns)
}

func (p *proxy) close() {
	_ = p.listener.Close() // the run is over
	p.reset()
}

func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.handle(conn) // returns when its connections are closed
	}
}

func (p *proxy) handle(client net.Conn) {
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = client.Close() // clients see that the target is down
		return
	}
	p.mu.Lock()
	p.conns[client], p.conns[server] = struct{}{}, struct{}{}
	p.mu.Unlock()
	go p.forward(server, client, modeHoldRequests)
	p.forward(client, server, modeHoldResponses)
}

// forward copies data until one side closes its connection. In mode holdMode it holds the data
// of its direction.
func (p *proxy) forward(to, from net.Conn, holdMode mode) {
	defer p.closeConns(to, from)
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if p.inMode(modeDelay) {
			time.Sleep(chunkDelay)
		}
		for p.inMode(holdMode) || p.inMode(modeHoldBoth) {
			time.Sleep(holdPollInterval)
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if errors.Is(err, io.EOF) {
			_ = to.(*net.TCPConn).CloseWrite() // closeConns closes it in any case
			return
		}
		if err != nil {
			return
		}
	}
}

func (p *proxy) inMode(m mode) bool {
	return mode(p.mode.Load()) == m
}

// closeConns closes both connections once one direction has ended. HTTP needs no half-open
// connections.
func (p *proxy) closeConns(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range conns {
		_ = conn.Close() // the peer may have closed it
		delete(p.conns, conn)
	}
}
