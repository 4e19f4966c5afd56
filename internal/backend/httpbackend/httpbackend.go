// Package httpbackend reaches backend servers over HTTP/1.1. It implements
// backend.Engine and backend.Service.
//
// A model engine speaks the OpenAI chat-completions protocol with streamed
// answers (server-sent events). Each chunk carries two more fields: "offset",
// the index of its first token in the answer, and "tokens", how many tokens it
// holds. With them a stream can be resumed, and a lost or repeated chunk is
// noticed.
//
// The package uses fasthttp's Request and Response, but holds its connections
// itself: a stream has to be freed in the middle by a cancelled context, must
// see how much of the answer is already buffered, and must never be repeated
// behind the router's back.
package httpbackend

import (
	"sync"
	"time"

	"chicorytiller.example/chicorytiller/internal/backend"
)

// Defaults of Config.
const (
	DefaultDialTimeout       = 2 * time.Second
	DefaultWriteTimeout      = 10 * time.Second
	DefaultHeaderTimeout     = 30 * time.Second
	DefaultFirstChunkTimeout = 5 * time.Minute
	DefaultChunkTimeout      = 30 * time.Second
	DefaultIdleTimeout       = 10 * time.Second
	DefaultMaxIdlePerServer  = 512
	DefaultMaxResponseBytes  = 8 << 20
)

// Config holds the limits of a Client. A zero value means the default.
type Config struct {
	DialTimeout time.Duration
	// WriteTimeout bounds the sending of one request.
	WriteTimeout time.Duration
	// HeaderTimeout bounds the silence before the head of an answer and, for a
	// call that isn't streamed, inside the answer. A context ends them sooner.
	HeaderTimeout time.Duration
	// FirstChunkTimeout bounds the silence before a stream's first chunk, while
	// the engine queues the request and reads the prompt.
	FirstChunkTimeout time.Duration
	// ChunkTimeout bounds the silence between two later chunks.
	ChunkTimeout time.Duration
	// IdleTimeout is how long an unused connection is kept. It has to be
	// shorter than the backend server's own.
	IdleTimeout      time.Duration
	MaxIdlePerServer int // unused connections kept to one backend server
	MaxResponseBytes int // largest answer of a plain service
	// Now is the clock; time.Now when nil.
	Now func() time.Time
}

// Client reaches any number of backend servers. It is safe for concurrent use.
type Client struct {
	cfg Config

	mu        sync.Mutex
	closed    bool
	idle      map[string][]*link // by address, the latest used last
	lastSweep time.Time
}

var (
	_ backend.Engine  = (*Client)(nil)
	_ backend.Service = (*Client)(nil)
)

// New makes a client. It connects only when it is used.
func New(cfg Config) *Client {
	return &Client{
		cfg:  cfg.withDefaults(),
		idle: make(map[string][]*link),
	}
}

// Close closes the unused connections and keeps no further ones. Running
// streams go on.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, links := range c.idle {
		closeAll(links)
	}
	c.idle = make(map[string][]*link)
}

func (cfg Config) withDefaults() Config {
	setDuration(&cfg.DialTimeout, DefaultDialTimeout)
	setDuration(&cfg.WriteTimeout, DefaultWriteTimeout)
	setDuration(&cfg.HeaderTimeout, DefaultHeaderTimeout)
	setDuration(&cfg.FirstChunkTimeout, DefaultFirstChunkTimeout)
	setDuration(&cfg.ChunkTimeout, DefaultChunkTimeout)
	setDuration(&cfg.IdleTimeout, DefaultIdleTimeout)
	setInt(&cfg.MaxIdlePerServer, DefaultMaxIdlePerServer)
	setInt(&cfg.MaxResponseBytes, DefaultMaxResponseBytes)
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return cfg
}

func setDuration(d *time.Duration, fallback time.Duration) {
	if *d <= 0 {
		*d = fallback
	}
}

func setInt(n *int, fallback int) {
	if *n <= 0 {
		*n = fallback
	}
}
