package soak

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// mode is what a proxy does with the bytes of its connections.
type mode int32

// Modes of a proxy.
const (
	pass    mode = iota
	delayed      // each piece comes some tens of ms late
	mute         // answers are held, requests pass
	deaf         // requests are held, answers pass
	silent       // both are held; connections stay open
)

// delay of each piece in mode delayed.
const delay = 40 * time.Millisecond

// heldPoll is how often held bytes are looked at again.
const heldPoll = 10 * time.Millisecond

// proxy stands before one server on loopback and harms its connections.
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
	go p.accept() // ends with the listener
	return p, nil
}

func (p *proxy) address() string {
	return p.listener.Addr().String()
}

func (p *proxy) set(m mode) {
	p.mode.Store(int32(m))
}

// reset breaks all connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		_ = conn.(*net.TCPConn).SetLinger(0) // makes the close a reset
		_ = conn.Close()                     // the point of it
	}
	clear(p.conns)
}

func (p *proxy) close() {
	_ = p.listener.Close() // the soak ends
	p.reset()
}

func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.join(conn) // ends with its connections
	}
}

func (p *proxy) join(client net.Conn) {
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = client.Close() // the target is down: so looks the proxy
		return
	}
	p.mu.Lock()
	p.conns[client], p.conns[server] = struct{}{}, struct{}{}
	p.mu.Unlock()
	go p.copy(server, client, deaf)
	p.copy(client, server, mute)
}

// copy passes bytes on until either side closes; holding is the mode in which this
// direction is held.
func (p *proxy) copy(to, from net.Conn, holding mode) {
	defer p.forget(to, from)
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if p.is(delayed) {
			time.Sleep(delay)
		}
		for p.is(holding) || p.is(silent) {
			time.Sleep(heldPoll)
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if errors.Is(err, io.EOF) {
			_ = to.(*net.TCPConn).CloseWrite() // the other direction may go on
			return
		}
		if err != nil {
			return
		}
	}
}

func (p *proxy) is(m mode) bool {
	return mode(p.mode.Load()) == m
}

// forget closes both sides once one direction has ended: HTTP needs no half-open ones.
func (p *proxy) forget(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range conns {
		_ = conn.Close() // it has ended
		delete(p.conns, conn)
	}
}
