package tunnel

import (
	"bufio"
	"context"
	"encoding/binary"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/tcpconn"
)

const (
	// targetTimeout bounds the wait for the line that names the target.
	targetTimeout = time.Second
	// lingerTime is how long a tunnel waits, after the server closed its connection, for the other
	// router to have read everything and to close its own.
	lingerTime = 2 * time.Second
	// maxTunnels bounds the tunnels that a router carries: each takes two descriptors and some
	// twenty kilobytes.
	maxTunnels = 256
)

// DialServer opens a direct connection to a server. Its errors are ErrUnreachable and ErrUnknown.
type DialServer func(ctx context.Context, target Target) (net.Conn, error)

// Carrier serves the tunnels that other routers ask for.
type Carrier struct {
	dial    DialServer
	active  atomic.Int64
	stopped atomic.Bool
}

// NewCarrier returns a carrier that connects to servers by dial.
func NewCarrier(dial DialServer) *Carrier {
	return &Carrier{dial: dial}
}

// Stop makes the carrier refuse further tunnels. Those that are open stay.
func (c *Carrier) Stop() {
	c.stopped.Store(true)
}

// Active returns the number of open tunnels.
func (c *Carrier) Active() int64 {
	return c.active.Load()
}

// ServeConn serves one tunnel until it ends. r holds what was read from the connection before.
func (c *Carrier) ServeConn(conn net.Conn, r *bufio.Reader) {
	defer func() { _ = conn.Close() }() // the tunnel has ended
	c.active.Add(1)
	defer c.active.Add(-1)
	if err := conn.SetReadDeadline(time.Now().Add(targetTimeout)); err != nil {
		return // the connection is closed already
	}
	target, err := readTarget(r)
	if err != nil {
		return // no router asks so
	}
	server, err := c.open(target)
	if _, writeErr := conn.Write([]byte{byte(statusOf(err))}); writeErr != nil || err != nil {
		if server != nil {
			_ = server.Close() // nothing was sent on it
		}
		return
	}
	splice(conn, r, server)
}

// open connects to the target.
func (c *Carrier) open(target Target) (net.Conn, error) {
	if c.stopped.Load() || c.active.Load() > maxTunnels {
		return nil, ErrBusy
	}
	ctx, cancel := context.WithTimeout(context.Background(), carrierDialTimeout)
	defer cancel()
	return c.dial(ctx, target)
}

// splice passes bytes on in both directions until the tunnel ends.
func splice(conn net.Conn, r *bufio.Reader, server net.Conn) {
	if tcp := tcpConn(conn); tcp != nil {
		_ = tcpconn.SetOptions(tcp) // without them, a router that lost power is noticed later
	}
	_ = conn.SetReadDeadline(time.Time{}) // fails only if the connection is closed, as the next read will
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		sendFrames(conn, server)
		_ = conn.SetReadDeadline(time.Now().Add(lingerTime)) // as above
	}()
	passRequest(server, r)
	_ = server.Close() // makes it drop a request that the other router has given up
	<-answered
}

// tcpConn returns the TCP connection of a connection, nil if it has none.
func tcpConn(conn net.Conn) *net.TCPConn {
	if wrapped, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = wrapped.NetConn()
	}
	tcp, _ := conn.(*net.TCPConn)
	return tcp
}

// passRequest passes on what the other router sends, until it closes its connection. What the server
// doesn't take is read all the same: an unread rest would reset the connection, and the other router
// would lose the end of the server's answer.
func passRequest(server net.Conn, r *bufio.Reader) {
	buf := make([]byte, maxFrame)
	refused := false
	for {
		n, err := r.Read(buf)
		if n > 0 && !refused {
			_, writeErr := server.Write(buf[:n])
			refused = writeErr != nil
		}
		if err != nil {
			return
		}
	}
}

// sendFrames sends the server's bytes to the other router, and how they ended.
func sendFrames(conn, server net.Conn) {
	buf := make([]byte, frameHeaderSize+maxFrame)
	for {
		n, err := server.Read(buf[frameHeaderSize:])
		if n > 0 && !sendFrame(conn, buf, n) {
			return
		}
		if err == nil {
			continue
		}
		end := frameReset
		if errors.Is(err, io.EOF) {
			end = frameEnd
		}
		sendEnd(conn, buf, end)
		return
	}
}

func sendFrame(conn net.Conn, buf []byte, length int) bool {
	binary.BigEndian.PutUint16(buf, uint16(length))
	_, err := conn.Write(buf[:frameHeaderSize+length])
	return err == nil
}

func sendEnd(conn net.Conn, buf []byte, end int) {
	binary.BigEndian.PutUint16(buf, uint16(end))
	if _, err := conn.Write(buf[:frameHeaderSize]); err != nil {
		return // the other router is gone
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite() // as above
	}
}
