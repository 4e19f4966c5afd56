// Package upstream is an HTTP/1.1 client for backend servers. It manages its own connections,
// sends one request at a time on each, and matches each response to its request.
//
// General HTTP clients repeat requests by themselves and don't expose the state of their pooled
// connections. Both can make a request run twice or give one caller the response of another. The
// parsing of responses is left to net/http.
package upstream

import (
	"bufio"
	"net"
	"syscall"
	"time"
)

// readBufferSize fits a response head and the start of the body.
const readBufferSize = 4096

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
	reader    *bufio.Reader
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
