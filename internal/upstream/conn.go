// Package upstream speaks HTTP/1.1 with backend servers over connections that it
// owns: one request at a time on each, and each answer matched to its request.
//
// The libraries' HTTP clients repeat requests on their own account and pool
// connections whose state they don't show; both can run a request twice or hand
// one caller another's answer. The framing of answers is the standard library's.
package upstream

import (
	"bufio"
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Socket limits.
const (
	// dialTimeout is far above a round trip between failure domains (some ms); a
	// lost opening packet is sent again after a second only, so that another
	// server is the better try.
	dialTimeout = 400 * time.Millisecond
	// unackedTimeout ends a connection whose peer acknowledges nothing: a VM
	// without power or behind a cut sends no reset. Three retransmissions fit.
	unackedTimeout = 1200 * time.Millisecond
	// probeIdle and probeEvery find the same on a connection that only waits.
	probeIdle  = 1 * time.Second
	probeEvery = 500 * time.Millisecond
	probeCount = 2
	// tcpUserTimeout is Linux's TCP_USER_TIMEOUT, which package syscall lacks.
	tcpUserTimeout = 18
	// readBuffer holds an answer's head and the first of its body.
	readBuffer = 4096
)

// Idle times of pooled connections.
const (
	// idleDefault is used for servers that don't tell how long they keep an idle
	// connection.
	idleDefault = 3 * time.Second
	// idleMargin keeps a connection from being used while its server closes it.
	idleMargin = 700 * time.Millisecond
)

// conn is one connection to a backend server.
type conn struct {
	net.Conn
	reader  *bufio.Reader
	expires time.Time
}

var dialer = net.Dialer{
	Timeout: dialTimeout,
	KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: probeIdle, Interval: probeEvery, Count: probeCount,
	},
	Control: func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds()))
		})
		if err != nil {
			return errors.Wrap(err, "socket")
		}
		return errors.Wrap(failed, "unacknowledged-data timeout")
	},
}

// quiet says whether nothing waits on the connection: no close, no byte. Bytes
// before a request belong to no request; sending on a closed connection would
// leave open whether the request ran.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, failed := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = failed == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}
