// Package upstream is an HTTP/1.1 client for backend servers. It manages its own connections,
// sends one request at a time on each, and matches each response to its request.
//
// General HTTP clients repeat requests by themselves and don't expose the state of their pooled
// connections. Both can make a request run twice or give one caller the response of another. The
// parsing of responses is left to net/http.
package upstream

import (
	"bufio"
	"bytes"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// readBufferSize fits a response head and the start of the body.
const readBufferSize = 4096

// maxHeadBytes bounds the head of a response, with the informational ones before it. A faulty server
// may send bytes without end where a head is due.
const maxHeadBytes = 64 << 10

// errHeadTooLong: a response's head exceeds maxHeadBytes.
var errHeadTooLong = errors.New("upstream: response head too long")

// headLimiter reads from a connection, and fails while a head is read if that is too long.
type headLimiter struct {
	source net.Conn
	// remaining is how many bytes may be read for the present head; negative: no limit.
	remaining int
	// record receives the bytes that are read; nil: no recording.
	record *bytes.Buffer
}

const noHeadLimit = -1

// Read implements io.Reader.
func (l *headLimiter) Read(p []byte) (int, error) {
	if l.remaining == 0 {
		return 0, errHeadTooLong
	}
	if l.remaining > 0 {
		p = p[:min(len(p), l.remaining)]
	}
	n, err := l.source.Read(p)
	if l.remaining > 0 {
		l.remaining -= n
	}
	if l.record != nil {
		l.record.Write(p[:n])
	}
	return n, err
}

// Idle times of pooled connections.
const (
	// defaultIdleTimeout is used for servers that don't report how long they keep an idle
	// connection open.
	defaultIdleTimeout = 3 * time.Second
	// idleMargin is subtracted from the idle time that a server reports, so that a connection is
	// not used while the server closes it.
	idleMargin = 700 * time.Millisecond
)

// conn is one connection to a backend server.
type conn struct {
	net.Conn
	reader    *bufio.Reader // of limiter
	limiter   *headLimiter
	expiresAt time.Time
	// via is the router that carries the connection; empty if it is direct.
	via string
}

// isQuiet reports whether the connection is open and has no unread bytes. Bytes that arrive before
// a request is sent can't be its response. If a request were sent on a closed connection, it would
// be unknown whether it ran.
func (c *conn) isQuiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}
