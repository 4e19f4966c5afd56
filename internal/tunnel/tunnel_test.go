package tunnel

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/fleet"
	"chicorytiller.example/chicorytiller/internal/linkdelay"
)

// testServer accepts one connection, which serve handles.
func testServer(t *testing.T, serve func(*net.TCPConn)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = listener.Close() }) // a failed close does not matter here
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return // the test has ended
			}
			go serve(conn.(*net.TCPConn))
		}
	}()
	return listener.Addr().String()
}

// testCarrier starts a carrier and returns its address.
func testCarrier(t *testing.T, dial DialServer) (*Carrier, string) {
	carrier := NewCarrier(dial)
	address := testServer(t, func(conn *net.TCPConn) { carrier.ServeConn(conn, bufio.NewReader(conn)) })
	return carrier, address
}

func dialTo(address string) DialServer {
	return func(ctx context.Context, _ Target) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	}
}

func refuseWith(err error) DialServer {
	return func(context.Context, Target) (net.Conn, error) { return nil, err }
}

// testClient returns a client that knows the carriers.
func testClient(carriers ...string) *Client {
	members := func() []fleet.Member {
		var members []fleet.Member
		for _, address := range carriers {
			members = append(members, fleet.Member{Name: "vm@" + address, PeerAddress: address, Domain: "here"})
		}
		return members
	}
	return NewClient("here", members, linkdelay.New(nil), nil)
}

var server = fleet.NewServer(fleet.Entry{ID: "s 1/ü", StartUnixMilli: 77, Domain: "here"})

// open opens a tunnel that must succeed.
func open(t *testing.T, c *Client) net.Conn {
	conn, _, err := c.Open(context.Background(), server)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = conn.Close() }) // a failed close does not matter here
	return conn
}

// answerLong reads a request and sends a long answer.
func answerLong(conn *net.TCPConn) {
	buf := make([]byte, len("request"))
	_, _ = io.ReadFull(conn, buf)                            // the test fails without an answer
	_, _ = io.WriteString(conn, strings.Repeat("x", 20_000)) // as above
}

// Guards against bytes that are lost or changed on the way, and a close that arrives as a failure.
func TestBytesAndEndPassUnchanged(t *testing.T) {
	address := testServer(t, func(conn *net.TCPConn) {
		answerLong(conn)
		_ = conn.Close() // ends the answer
	})
	var asked Target
	_, carrier := testCarrier(t, func(ctx context.Context, target Target) (net.Conn, error) {
		asked = target
		return dialTo(address)(ctx, target)
	})
	conn := open(t, testClient(carrier))
	_, err := io.WriteString(conn, "request")
	qt.Assert(t, err, qt.IsNil)
	answer, err := io.ReadAll(conn)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(answer), qt.Equals, strings.Repeat("x", 20_000))
	qt.Assert(t, asked, qt.Equals, Target{ID: server.ID, StartUnixMilli: 77})
}

// Guards against an answer that seems complete though the server's connection was reset.
func TestResetOfServerIsNoEnd(t *testing.T) {
	address := testServer(t, func(conn *net.TCPConn) {
		answerLong(conn)
		time.Sleep(50 * time.Millisecond) // a reset drops what was not read
		_ = conn.SetLinger(0)             // makes Close reset the connection
		_ = conn.Close()                  // sends the reset
	})
	_, carrier := testCarrier(t, dialTo(address))
	conn := open(t, testClient(carrier))
	_, _ = io.WriteString(conn, "request") // the test fails without an answer
	answer, err := io.ReadAll(conn)
	qt.Assert(t, err, qt.ErrorIs, ErrServerReset)
	qt.Assert(t, answer, qt.HasLen, 20_000)
}

// Guards against an answer that seems complete, or a server that is blamed, when the carrier dies.
func TestDeathOfCarrierIsNoEnd(t *testing.T) {
	carrier := testServer(t, func(conn *net.TCPConn) {
		_, _ = readTarget(bufio.NewReader(conn))                    // the test fails without a tunnel
		_, _ = conn.Write([]byte{byte(statusOpen), 0, 2, 'o', 'k'}) // as above
		_ = conn.Close()                                            // as the kernel does when the process is killed
	})
	conn := open(t, testClient(carrier))
	answer, err := io.ReadAll(conn)
	qt.Assert(t, err, qt.ErrorIs, ErrCarrierLost)
	qt.Assert(t, string(answer), qt.Equals, "ok")
}

// Guards against a server that works on for a caller that left.
func TestCloseReachesServer(t *testing.T) {
	closed := make(chan struct{})
	address := testServer(t, func(conn *net.TCPConn) {
		_, _ = io.Copy(io.Discard, conn) // ends when the connection does
		close(closed)
	})
	carrier, via := testCarrier(t, dialTo(address))
	conn := open(t, testClient(via))
	_, _ = io.WriteString(conn, "request") // it need not arrive
	qt.Assert(t, carrier.Active(), qt.Equals, int64(1))
	_ = conn.Close() // noticed by the server
	<-closed
	for carrier.Active() > 0 {
		time.Sleep(time.Millisecond)
	}
}

// Guards against a router that gives up because the first one it asks can't help.
func TestOtherCarriersAreAsked(t *testing.T) {
	address := testServer(t, answerLong)
	_, cut := testCarrier(t, refuseWith(ErrUnreachable))
	_, unaware := testCarrier(t, refuseWith(ErrUnknown))
	stopping, stopped := testCarrier(t, dialTo(address))
	stopping.Stop()
	silent := testServer(t, func(*net.TCPConn) {})
	_, good := testCarrier(t, dialTo(address))
	c := testClient(cut, unaware, stopped, silent, good)
	for range 10 {
		conn, via, err := c.Open(context.Background(), server)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, via, qt.Equals, "vm@"+good)
		_ = conn.Close() // only the choice matters
	}
}

// Guards against callers that wait while no router reaches the server.
func TestSearchForCarrierIsBounded(t *testing.T) {
	silent := testServer(t, func(*net.TCPConn) {})
	started := time.Now()
	_, _, err := testClient(silent, silent, silent, silent, silent).Open(context.Background(), server)
	qt.Assert(t, err, qt.ErrorIs, ErrNoCarrier)
	qt.Assert(t, time.Since(started) < 2*openTimeout, qt.IsTrue)

	_, _, err = testClient().Open(context.Background(), server)
	qt.Assert(t, err, qt.ErrorIs, ErrNoCarrier)
}

// Guards against traffic between failure domains that a nearer carrier would save.
func TestNearCarriersAreAskedFirst(t *testing.T) {
	members := func() []fleet.Member {
		return []fleet.Member{{Name: "far", PeerAddress: "f", Domain: "far"}, {Name: "near", PeerAddress: "n", Domain: "here"},
			{Name: "there", PeerAddress: "t", Domain: "there"}}
	}
	c := NewClient("here", members, linkdelay.New(nil), nil)
	last := func() string { return c.candidates("there")[2].Name }
	qt.Assert(t, last(), qt.Equals, "far")
	c.record("n", errors.New("does not answer"))
	qt.Assert(t, last(), qt.Equals, "near", qt.Commentf("one that failed comes last"))
	c.record("n", nil)
	qt.Assert(t, last(), qt.Equals, "far")
	qt.Assert(t, c.candidates("there")[0].Name, qt.Equals, "near", qt.Commentf("one that opened a tunnel comes first"))
	c.record("f", nil)
	qt.Assert(t, last(), qt.Equals, "there")
}

// Guards against a router of a large fleet that loses the few others which reach the servers.
func TestRouterThatOpenedTunnelIsAskedAgainInLargeFleet(t *testing.T) {
	var members []fleet.Member
	for i := range 10 * maxCandidates {
		members = append(members, fleet.Member{Name: fmt.Sprint(i), PeerAddress: fmt.Sprint(i), Domain: "here"})
	}
	c := NewClient("here", func() []fleet.Member { return slices.Clone(members) }, linkdelay.New(nil), nil)
	c.record("17", nil)
	for range 20 {
		candidates := c.candidates("here")
		qt.Assert(t, candidates, qt.HasLen, maxCandidates)
		qt.Assert(t, candidates[0].Name, qt.Equals, "17")
	}
}

// Guards against a server that ended and is asked for at every router by every other one.
func TestFewRoutersAreAskedForServerThatEnded(t *testing.T) {
	var asked atomic.Int64
	var carriers []string
	for range 3 * maxRefusals {
		_, address := testCarrier(t, func(context.Context, Target) (net.Conn, error) {
			asked.Add(1)
			return nil, ErrUnreachable
		})
		carriers = append(carriers, address)
	}
	_, _, err := testClient(carriers...).Open(context.Background(), server)
	qt.Assert(t, err, qt.ErrorIs, ErrNoCarrier)
	qt.Assert(t, asked.Load(), qt.Equals, int64(maxRefusals))
}

// Guards against a crash or a wait without end on bytes that no router sends.
func FuzzTarget(f *testing.F) {
	f.Add(Target{ID: "s 1", StartUnixMilli: -5}.encode())
	f.Add(Prefix)
	f.Add(Prefix + "x y\n")
	f.Fuzz(func(t *testing.T, line string) {
		target, err := readTarget(bufio.NewReader(strings.NewReader(line)))
		if err != nil {
			return
		}
		again, err := readTarget(bufio.NewReader(strings.NewReader(target.encode())))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, again, qt.Equals, target)
	})
}
