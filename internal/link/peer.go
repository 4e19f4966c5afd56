package link

import (
	"context"
	"crypto/tls"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// maxSilentTimeouts is after how many calls in a row without any answer a
// connection is given up. After a long partition TCP sends again only every
// minute or two; a new connection works as soon as the partition heals.
const maxSilentTimeouts = 3

// peer is one other router, reached over at most one connection.
type peer struct {
	pool *Pool
	addr string

	mu       sync.Mutex
	conn     *clientConn
	dialling chan struct{} // closed when the running dial ends; nil: none runs
	failures int           // dials failed in a row
	nextDial time.Time
	lastErr  error
	closed   bool
}

// clientConn is one connection to a peer. inUse, silent and retired are guarded
// by the peer's mu.
type clientConn struct {
	client  *rpc.Client
	codec   *clientCodec
	key     []byte
	version int

	inUse   int
	silent  int // calls in a row that timed out
	retired bool
}

// acquire gives the connection, dialling if there is none. While the peer can't
// be reached it fails at once, without a dial for each call.
func (p *peer) acquire(ctx context.Context) (*clientConn, error) {
	for {
		p.mu.Lock()
		if conn := p.usable(); conn != nil {
			conn.inUse++
			p.mu.Unlock()
			return conn, nil
		}
		dialled, err := p.startDial()
		p.mu.Unlock()
		if err != nil {
			return nil, err
		}
		select {
		case <-dialled:
		case <-ctx.Done():
			return nil, errors.Wrapf(ErrUnreachable, "%s: %v", p.addr, ctx.Err())
		}
	}
}

// usable gives the connection if it is open and was made with the current key.
func (p *peer) usable() *clientConn {
	if p.conn == nil {
		return nil
	}
	if p.conn.codec.writer.isClosed() || !p.pool.cfg.Keys.isCurrent(p.conn.key) {
		p.retire()
		return nil
	}
	return p.conn
}

// retire lets the calls on the connection end and takes no new ones.
func (p *peer) retire() {
	conn := p.conn
	p.conn = nil
	conn.retired = true
	if conn.inUse == 0 {
		_ = conn.client.Close()
	}
}

func (p *peer) release(conn *clientConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conn.inUse--
	if conn.retired && conn.inUse == 0 {
		_ = conn.client.Close()
	}
}

func (p *peer) noteAnswer(conn *clientConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conn.silent = 0
}

func (p *peer) noteTimeout(conn *clientConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conn.silent++
	if conn.silent >= maxSilentTimeouts {
		_ = conn.client.Close()
	}
}

// startDial gives the running dial, or starts one if the backoff is over.
func (p *peer) startDial() (<-chan struct{}, error) {
	if p.closed {
		return nil, ErrClosed
	}
	if p.dialling != nil {
		return p.dialling, nil
	}
	if time.Now().Before(p.nextDial) {
		return nil, p.lastErr
	}
	dialled := make(chan struct{})
	p.dialling = dialled
	p.pool.wg.Go(func() {
		conn, err := p.dial()
		p.endDial(conn, err)
		close(dialled)
	})
	return dialled, nil
}

func (p *peer) endDial(conn *clientConn, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialling = nil
	if err != nil {
		p.lastErr = err
		p.nextDial = time.Now().Add(p.backoff())
		p.failures++
		return
	}
	p.failures = 0
	p.nextDial = time.Time{}
	if p.closed {
		_ = conn.client.Close()
		return
	}
	p.conn = conn
}

func (p *peer) backoff() time.Duration {
	wait := p.pool.cfg.MinBackoff
	for range p.failures {
		wait *= 2
		if wait >= p.pool.cfg.MaxBackoff {
			return p.pool.cfg.MaxBackoff
		}
	}
	return wait
}

func (p *peer) dial() (*clientConn, error) {
	cfg := p.pool.cfg
	if err := p.dialFault(); err != nil {
		return nil, err
	}
	dialer := net.Dialer{Timeout: cfg.DialTimeout}
	conn, err := dialer.DialContext(p.pool.ctx, "tcp", p.addr)
	if err != nil {
		return nil, errors.Wrapf(ErrUnreachable, "%s: %v", p.addr, err)
	}
	stop := context.AfterFunc(p.pool.ctx, func() { _ = conn.Close() }) // Close ends the handshake too
	defer stop()
	authenticated, err := clientHandshake(p.secure(conn), p.addr, cfg)
	if err != nil {
		_ = conn.Close()
		return nil, dialError(p.addr, err)
	}
	codec := newClientCodec(authenticated, cfg)
	p.pool.wg.Go(codec.writer.run)
	client := rpc.NewClientWithCodec(codec)
	return &clientConn{client: client, codec: codec, key: authenticated.key, version: authenticated.version}, nil
}

func (p *peer) secure(conn net.Conn) net.Conn {
	if p.pool.cfg.ClientTLS == nil {
		return conn
	}
	config := p.pool.cfg.ClientTLS.Clone()
	if host, _, err := net.SplitHostPort(p.addr); err == nil && config.ServerName == "" {
		config.ServerName = host
	}
	return tls.Client(conn, config)
}

// dialFault applies what a test wants to happen to a new connection.
func (p *peer) dialFault() error {
	cfg := p.pool.cfg
	if cfg.Fault == nil {
		return nil
	}
	action := cfg.Fault(cfg.Address, p.addr)
	if action.Cut {
		return errors.Wrap(ErrUnreachable, "fault")
	}
	if !action.Drop {
		return nil
	}
	timer := time.NewTimer(cfg.DialTimeout)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-p.pool.ctx.Done():
	}
	return errors.Wrap(ErrUnreachable, "fault")
}

func (p *peer) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	if p.conn != nil {
		_ = p.conn.client.Close()
		p.conn = nil
	}
}

// dialError keeps the kinds that tell an operator what to mend.
func dialError(addr string, err error) error {
	if errors.Is(err, ErrAuth) || errors.Is(err, ErrVersion) {
		return err
	}
	return errors.Wrapf(ErrUnreachable, "%s: %v", addr, err)
}
