package inbound

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"
)

// Errors of a request's body.
var (
	// ErrTooLarge: the body is longer than its limit.
	ErrTooLarge = errors.New("inbound: body too large")
	// ErrNoMemory: the requests that are being received and served leave no memory for this one.
	ErrNoMemory = errors.New("inbound: no memory for the request")
)

// Listener accepts connections into a pool.
type Listener struct {
	net.Listener
	Pool *Pool
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.Pool.add(accepted, time.Now()); c != nil {
			return c, nil
		}
		_ = accepted.Close() // there is no room for it
	}
}

// fieldCost is the memory of a header field beyond its bytes.
const fieldCost = 160

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if c.interrupted.Load() {
		return 0, os.ErrDeadlineExceeded
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		now := time.Now()
		c.receivedAt(now)
		if !c.inHandler.Load() && !c.receivedHead(p[:n], now) {
			return 0, os.ErrDeadlineExceeded
		}
	}
	return n, err
}

// receivedHead accounts for a part of a head. It returns false if there is no memory for it.
func (c *Conn) receivedHead(part []byte, now time.Time) bool {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if c.phase == idle {
		c.pool.enter(c, receiving, now)
	}
	cost := int64(len(part) + fieldCost*bytes.Count(part, []byte{'\n'}))
	return c.reserveOrEnd(cost, now)
}

// SetReadDeadline implements net.Conn. Once the connection was interrupted it changes nothing.
func (c *Conn) SetReadDeadline(t time.Time) error {
	err := c.Conn.SetReadDeadline(t)
	if c.interrupted.Load() {
		return c.Conn.SetReadDeadline(past)
	}
	return err
}

// closeWriter is a connection of which the writing side can be closed alone.
type closeWriter interface {
	CloseWrite() error
}

// CloseWrite closes the writing side, so that the client can read the last answer before the connection is reset.
func (c *Conn) CloseWrite() error {
	if w, ok := c.Conn.(closeWriter); ok {
		return w.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.pool.mu.Lock()
	c.pool.remove(c)
	c.pool.release(c, c.held)
	c.pool.mu.Unlock()
	return c.Conn.Close()
}

// beginRequest accounts for a request whose head is complete. It returns false if there is no memory for it.
func (c *Conn) beginRequest(r *http.Request, now time.Time) bool {
	c.inHandler.Store(true)
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if c.phase == ended {
		return false
	}
	switch {
	case r.ContentLength == 0:
		c.pool.enter(c, serving, now)
	case c.phase != receiving:
		c.pool.enter(c, receiving, now)
	}
	c.pool.release(c, c.held) // what was counted while it arrived
	return c.reserveOrEnd(headCost(r), now)
}

// reserveOrEnd takes memory for the request, without which the connection is interrupted.
func (c *Conn) reserveOrEnd(bytes int64, now time.Time) bool {
	if c.pool.reserve(c, bytes, now) {
		return true
	}
	if c.phase != ended {
		c.pool.ends.Full++
		c.pool.interrupt(c, now)
	}
	return false
}

// headCopies is how often the bytes of a head are in memory while its request is served: as they arrived, and as they
// are sent on.
const headCopies = 2

// headCost returns the memory of a request's head.
func headCost(r *http.Request) int64 {
	cost := headCopies * (len(r.RequestURI) + len(r.Host))
	for name, values := range r.Header {
		for _, value := range values {
			cost += headCopies*(len(name)+len(value)) + fieldCost
		}
	}
	return int64(cost)
}

// endRequest accounts for the end of a request. Until the rest of its answer has been written the connection isn't idle.
func (c *Conn) endRequest(now time.Time) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.inHandler.Store(false)
	if c.rejected && c.phase != ended {
		c.pool.enter(c, ended, now) // net/http keeps the head while it waits for the client
		return
	}
	c.pool.release(c, c.held)
}

// reject notes that the connection ends after the answer.
func (c *Conn) reject() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.rejected = true
}

// becameIdle notes that the answer to a request has been written and that the client may send another one.
func (c *Conn) becameIdle() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.pool.release(c, c.held)
	if c.phase != ended {
		c.pool.enter(c, idle, time.Now())
	}
}

// reserve takes memory for the request's body. It returns false if there is none.
func (c *Conn) reserve(bytes int64) bool {
	if c == nil {
		return true
	}
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	return c.reserveOrEnd(bytes, time.Now())
}

// requestReceived notes that the request is complete. It returns false if the connection has been ended.
func (c *Conn) requestReceived() bool {
	if c == nil {
		return true
	}
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	if c.phase != ended {
		c.pool.enter(c, serving, time.Now())
	}
	return c.phase != ended
}

// Interrupted reports whether the connection was ended for others. c may be nil.
func (c *Conn) Interrupted() bool {
	return c != nil && c.interrupted.Load()
}

// firstPart is the memory that is taken for a body before any of it has arrived.
const firstPart = 4 << 10

// ReadBody reads a body into memory, which is taken as the body arrives. announced is its length, -1 if that is not
// known, limit the longest that it may have; 0: no limit. c may be nil: then the memory isn't accounted for.
func ReadBody(c *Conn, source io.Reader, announced, limit int64) ([]byte, error) {
	if limit > 0 && announced > limit {
		return nil, ErrTooLarge
	}
	var body []byte
	for {
		if len(body) == cap(body) {
			size := nextSize(int64(cap(body)), announced, limit)
			if !c.reserve(size - int64(cap(body))) {
				return nil, ErrNoMemory
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := source.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case limit > 0 && int64(len(body)) > limit:
			return nil, ErrTooLarge
		case err == io.EOF && int64(len(body)) < announced:
			return nil, io.ErrUnexpectedEOF
		case err == io.EOF, err == nil && int64(len(body)) == announced:
			return completeBody(c, body)
		case err != nil:
			return nil, err
		}
	}
}

// completeBody returns a body that has arrived whole, unless it was given up in the same moment.
func completeBody(c *Conn, body []byte) ([]byte, error) {
	if !c.requestReceived() {
		return nil, ErrNoMemory
	}
	return body, nil
}

// nextSize returns the size of the buffer that follows a full one.
func nextSize(size, announced, limit int64) int64 {
	next := max(firstPart, 2*size)
	if announced >= 0 {
		return min(next, announced)
	}
	if limit > 0 {
		return min(next, limit+1) // one byte more shows that the body is too long
	}
	return next
}
