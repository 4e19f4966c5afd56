package enginestub

import (
	"net"
	"time"
)

const (
	// slowPieceBytes is more than the header of a usual request, so that only its body is slow.
	slowPieceBytes = 1 << 10
	slowPieceDelay = 100 * time.Millisecond
	// slowBufferBytes bounds what the kernel accepts for a slow connection, so that the peer
	// notices that its data is not read.
	slowBufferBytes = 4 << 10
)

// slowConn is a server's connection on which requests are read in pieces, with a delay before each
// piece except the first of a request. It is used by one goroutine, as HTTP/1 servers do.
type slowConn struct {
	net.Conn
	sleep   func(time.Duration)
	midBody bool // a piece was read since the last response
}

func newSlowConn(conn net.Conn) *slowConn {
	return &slowConn{Conn: conn, sleep: time.Sleep}
}

// limitReadBuffer limits the kernel's read buffer to slowBufferBytes.
func limitReadBuffer(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(slowBufferBytes) // if it fails, the requests are still read slowly
	}
}

// Read implements net.Conn.
func (c *slowConn) Read(p []byte) (int, error) {
	if c.midBody {
		c.sleep(slowPieceDelay)
	}
	c.midBody = true
	return c.Conn.Read(p[:min(len(p), slowPieceBytes)])
}

// Write implements net.Conn. A response ends the request.
func (c *slowConn) Write(p []byte) (int, error) {
	c.midBody = false
	return c.Conn.Write(p)
}
