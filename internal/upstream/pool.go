package upstream

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"chicorytiller.example/chicorytiller/internal/linkdelay"
)

// pool contains the idle connections to one backend server. The most recently used one is taken
// first, so that unneeded connections expire.
type pool struct {
	mu   sync.Mutex
	idle []*conn
}

// take returns an idle connection that can be used, or nil.
func (p *pool) take(now time.Time) *conn {
	for {
		c := p.pop()
		if c == nil {
			return nil
		}
		if now.Before(c.expiresAt) && c.isQuiet() {
			return c
		}
		_ = c.Close() // no request is under way on it
	}
}

func (p *pool) pop() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	last := len(p.idle) - 1
	c := p.idle[last]
	p.idle = p.idle[:last]
	return c
}

func (p *pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append(p.idle, c)
}

// expire closes expired connections and reports whether any connection is left.
func (p *pool) expire(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.Before(c.expiresAt) {
			kept = append(kept, c)
			continue
		}
		_ = c.Close() // no request is under way on it
	}
	p.idle = kept
	return len(kept) > 0
}

// Client sends requests to backend servers and pools its connections to them. It is safe for
// concurrent use.
type Client struct {
	codec Codec
	dials prometheus.Counter
	link  *linkdelay.Estimator

	mu    sync.Mutex
	pools map[string]*pool // by incarnation of the server
}

// NewClient returns a client that counts the connections that it opens in dials and reports to
// link how long they took.
func NewClient(codec Codec, dials prometheus.Counter, link *linkdelay.Estimator) *Client {
	return &Client{codec: codec, dials: dials, link: link, pools: make(map[string]*pool)}
}

func (c *Client) pool(incarnation string) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[incarnation]
	if p == nil {
		p = &pool{}
		c.pools[incarnation] = p
	}
	return p
}

// sweepInterval is shorter than the idle times of connections.
const sweepInterval = time.Second

// Run closes expired idle connections. It returns when ctx ends.
func (c *Client) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			c.sweep(now)
		}
	}
}

func (c *Client) sweep(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for incarnation, p := range c.pools {
		if !p.expire(now) {
			delete(c.pools, incarnation)
		}
	}
}

// connect returns an idle connection or a new one.
func (c *Client) connect(ctx context.Context, incarnation, address string) (*conn, error) {
	if idle := c.pool(incarnation).take(time.Now()); idle != nil {
		return idle, nil
	}
	raw, err := c.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, readBufferSize)}, nil
}

// dial opens a connection. Its duration is one round trip, whatever the server has to do.
func (c *Client) dial(ctx context.Context, address string) (net.Conn, error) {
	c.dials.Inc()
	timeout := c.link.Timeout(dialTimeout, maxDialTimeout)
	dialCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	started := time.Now()
	raw, err := dialer.DialContext(dialCtx, "tcp", address)
	if err == nil || dialCtx.Err() != nil && ctx.Err() == nil {
		c.link.Observe(time.Since(started))
	}
	return raw, err
}
