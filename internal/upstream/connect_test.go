package upstream

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytiller.example/chicorytiller/internal/fleet"
)

// listeningServer returns a server that accepts connections.
func listeningServer(t *testing.T) *fleet.Server {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = listener.Close() }) // a failed close does not matter here
	return fleet.NewServer(fleet.Entry{ID: "a", Address: listener.Addr().String()})
}

// Guards against a router that stays without a way to a server because all carriers failed once.
func TestCarriersAreAskedAgainWhilePathIsCut(t *testing.T) {
	server := listeningServer(t)
	carriers := &switchedCarriers{}
	c := newTestClient(codec, carriers)
	c.pathLost(server, context.DeadlineExceeded)
	_, err := c.connect(context.Background(), server)
	qt.Assert(t, err, qt.IsNotNil)
	carriers.on.Store(true)
	connection, err := c.connect(context.Background(), server)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, connection.via, qt.Equals, "vm-2")
	_ = connection.Close() // only the way matters
}

// Guards against a server that nobody uses because one caller left while a way to it was sought.
func TestCallerThatLeavesMakesNoServerUnreachable(t *testing.T) {
	server := fleet.NewServer(fleet.Entry{ID: "a", Address: "127.0.0.1:1"}) // refuses connections
	c := newTestClient(codec, &switchedCarriers{})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := c.connect(ctx, server)
	qt.Assert(t, err, qt.IsNotNil)
	_, unreachable := c.paths.lookup(server.Incarnation)
	qt.Assert(t, unreachable, qt.IsFalse)

	_, err = c.connect(context.Background(), server)
	qt.Assert(t, err, qt.IsNotNil)
	_, unreachable = c.paths.lookup(server.Incarnation)
	qt.Assert(t, unreachable, qt.IsTrue)
}

// Guards against a server that stays unused after it answers again.
func TestUnreachableServerIsUsedWhenItAnswers(t *testing.T) {
	server := listeningServer(t)
	c := newTestClient(codec, noCarriers{})
	c.paths.markUnreachable(server.Incarnation)
	_, err := c.connect(context.Background(), server)
	qt.Assert(t, err, qt.ErrorIs, errUnreachable)
	c.probes.Wait()
	connection, err := c.connect(context.Background(), server)
	qt.Assert(t, err, qt.IsNil)
	_ = connection.Close() // only the way matters
}

// Guards against a server that stays unused though another router reaches it.
func TestUnreachableServerIsUsedThroughCarrier(t *testing.T) {
	dead := fleet.NewServer(fleet.Entry{ID: "a", Address: "127.0.0.1:1"}) // refuses connections
	live := listeningServer(t)
	carriers := &redirectingCarriers{to: live}
	c := newTestClient(codec, carriers)
	c.paths.markUnreachable(dead.Incarnation)
	_, err := c.connect(context.Background(), dead)
	qt.Assert(t, err, qt.ErrorIs, errUnreachable)
	c.probes.Wait()
	connection, err := c.connect(context.Background(), dead)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, connection.via, qt.Equals, "vm-2")
	_ = connection.Close() // only the way matters
}

// hangingServer returns a server that leaves connections without an answer: its accept queue is full.
func hangingServer(t *testing.T) *fleet.Server {
	socket := func() int {
		fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC|syscall.SOCK_NONBLOCK, 0)
		qt.Assert(t, err, qt.IsNil)
		t.Cleanup(func() { _ = syscall.Close(fd) }) // the test has ended
		return fd
	}
	listening := socket()
	qt.Assert(t, syscall.Bind(listening, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), qt.IsNil)
	qt.Assert(t, syscall.Listen(listening, 0), qt.IsNil)
	address, err := syscall.Getsockname(listening)
	qt.Assert(t, err, qt.IsNil)
	for range 3 {
		_ = syscall.Connect(socket(), address) // in progress
	}
	return fleet.NewServer(fleet.Entry{ID: "a", Address: fmt.Sprint("127.0.0.1:", address.(*syscall.SockaddrInet4).Port)})
}

// Guards against a router that takes the timeouts of a path that it knows to be cut for the delay of its own
// link, and refuses requests for it.
func TestProbesOfCutPathShowNoFullLink(t *testing.T) {
	server := hangingServer(t)
	c := newTestClient(codec, &redirectingCarriers{to: listeningServer(t)})
	start := time.Now()
	c.paths.markCut(server.Incarnation)
	time.Sleep(probeInterval)
	connection, err := c.connect(context.Background(), server)
	qt.Assert(t, err, qt.IsNil)
	_ = connection.Close() // only the way matters
	started := time.Now()
	c.probes.Wait()
	qt.Assert(t, time.Since(started) > dialTimeout/2, qt.IsTrue, qt.Commentf("no probe was made"))
	qt.Assert(t, c.link.WasFull(start), qt.IsFalse)
	qt.Assert(t, c.link.Delay(), qt.Equals, time.Duration(0))
}

// Guards against a full link that is not seen since a server that nobody reached doesn't answer.
func TestProbesOfUnreachableServerShowFullLink(t *testing.T) {
	server := hangingServer(t)
	c := newTestClient(codec, noCarriers{})
	c.paths.markUnreachable(server.Incarnation)
	start := time.Now()
	_, err := c.connect(context.Background(), server)
	qt.Assert(t, err, qt.ErrorIs, errUnreachable)
	c.probes.Wait()
	qt.Assert(t, c.link.WasFull(start), qt.IsTrue)
}

// redirectingCarriers connect to another server in place of the one asked for.
type redirectingCarriers struct {
	to *fleet.Server
}

func (r *redirectingCarriers) Open(ctx context.Context, _ *fleet.Server) (net.Conn, string, error) {
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", r.to.Address)
	return conn, "vm-2", err
}
