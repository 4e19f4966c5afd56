package gateway

import (
	"net"
	"time"
)

// writeTimeoutListener gives each accepted connection a deadline for each write.
//
// A caller that stops reading would otherwise hold its stream, its reservation
// and a goroutine for as long as it likes. The HTTP library has only one deadline
// for a whole response, which would cut long streams that are read well.
type writeTimeoutListener struct {
	net.Listener
	timeout time.Duration
}

// Accept implements net.Listener.
func (l writeTimeoutListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err // unwrapped: the HTTP library looks for net.Error
	}
	return &writeTimeoutConn{Conn: conn, timeout: l.timeout}, nil
}

// writeTimeoutConn starts a new write deadline with each write.
type writeTimeoutConn struct {
	net.Conn
	timeout time.Duration
}

// Write implements net.Conn.
func (c *writeTimeoutConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}
