package control

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"chicorytiller.example/chicorytiller/internal/core"
	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/id"
	"chicorytiller.example/chicorytiller/internal/platform"
)

// secret stands for a caller's text that a panic may carry.
const secret = "text of a prompt"

type panickingPeers struct{}

func (panickingPeers) Call(context.Context, string, id.Router, any) (any, error) { panic(secret) }

// panicking is a loop whose peers, and whose core (there is none), panic.
func panicking() (*Loop, *bytes.Buffer) {
	out := &bytes.Buffer{}
	ports := Ports{Peers: panickingPeers{}, Events: event.New(out, "r", slog.LevelInfo, nil), Now: time.Now, KVTimeout: time.Second}
	return New(nil, ports, NewMetrics(prometheus.NewRegistry())), out
}

// A call to a peer or to the platform's service panics on its goroutine. Without an
// answer the core would wait for it for ever, and with it the request, its
// reservation and its caller. The core gets an error that promises nothing.
func TestPanicInACallIsAnswered(t *testing.T) {
	for _, action := range []core.Action{
		core.CallPeer{Call: 7},
		core.ReadKey{Call: 7},
		core.WriteKey{Call: 7},
		core.Commit{Call: 7},
		core.CommitClaims{Call: 7},
		core.RetireHolder{Call: 7},
	} {
		c := qt.New(t)
		l, out := panicking()
		l.work.Go(func() { l.doIO(action) })
		l.work.Wait()
		c.Assert(l.queue, qt.HasLen, 1, qt.Commentf("%T", action))
		reply := (<-l.queue).(core.Reply)
		c.Check(reply.Call, qt.Equals, core.CallID(7))
		c.Check(reply.Err, qt.ErrorIs, platform.ErrOutcomeUnknown)
		c.Check(testutil.ToFloat64(l.metrics.invariants), qt.Equals, 1.0)
		c.Check(strings.Contains(out.String(), `"event":900`), qt.IsTrue)
		c.Check(strings.Contains(out.String(), secret), qt.IsFalse)
	}
}

// A call without an answer panics: nothing but the report comes of it.
func TestPanicInACancelIsReported(t *testing.T) {
	c := qt.New(t)
	l, _ := panicking()
	l.work.Go(func() { l.doIO(core.CancelStream{}) })
	l.work.Wait()
	c.Assert(l.queue, qt.HasLen, 0)
	c.Assert(testutil.ToFloat64(l.metrics.invariants), qt.Equals, 1.0)
}

// The core itself panics. Its state can't be trusted, and a loop that ended in
// silence would leave callers waiting while the listeners still take them. The loop
// ends, all who wait are refused, and the router is told to end, as if it had died.
func TestPanicInTheCoreEndsTheRouter(t *testing.T) {
	c := qt.New(t)
	l, _ := panicking()
	ticket, answer := l.tickets.open()
	l.Run()
	select {
	case reason := <-l.Fenced():
		c.Assert(reason, qt.Not(qt.Equals), "")
	default:
		t.Fatal("nobody was told")
	}
	_, err := l.ask(context.Background(), core.PeerCall{Ticket: ticket}, answer)
	c.Assert(err, qt.IsNotNil)
	_, err = l.Admit(context.Background(), core.AdmitRequest{})
	c.Assert(err, qt.IsNotNil)
	c.Assert(l.Inspect(func(*core.Core) {}), qt.ErrorIs, ErrStopped)
	c.Assert(testutil.ToFloat64(l.metrics.invariants), qt.Equals, 1.0)
	l.Stop()
}
