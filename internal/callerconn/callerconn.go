// Package callerconn ends connections of callers that don't read what is sent to them.
package callerconn

import (
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// ErrStalled is returned by a write to a caller that has taken no byte for the stall timeout while bytes
// were waiting for it.
var ErrStalled = errors.New("callerconn: caller reads nothing")

// StallTimeout is how long a caller may take no byte while bytes wait for it. Backend servers cut off
// responses that nobody reads for some seconds.
const StallTimeout = 5 * time.Second

// sendBufferBytes bounds what the kernel buffers for a caller, which it would otherwise raise to
// megabytes. It covers a round trip of 50 ms at 40 Mbit/s.
const sendBufferBytes = 256 << 10

// checksPerTimeout is how often a connection is observed within the stall timeout.
const checksPerTimeout = 10

// Listener accepts connections of callers. Its fields must not change while it is in use.
type Listener struct {
	net.Listener
	// Timeout is the stall timeout; zero means StallTimeout.
	Timeout time.Duration

	stalled atomic.Int64
	waiting atomic.Int64
}

// Stalled returns how many connections were ended because their callers stalled.
func (l *Listener) Stalled() int64 {
	return l.stalled.Load()
}

// WaitingBytes returns the bytes of writes under way that the kernel has not taken, as known at the end of
// each interval of a blocked write.
func (l *Listener) WaitingBytes() int64 {
	return l.waiting.Load()
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, isTCP := accepted.(tcpConn)
	if !isTCP {
		return accepted, nil
	}
	// The error of a connection that has just failed comes with the first read as well.
	_ = tcp.SetWriteBuffer(sendBufferBytes)
	timeout := l.Timeout
	if timeout == 0 {
		timeout = StallTimeout
	}
	return &conn{tcpConn: tcp, listener: l, progress: progress{timeout: timeout}}, nil
}

// tcpConn is a TCP connection, which another listener may have wrapped. It lacks ReadFrom, whose bytes would
// not be observed.
type tcpConn interface {
	net.Conn
	syscall.Conn
	CloseWrite() error
	SetLinger(seconds int) error
	SetWriteBuffer(bytes int) error
}

// conn is a connection of a caller. One goroutine at a time writes to it.
type conn struct {
	tcpConn
	listener *Listener
	progress progress
	written  int64
}

// Write implements net.Conn. It returns ErrStalled if the caller has stalled.
func (c *conn) Write(p []byte) (int, error) {
	sent := 0
	c.listener.waiting.Add(int64(len(p)))
	defer func() { c.listener.waiting.Add(int64(sent - len(p))) }()
	for {
		now := time.Now()
		if c.progress.due(now) && c.progress.observe(now, c.written, c.unacknowledged()) {
			c.listener.stalled.Add(1)
			_ = c.SetLinger(0) // else the kernel keeps the bytes for minutes after Close
			return sent, ErrStalled
		}
		if err := c.SetWriteDeadline(now.Add(c.progress.interval())); err != nil {
			return sent, err
		}
		n, err := c.tcpConn.Write(p[sent:])
		sent += n
		c.written += int64(n)
		c.listener.waiting.Add(int64(-n))
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return sent, err
		}
	}
}

// unacknowledged returns how many bytes the kernel holds that the caller's kernel has not taken; 0 if
// that can't be found out.
func (c *conn) unacknowledged() int64 {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	held := 0
	err = raw.Control(func(fd uintptr) { held, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) }) // 0 with an error
	if err != nil {
		return 0
	}
	return int64(held)
}

var _ syscall.Conn = (*conn)(nil)

// progress decides whether a caller has stalled, from the bytes written to it so far and those of them
// that its side has not taken yet.
type progress struct {
	timeout time.Duration
	taken   int64
	// at is when the caller was last seen to have taken bytes, or to have none waiting, or when the
	// measurement was restarted.
	at time.Time
	// observedAt is the time of the last observation.
	observedAt time.Time
	// restarted is set if the measurement was restarted since at was last set for another reason.
	restarted bool
}

// interval returns the time between two observations.
func (p *progress) interval() time.Duration {
	return p.timeout / checksPerTimeout
}

// due reports whether the connection has to be observed: each observation is a system call.
func (p *progress) due(now time.Time) bool {
	return now.Sub(p.at) >= p.interval()
}

// observe records the state of a connection and reports whether its caller has stalled. Bytes wait in the
// kernel's buffers of both sides, so the acknowledged ones count, not the completed writes: a write
// completes only when a third of the buffer is free.
func (p *progress) observe(now time.Time, written, unacknowledged int64) bool {
	unobserved := now.Sub(p.observedAt) > 2*p.interval()
	p.observedAt = now
	switch taken := written - unacknowledged; {
	case unacknowledged == 0 || taken > p.taken:
		p.taken, p.at, p.restarted = taken, now, false
	case unobserved && !p.restarted:
		// This process or its VM may have been frozen, and acknowledgments be on their way. Or nothing was
		// written for a while: a stream with rare events must not restart the measurement with each.
		p.at, p.restarted = now, true
	}
	return now.Sub(p.at) >= p.timeout
}
