package tcpconn

import (
	"io"
	"net"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// longWrite is more than the buffers of two sockets hold.
const longWrite = 32 << 20

// connect returns both ends of a connection.
func connect(c *qt.C) (*Conn, net.Conn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	conn, err := Dial(c.Context(), listener.Addr().String())
	c.Assert(err, qt.IsNil)
	peer, err := listener.Accept()
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() {
		_ = listener.Close() // as the following, nothing depends on it
		_ = conn.Close()
		_ = peer.Close()
	})
	return conn.(*Conn), peer
}

// Guards against the end of a connection that was given up for a timeout and seems to be closed in order.
func TestTimeoutThatWriteGotIsNoEnd(t *testing.T) {
	c := qt.New(t)
	conn, peer := connect(c)
	conn.window.active = true // nobody lengthens the timeout
	_, err := io.WriteString(peer, "part")
	c.Assert(err, qt.IsNil)
	_, err = conn.Write(make([]byte, longWrite))
	c.Assert(os.IsTimeout(err), qt.IsTrue)
	got, err := io.ReadAll(conn)
	c.Assert(os.IsTimeout(err), qt.IsTrue, qt.Commentf("%q, %v", got, err))
	c.Assert(string(got), qt.Equals, "part")
}

// Guards against a connection that is watched for ever, and against one that keeps the long timeout of a zero window.
func TestWindowIsWatchedUntilAllIsAcknowledged(t *testing.T) {
	c := qt.New(t)
	conn, peer := connect(c)
	inState := func(timeout time.Duration, active bool) bool {
		conn.window.mu.Lock()
		defer conn.window.mu.Unlock()
		return conn.window.timeout == timeout && conn.window.active == active
	}
	waitFor := func(condition func() bool) {
		for !condition() {
			time.Sleep(time.Millisecond)
		}
	}
	written := make(chan error, 1)
	go func() {
		_, err := conn.Write(make([]byte, longWrite))
		written <- err
	}()
	waitFor(func() bool { return inState(zeroWindowTimeout, true) })
	_, err := io.CopyN(io.Discard, peer, longWrite)
	c.Assert(err, qt.IsNil)
	c.Assert(<-written, qt.IsNil)
	waitFor(func() bool { return inState(unackedDataTimeout, false) })
	_, err = conn.Write(make([]byte, minWatchedBytes-1))
	c.Assert(err, qt.IsNil)
	c.Assert(inState(unackedDataTimeout, false), qt.IsTrue, qt.Commentf("a short write is watched"))
}

// Guards against a lost peer that is taken for one that does not read.
func TestTimeoutIsLongOnlyIfNothingIsUnderWay(t *testing.T) {
	for _, test := range []struct {
		unacknowledged, unsent int
		want                   time.Duration
	}{{0, 0, unackedDataTimeout}, {5, 0, unackedDataTimeout}, {5, 4, unackedDataTimeout}, {5, 5, zeroWindowTimeout}} {
		qt.Check(t, timeoutFor(test.unacknowledged, test.unsent), qt.Equals, test.want)
	}
}
