// Package tcpconn opens the connections on which requests travel. A peer that lost power or its network sends no reset,
// and must be noticed all the same; one that resets a connection must not seem to have closed it in order.
package tcpconn

import (
	"net"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// unackedDataTimeout closes a connection whose peer acknowledges no data. It leaves time for
	// three retransmissions.
	unackedDataTimeout = 1200 * time.Millisecond
	// userTimeout is Linux's TCP_USER_TIMEOUT, which package syscall lacks.
	userTimeout = 18
)

// keepAlive detects such a peer while no data is unacknowledged.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 2}

// dialer opens connections with these options.
var dialer = net.Dialer{
	KeepAliveConfig: keepAlive,
	Control:         func(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw, unackedDataTimeout) },
}

// SetOptions sets the options of a connection that was accepted.
func SetOptions(conn *net.TCPConn) error {
	if err := conn.SetKeepAliveConfig(keepAlive); err != nil {
		return errors.Wrap(err, "set keep-alive")
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "socket")
	}
	return setUserTimeout(raw, unackedDataTimeout)
}

func setUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var sockErr error
	err := raw.Control(func(fd uintptr) {
		sockErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, userTimeout, int(timeout.Milliseconds()))
	})
	if err != nil {
		return errors.Wrap(err, "socket")
	}
	return errors.Wrap(sockErr, "set TCP_USER_TIMEOUT")
}
