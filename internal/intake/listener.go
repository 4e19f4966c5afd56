package intake

import (
	"io"
	"net"
	"sync/atomic"
)

// Listener counts the bytes that are read from the connections it accepts.
type Listener struct {
	*net.TCPListener
	received atomic.Int64
}

// Received returns the number of bytes read from all connections so far.
func (l *Listener) Received() int64 {
	return l.received.Load()
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &countedConn{TCPConn: conn, received: &l.received}, nil
}

// countedConn counts what is read from a connection. It keeps the other methods of a TCP connection, such as
// CloseWrite, without which net/http closes connections in another way.
type countedConn struct {
	*net.TCPConn
	received *atomic.Int64
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.received.Add(int64(n))
	return n, err
}

// WriteTo implements io.WriterTo. That of net.TCPConn would read past the count.
func (c *countedConn) WriteTo(w io.Writer) (int64, error) {
	return io.Copy(w, struct{ io.Reader }{c})
}
