package upstream

import (
	"bufio"
	"context"
	"log/slog"
	"net"
	"os"
	"time"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/fleet"
	"chicorytiller.example/chicorytiller/internal/tcpconn"
	"chicorytiller.example/chicorytiller/internal/tunnel"
)

// Timeouts of connecting.
const (
	// dialTimeout is far above a round trip between failure domains (some ms). It is below the
	// second after which a lost SYN is sent again: trying another server is faster.
	dialTimeout = 400 * time.Millisecond
	// maxDialTimeout is the dial timeout while this VM's link is full.
	maxDialTimeout = time.Second
	// linkFullRecently is how recently the link must have been full to explain that a server does
	// not answer. A way through another router would lead over the same link.
	linkFullRecently = time.Second
)

// Carriers connect to servers through other routers.
type Carriers interface {
	// Open connects to a server and returns the name of the router that carries the connection.
	Open(ctx context.Context, server *fleet.Server) (conn net.Conn, via string, err error)
}

// errUnreachable: neither this router nor any other could connect to the server a moment ago.
var errUnreachable = errors.New("no path to the server")

// connect returns an idle connection or a new one. If the server doesn't answer this router, the
// connection leads through another one.
func (c *Client) connect(ctx context.Context, server *fleet.Server) (*conn, error) {
	if idle := c.pool(server.Incarnation).take(time.Now()); idle != nil {
		return idle, nil
	}
	down, unreachable := c.paths.isDown(server.Incarnation)
	switch {
	case unreachable:
		c.probe(server)
		return nil, errUnreachable
	case down:
		c.probe(server)
		return c.connectThroughCarrier(ctx, server)
	}
	timeout := c.link.Timeout(dialTimeout, maxDialTimeout)
	raw, err := c.dial(ctx, server.Address, timeout)
	if err == nil {
		return newConn(raw), nil
	}
	if ctx.Err() != nil || c.link.WasFull(time.Now().Add(-linkFullRecently)) {
		return nil, err
	}
	if os.IsTimeout(err) {
		c.pathLost(server, err)
	}
	carried, carrierErr := c.connectThroughCarrier(ctx, server)
	if errors.Is(carrierErr, tunnel.ErrAlone) && os.IsTimeout(err) {
		c.link.Observe(timeout) // there is nothing else to tell a full link by
	}
	if carrierErr != nil {
		return nil, errors.Wrap(err, carrierErr.Error())
	}
	return carried, nil
}

func newConn(raw net.Conn) *conn {
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, readBufferSize)}
}

// connectThroughCarrier connects to a server through another router.
func (c *Client) connectThroughCarrier(ctx context.Context, server *fleet.Server) (*conn, error) {
	raw, via, err := c.carriers.Open(ctx, server)
	if err != nil {
		c.paths.markUnreachable(server.Incarnation)
		return nil, err
	}
	carried := newConn(raw)
	carried.via = via
	return carried, nil
}

// dial opens a direct connection. Its duration is one round trip, whatever the server has to do. A
// timeout says nothing of this VM's link: the path to the server may be cut.
func (c *Client) dial(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	c.dials.Inc()
	dialCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	started := time.Now()
	raw, err := tcpconn.Dialer.DialContext(dialCtx, "tcp", address)
	if err == nil {
		c.link.Observe(time.Since(started))
	}
	return raw, err
}

// DialForCarrier opens a direct connection to a server for another router. It fails at once if the
// server doesn't answer this router either.
func (c *Client) DialForCarrier(ctx context.Context, server *fleet.Server) (net.Conn, error) {
	if down, _ := c.paths.isDown(server.Incarnation); down {
		c.probe(server)
		return nil, errUnreachable
	}
	c.dials.Inc()
	raw, err := tcpconn.Dialer.DialContext(ctx, "tcp", server.Address)
	if err != nil && os.IsTimeout(err) && !c.link.WasFull(time.Now().Add(-linkFullRecently)) {
		c.pathLost(server, err)
	}
	return raw, err
}

// probe tries, in the background, to connect directly to a server whose path is down.
func (c *Client) probe(server *fleet.Server) {
	if !c.paths.startProbe(server.Incarnation) {
		return
	}
	c.probes.Go(func() {
		raw, err := c.dial(context.Background(), server.Address, dialTimeout)
		if err != nil {
			return // the next probe follows if the server is still used
		}
		if downFor, changed := c.paths.markUp(server.Incarnation); changed {
			c.log.Emit(event.PathRestored, slog.String(event.KeyBackend, server.ID), slog.Int64("down_ms", downFor.Milliseconds()))
		}
		connection := newConn(raw)
		connection.expiresAt = time.Now().Add(defaultIdleTimeout)
		c.pool(server.Incarnation).put(connection)
	})
}

// pathLost records that a server doesn't answer. Idle connections to it are closed: a request sent on
// one would wait for the same answer.
func (c *Client) pathLost(server *fleet.Server, cause error) {
	if !c.paths.markDown(server.Incarnation) {
		return
	}
	c.pool(server.Incarnation).closeAll()
	c.log.Emit(event.PathLost, slog.String(event.KeyBackend, server.ID), slog.String("address", server.Address), slog.Any(event.KeyCause, cause))
}

// LostPaths returns the number of servers that don't answer this router.
func (c *Client) LostPaths() int {
	return c.paths.count()
}
