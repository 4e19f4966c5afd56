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
)

// Timeouts of connecting.
const (
	// dialTimeout is far above a round trip between failure domains (some ms). It is below the
	// second after which a lost SYN is sent again: trying another server is faster.
	dialTimeout = 400 * time.Millisecond
	// maxDialTimeout is the dial timeout while this VM's link is full.
	maxDialTimeout = time.Second
	// linkSlowRecently is how recently the link must have been full to explain that a server does
	// not answer.
	linkSlowRecently = time.Second
)

// Carriers connect to servers through other routers.
type Carriers interface {
	// Open connects to a server and returns the name of the router that carries the connection.
	Open(ctx context.Context, server *fleet.Server) (conn net.Conn, via string, err error)
}

// errUnreachable: nobody who tried a moment ago could connect to the server.
var errUnreachable = errors.New("no path to the server")

// connect returns an idle connection or a new one. If the server doesn't answer this router, the
// connection leads through another one.
func (c *Client) connect(ctx context.Context, server *fleet.Server) (*conn, error) {
	if idle := c.pool(server.Incarnation).take(time.Now()); idle != nil {
		return idle, nil
	}
	cut, unreachable := c.paths.lookup(server.Incarnation)
	if cut || unreachable {
		c.probe(server, cut)
	}
	switch {
	case unreachable:
		return nil, errUnreachable
	case cut:
		return c.connectThroughCarrier(ctx, server)
	}
	raw, err := c.dial(ctx, server.Address, c.link.Timeout(dialTimeout, maxDialTimeout), false)
	if err == nil {
		return newConn(raw), nil
	}
	if ctx.Err() != nil || c.isLinkSlow() {
		return nil, err
	}
	carried, carrierErr := c.connectThroughCarrier(ctx, server)
	if carrierErr != nil {
		if ctx.Err() == nil {
			c.paths.markUnreachable(server.Incarnation)
		}
		return nil, errors.Wrap(err, carrierErr.Error())
	}
	if os.IsTimeout(err) {
		c.pathLost(server, err)
	}
	return carried, nil
}

// isLinkSlow reports whether this VM's link is full, which explains that a server doesn't answer. A
// way through another router would lead over the same link.
func (c *Client) isLinkSlow() bool {
	return c.link.WasSlow(time.Now().Add(-linkSlowRecently))
}

func newConn(raw net.Conn) *conn {
	limiter := &headLimiter{source: raw, remaining: noHeadLimit}
	return &conn{Conn: raw, reader: bufio.NewReaderSize(limiter, readBufferSize), limiter: limiter}
}

// connectThroughCarrier connects to a server through another router.
func (c *Client) connectThroughCarrier(ctx context.Context, server *fleet.Server) (*conn, error) {
	raw, via, err := c.carriers.Open(ctx, server)
	if err != nil {
		return nil, err
	}
	carried := newConn(raw)
	carried.via = via
	return carried, nil
}

// dial opens a direct connection. Its duration is one round trip, whatever the server has to do. knownCut says
// that the server has answered other routers but not this one: a timeout then says nothing about the link,
// and a router that took it for the link's delay would refuse requests that it can serve through a carrier.
func (c *Client) dial(ctx context.Context, address string, timeout time.Duration, knownCut bool) (net.Conn, error) {
	c.dials.Inc()
	started := time.Now()
	dialCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	raw, err := tcpconn.Dial(dialCtx, address)
	took := time.Since(started)
	switch {
	case err == nil:
		c.link.Observe(took)
	case os.IsTimeout(err) && took >= timeout && !knownCut: // the dial may time out before dialCtx says so
		c.link.ObserveTimeout(took)
	}
	return raw, err
}

// DialForCarrier opens a direct connection to a server for another router. It fails at once if the
// server did not answer this router either a moment ago.
func (c *Client) DialForCarrier(ctx context.Context, server *fleet.Server) (net.Conn, error) {
	cut, unreachable := c.paths.lookup(server.Incarnation)
	if cut || unreachable {
		c.probe(server, cut)
		return nil, errUnreachable
	}
	c.dials.Inc()
	raw, err := tcpconn.Dial(ctx, server.Address)
	if err != nil {
		c.paths.markUnreachable(server.Incarnation)
	}
	return raw, err
}

// probe tries, in the background, to connect to a server whose path is cut or that nobody reached.
func (c *Client) probe(server *fleet.Server, cut bool) {
	if !c.paths.startProbe(server.Incarnation) {
		return
	}
	c.probes.Go(func() {
		raw, err := c.dial(context.Background(), server.Address, c.link.Timeout(dialTimeout, maxDialTimeout), cut)
		if err != nil {
			c.probeCarriers(server, err)
			return
		}
		if cutFor, changed := c.paths.markConnected(server.Incarnation); changed {
			c.log.Emit(event.PathRestored, slog.String(event.KeyBackend, server.ID), slog.Int64("down_ms", cutFor.Milliseconds()))
		}
		connection := newConn(raw)
		connection.expiresAt = time.Now().Add(defaultIdleTimeout)
		c.pool(server.Incarnation).put(connection)
	})
}

// probeCarriers looks for a way through other routers to a server that nobody reached before.
func (c *Client) probeCarriers(server *fleet.Server, cause error) {
	if _, unreachable := c.paths.lookup(server.Incarnation); !unreachable || c.isLinkSlow() {
		return // requests find the way through carriers themselves, or it would not help
	}
	carried, err := c.connectThroughCarrier(context.Background(), server)
	if err != nil {
		return // the next probe follows if the server is still used
	}
	_ = carried.Close() // nothing was sent on it
	c.pathLost(server, cause)
}

// pathLost records that a server answers other routers but not this one.
func (c *Client) pathLost(server *fleet.Server, cause error) {
	if !c.paths.markCut(server.Incarnation) {
		return
	}
	c.log.Emit(event.PathLost, slog.String(event.KeyBackend, server.ID), slog.String("address", server.Address), slog.Any(event.KeyCause, cause))
}

// CutPaths returns the number of servers that answer other routers but not this one.
func (c *Client) CutPaths() int {
	return c.paths.countCut()
}
