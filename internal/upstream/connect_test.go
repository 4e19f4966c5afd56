package upstream

import (
	"context"
	"net"
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

// redirectingCarriers connect to another server in place of the one asked for.
type redirectingCarriers struct {
	to *fleet.Server
}

func (r *redirectingCarriers) Open(ctx context.Context, _ *fleet.Server) (net.Conn, string, error) {
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", r.to.Address)
	return conn, "vm-2", err
}
