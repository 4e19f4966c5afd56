package upstream

import (
	"bufio"
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// pool keeps the idle connections of one backend server; the last used goes first,
// so that few stay open.
type pool struct {
	mu   sync.Mutex
	idle []*conn
}

func (p *pool) take(now time.Time) *conn {
	for {
		c := p.pop()
		if c == nil {
			return nil
		}
		if now.Before(c.expires) && c.quiet() {
			return c
		}
		_ = c.Close() // it carries nothing; there is no one to tell
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

// expire closes what is past its time and says whether any connection is left.
func (p *pool) expire(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.Before(c.expires) {
			kept = append(kept, c)
			continue
		}
		_ = c.Close() // idle: nothing is lost with it
	}
	p.idle = kept
	return len(kept) > 0
}

// Client holds the connections to all backend servers.
type Client struct {
	codec Codec
	dials prometheus.Counter

	mu    sync.Mutex
	pools map[string]*pool // by start of the server
}

// NewClient makes a client. Each dial counts in dials.
func NewClient(codec Codec, dials prometheus.Counter) *Client {
	return &Client{codec: codec, dials: dials, pools: make(map[string]*pool)}
}

func (c *Client) pool(server string) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[server]
	if p == nil {
		p = &pool{}
		c.pools[server] = p
	}
	return p
}

// sweepEvery is short beside the idle times of connections.
const sweepEvery = time.Second

// Run closes idle connections that are past their time, until ctx ends.
func (c *Client) Run(ctx context.Context) {
	ticker := time.NewTicker(sweepEvery)
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
	for server, p := range c.pools {
		if !p.expire(now) {
			delete(c.pools, server)
		}
	}
}

// connect returns an idle connection or a new one.
func (c *Client) connect(ctx context.Context, server, address string) (*conn, error) {
	if idle := c.pool(server).take(time.Now()); idle != nil {
		return idle, nil
	}
	c.dials.Inc()
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, readBuffer)}, nil
}
