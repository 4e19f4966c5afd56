// Package etcdgw is the adapter of platform.KV for a key-value service that
// speaks the etcd v3 JSON gateway protocol. It uses operations on single keys
// only, and no retries of its own: what to do after an error is up to the
// caller, who is told whether a write can have taken effect.
package etcdgw

import (
	"context"
	"encoding/json"
	"net"
	"net/url"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"chicorytiller.example/chicorytiller/internal/platform"
	"chicorytiller.example/chicorytiller/internal/platform/etcdgw/wire"
)

// Defaults of Config.
const (
	DefaultTimeout     = 3 * time.Second
	DefaultWatchMaxAge = time.Minute
	DefaultMaxConns    = 16
)

// Limits on what the service may send and on idle connections.
const (
	// maxResponseBytes is a value of the largest size in base64, and its frame.
	maxResponseBytes = platform.MaxValueBytes*4/3 + 64<<10
	// maxIdle is less than what servers usually allow, so that a write seldom
	// meets a connection that the server is closing: its outcome would be unknown.
	maxIdle = 5 * time.Second
)

// keepAliveProbes finds a peer that went away without closing its connections
// after about 20 seconds, which matters to a waiting watch.
var keepAliveProbes = net.KeepAliveConfig{
	Enable:   true,
	Idle:     5 * time.Second,
	Interval: 5 * time.Second,
	Count:    3,
}

// Config tells how to reach the service. Zero fields get their defaults.
type Config struct {
	// Endpoint is of the form http://IP:port.
	Endpoint string
	// Timeout limits each call, including the opening of a watch.
	Timeout time.Duration
	// WatchMaxAge ends a watch after this time, so that its reader reads again
	// and opens a new one. It bounds how long a stuck server goes unnoticed.
	WatchMaxAge time.Duration
	// MaxConns limits the connections for calls. Calls beyond it wait. Each
	// watch has one more.
	MaxConns int
}

// Client implements platform.KV. It is safe for concurrent use.
type Client struct {
	config Config
	host   string // IP:port
	http   *fasthttp.HostClient
	slots  chan struct{} // one for each call in progress

	closing context.Context // ends with Close
	end     context.CancelFunc
	mu      sync.Mutex // no watch starts while Close waits for all
	watches conc.WaitGroup
}

var _ platform.KV = (*Client)(nil)

// New checks the configuration. It opens no connection.
func New(config Config) (*Client, error) {
	host, err := hostOf(config.Endpoint)
	if err != nil {
		return nil, err
	}
	if config.Timeout < 0 || config.WatchMaxAge < 0 || config.MaxConns < 0 {
		return nil, errors.New("etcdgw: timeouts and limits must not be negative")
	}
	if config.Timeout == 0 {
		config.Timeout = DefaultTimeout
	}
	if config.WatchMaxAge == 0 {
		config.WatchMaxAge = DefaultWatchMaxAge
	}
	if config.MaxConns == 0 {
		config.MaxConns = DefaultMaxConns
	}
	c := &Client{config: config, host: host}
	c.closing, c.end = context.WithCancel(context.Background())
	c.http = c.newHostClient()
	c.slots = make(chan struct{}, config.MaxConns)
	c.http.MaxConns = config.MaxConns
	c.http.MaxResponseBodySize = maxResponseBytes
	c.http.DialTimeout = dial
	return c, nil
}

// Close ends all watches and closes the idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	c.end()
	c.mu.Unlock()
	c.watches.Wait()
	c.http.CloseIdleConnections()
}

func hostOf(endpoint string) (string, error) {
	u, err := url.Parse(endpoint)
	if err != nil {
		return "", errors.Wrap(err, "etcdgw: endpoint")
	}
	if u.Scheme != "http" || u.Port() == "" || net.ParseIP(u.Hostname()) == nil {
		return "", errors.Errorf("etcdgw: endpoint %q is not of the form http://IP:port", endpoint)
	}
	return u.Host, nil
}

// newHostClient makes an HTTP client which sends each request once.
//
// By default fasthttp repeats requests on broken connections. A write whose
// answer was lost would be sent again, meet its own first effect, and come back
// as a conflict: the lost answer would be hidden, and the writer would believe
// that somebody else wrote. With one attempt the writer gets ErrOutcomeUnknown
// and reads the key again.
func (c *Client) newHostClient() *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                      c.host,
		MaxIdleConnDuration:       maxIdle,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) {
			return false, false
		},
	}
}

// dial opens a connection and marks a failure as a dialError.
func dial(addr string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout, KeepAliveConfig: keepAliveProbes}
	conn, err := dialer.Dial("tcp", addr)
	if err != nil {
		return nil, &dialError{cause: err}
	}
	return conn, nil
}

// deadline is the earlier of the context's and the configured one. A context
// that is cancelled before its deadline does not cut a call short.
func (c *Client) deadline(ctx context.Context) time.Time {
	limit := time.Now().Add(c.config.Timeout)
	if d, ok := ctx.Deadline(); ok && d.Before(limit) {
		return d
	}
	return limit
}

// call posts a message and returns the body of an answer with status 200.
func (c *Client) call(ctx context.Context, a access, path string, message any) ([]byte, error) {
	ctx, cancel := context.WithDeadline(ctx, c.deadline(ctx))
	defer cancel()
	if err := c.takeSlot(ctx); err != nil {
		return nil, &CallError{Path: path, Kind: platform.ErrUnavailable, Cause: err}
	}
	defer c.giveSlot()
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	if err := c.fill(req, path, message); err != nil {
		return nil, err
	}
	if err := c.http.DoDeadline(req, resp, c.deadline(ctx)); err != nil {
		return nil, &CallError{Path: path, Kind: kindOfTransportError(a, err), Cause: err}
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return nil, statusError(a, path, resp.StatusCode(), resp.Body())
	}
	return append([]byte(nil), resp.Body()...), nil
}

// takeSlot waits for the right to use a connection. The HTTP client's own queue
// is not used: it reports a wait that was too long as a timeout like any other,
// and a write that was never sent would pass for one of unknown outcome.
func (c *Client) takeSlot(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	select {
	case c.slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *Client) giveSlot() {
	<-c.slots
}

func (c *Client) fill(req *fasthttp.Request, path string, message any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return &CallError{Path: path, Kind: platform.ErrUnavailable, Cause: err}
	}
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.SetRequestURI("http://" + c.host + path)
	req.SetBodyRaw(body)
	return nil
}

// statusError reads the gateway's error body; a body in any other form is
// judged by the status alone.
func statusError(a access, path string, status int, body []byte) error {
	var message wire.ErrorBody
	if err := json.Unmarshal(body, &message); err != nil {
		message = wire.ErrorBody{}
	}
	text := message.Message
	if text == "" {
		text = message.Error
	}
	return &CallError{
		Path:  path,
		Kind:  kindOfStatus(a, status, text),
		Cause: errors.Errorf("status %d: %q", status, text),
	}
}
