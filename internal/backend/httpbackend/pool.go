package httpbackend

import (
	"bufio"
	"context"
	"net"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// acquire gives an unused connection or dials one.
func (c *Client) acquire(ctx context.Context, address string) (*link, error) {
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	for {
		l := c.popIdle(address)
		if l == nil {
			return c.dial(ctx, address)
		}
		// A server that restarted or timed out has closed its side. Sending on
		// such a connection would fail as "may have run" although nothing ran, so
		// the connection is looked at first. What closes after this look is still
		// reported as ErrBroken, which is safe.
		fresh := c.cfg.Now().Sub(l.lastUse) < c.cfg.IdleTimeout
		if fresh && isOpen(l.conn) {
			return l, nil
		}
		l.close()
	}
}

func (c *Client) popIdle(address string) *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	links := c.idle[address]
	if len(links) == 0 {
		return nil
	}
	last := len(links) - 1
	l := links[last]
	links[last] = nil
	c.idle[address] = links[:last]
	return l
}

func (c *Client) dial(ctx context.Context, address string) (*link, error) {
	dialer := net.Dialer{Timeout: c.cfg.DialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "dial")
	}
	l := &link{address: address, conn: conn}
	l.reader = bufio.NewReaderSize(l, readBufferBytes)
	l.writer = bufio.NewWriterSize(conn, writeBufferBytes)
	return l, nil
}

// release keeps a connection whose last answer was read to its end.
func (c *Client) release(l *link) {
	l.lastUse = c.cfg.Now()
	// An old deadline would make isOpen fail on a sound connection.
	err := l.conn.SetReadDeadline(time.Time{})
	if err != nil {
		l.close()
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sweep(l.lastUse)
	if c.closed || l.reader.Buffered() > 0 {
		l.close()
		return
	}
	links := c.idle[l.address]
	if len(links) >= c.cfg.MaxIdlePerServer {
		l.close()
		return
	}
	c.idle[l.address] = append(links, l)
}

// sweep closes the connections that nobody has used for IdleTimeout. Without it
// those to a backend server that is gone would be kept for ever.
func (c *Client) sweep(now time.Time) {
	if now.Sub(c.lastSweep) < c.cfg.IdleTimeout {
		return
	}
	c.lastSweep = now
	for address, links := range c.idle {
		fresh := slices.IndexFunc(links, func(l *link) bool { return now.Sub(l.lastUse) < c.cfg.IdleTimeout })
		if fresh < 0 {
			fresh = len(links)
		}
		closeAll(links[:fresh])
		c.idle[address] = slices.Delete(links, 0, fresh)
		if len(c.idle[address]) == 0 {
			delete(c.idle, address)
		}
	}
}
