package tcpconn

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Conn is a TCP connection whose Read returns io.EOF only if the peer closed it in order.
//
// The kernel reports the failure of a connection, such as a reset, once: to Read or to Write, whichever comes first. If
// Write got it, the socket's reads end as after an orderly close.
type Conn struct {
	net.Conn // not a *net.TCPConn, whose ReadFrom and WriteTo would bypass Write and Read
	window   windowWatch

	writing sync.Mutex // held by Write
	failure error      // what Write learned of the connection's failure; guarded by writing
}

// Dial opens a connection with the package's options. It has no timeout of its own.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	socket, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		_ = conn.Close() // nothing was sent on it
		return nil, errors.Wrap(err, "socket")
	}
	return &Conn{Conn: conn, window: windowWatch{socket: socket, timeout: unackedDataTimeout}}, nil
}

// Write implements io.Writer.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	c.window.beginWrite(len(p))
	defer c.window.endWrite()
	n, err := c.Conn.Write(p)
	if c.failure == nil && isFailure(err) {
		c.failure = err
	}
	return n, err
}

// isFailure reports whether an error of a write is the report of the connection's failure. EPIPE is none: a reset that
// follows an orderly close is reported so, and so are writes after a report.
func isFailure(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && errno != syscall.EPIPE
}

// Read implements io.Reader. At the end of the stream it ends a Write that is under way.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		if failure := c.endWrites(); failure != nil {
			err = failure
		}
	}
	return n, err
}

// endWrites makes the present Write and later ones fail, and returns what they learned of the connection's failure.
func (c *Conn) endWrites() error {
	_ = c.SetWriteDeadline(time.Unix(1, 0)) // fails only if the connection is closed, which ends writes as well
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.failure
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	return c.window.socket, nil
}
