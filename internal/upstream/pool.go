package upstream

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sourcegraph/conc"

	"chicorytiller.example/chicorytiller/internal/event"
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

// closeAll closes all connections.
func (p *pool) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		_ = c.Close() // no request is under way on it
	}
	p.idle = nil
}

// expire closes expired connections, and those on which a server sends without being asked. It reports
// whether any connection is left.
func (p *pool) expire(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.Before(c.expiresAt) && c.isQuiet() {
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
	codec    Codec
	router   string
	dials    prometheus.Counter
	link     *linkdelay.Estimator
	carriers Carriers
	paths    *paths
	probes   conc.WaitGroup
	log      *event.Log

	mu    sync.Mutex
	pools map[string]*pool // by incarnation of the server
}

// Options are the parts that a Client works with.
type Options struct {
	Codec Codec
	// Router is the name of this router's process, which servers may be told.
	Router string
	// Dials counts the direct connections that the client opens.
	Dials prometheus.Counter
	// Link is told how long connecting took.
	Link *linkdelay.Estimator
	// Carriers connect to servers that don't answer this router.
	Carriers Carriers
	Log      *event.Log
}

// NewClient returns a client without connections.
func NewClient(o Options) *Client {
	return &Client{codec: o.Codec, router: o.Router, dials: o.Dials, link: o.Link, carriers: o.Carriers, log: o.Log, paths: newPaths(time.Now), pools: make(map[string]*pool)}
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
	defer c.probes.Wait()
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			c.sweep(now)
			c.paths.expire()
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
