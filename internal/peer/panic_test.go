package peer

import (
	"context"
	"net"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/sourcegraph/conc"

	"chicorytiller.example/chicorytiller/internal/core"
	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/id"
	"chicorytiller.example/chicorytiller/internal/link"
)

// panicking is a handler that panics on the first call and answers the next ones.
type panicking struct {
	reported []any
	calls    int
}

func (p *panicking) PeerCall(context.Context, id.Router, id.Router, any) (any, error) {
	p.calls++
	if p.calls == 1 {
		panic("text of a prompt")
	}
	return core.SilentReply{Silent: true}, nil
}

func (p *panicking) ReportPanic(_ string, cause any) { p.reported = append(p.reported, cause) }

// A peer's message meets a fault of the program. net/rpc runs receivers on
// goroutines of its own, so that the panic would end the process, and the same
// message, sent to the next router, the next process. The peer gets an error with a
// code and nothing of the panic's text; the router reports it and goes on.
func TestPanicInAReceiverIsAnswered(t *testing.T) {
	c := qt.New(t)
	keys, err := link.NewKeyring([]byte("0123456789abcdef0123456789abcdef"))
	c.Assert(err, qt.IsNil)
	cfg := link.Config{Keys: keys, Clock: event.Discard(), Self: func() id.Router { return id.Router{VM: "a", Incarnation: 1} }}
	server := link.NewServer(cfg)
	handler := &panicking{}
	c.Assert(Register(server, handler), qt.IsNil)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	var serving conc.WaitGroup
	serving.Go(func() { _ = server.Serve(listener) })
	pool := link.NewPool(cfg)
	caller := NewCaller(pool)

	_, err = caller.Call(context.Background(), listener.Addr().String(), id.Router{}, core.SilentMsg{})
	c.Check(link.CodeOf(err), qt.Equals, CodePanicked)
	c.Check(strings.Contains(err.Error(), "prompt"), qt.IsFalse)
	reply, err := caller.Call(context.Background(), listener.Addr().String(), id.Router{}, core.SilentMsg{})
	c.Check(err, qt.IsNil)
	c.Check(reply, qt.Equals, core.SilentReply{Silent: true})

	c.Assert(pool.Close(), qt.IsNil)
	c.Assert(server.Close(), qt.IsNil)
	serving.Wait()
	c.Assert(handler.reported, qt.HasLen, 1)
}
