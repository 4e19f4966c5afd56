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

	"github.com/pkg/errors"
)

// Socket settings.
const (
	// dialTimeout is far above a round trip between failure domains (some ms). It is below the
	// second after which a lost SYN is sent again: trying another server is faster.
	dialTimeout = 400 * time.Millisecond
	// maxDialTimeout is the dial timeout while this VM's link is full.
	maxDialTimeout = time.Second
	// unackedDataTimeout closes a connection whose peer acknowledges no data: a VM that lost
	// power or its network sends no reset. It leaves time for three retransmissions.
	unackedDataTimeout = 1200 * time.Millisecond
	// TCP keep-alive probes detect such a peer while no data is unacknowledged.
	tcpKeepAliveIdle     = 1 * time.Second
	tcpKeepAliveInterval = 500 * time.Millisecond
	tcpKeepAliveCount    = 2
	// tcpUserTimeout is Linux's TCP_USER_TIMEOUT, which package syscall lacks.
	tcpUserTimeout = 18
	// readBufferSize fits a response head and the start of the body.
	readBufferSize = 4096
)

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
}

var dialer = net.Dialer{
	KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: tcpKeepAliveIdle, Interval: tcpKeepAliveInterval, Count: tcpKeepAliveCount,
	},
	Control: func(_, _ string, raw syscall.RawConn) error {
		var sockErr error
		err := raw.Control(func(fd uintptr) {
			sockErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedDataTimeout.Milliseconds()))
		})
		if err != nil {
			return errors.Wrap(err, "socket")
		}
		return errors.Wrap(sockErr, "set TCP_USER_TIMEOUT")
	},
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
