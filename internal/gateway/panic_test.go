package gateway

import (
	"bytes"
	"context"
	"log/slog"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"chicorytiller.example/chicorytiller/internal/backend"
	"chicorytiller.example/chicorytiller/internal/core"
	"chicorytiller.example/chicorytiller/internal/event"
)

// panicEngine's streams panic at their second chunk, once hold is closed.
type panicEngine struct {
	*fakeEngine
	hold chan struct{}
}

func (e panicEngine) Generate(context.Context, backend.Ref, backend.GenerateRequest) (backend.Stream, error) {
	return &panicStream{hold: e.hold}, nil
}

type panicStream struct {
	hold  chan struct{}
	calls int
}

func (s *panicStream) Next() (backend.Chunk, error) {
	s.calls++
	if s.calls == 1 {
		return word(0, "x").chunk, nil
	}
	<-s.hold
	panic("text of a prompt")
}

func (*panicStream) Buffered() bool { return false }
func (*panicStream) Close() error   { return nil }

// The program meets a fault in the midst of a streamed answer, where the HTTP library
// recovers in silence and takes the caller as gone: he would be billed for an answer
// that the router broke off, and no operator would learn of it. The caller sees a
// broken answer, nothing is billed, the fault is told, and the router lives on.
func TestPanicInAStream(t *testing.T) {
	c := qt.New(t)
	r := newRig(t)
	var told bytes.Buffer
	r.server.events = event.New(&told, "r", slog.LevelInfo, nil)
	engine := panicEngine{r.engine, make(chan struct{})}
	close(engine.hold)
	r.server.engine = engine
	got := r.chat(true)
	c.Assert(got.err, qt.IsNotNil)
	c.Assert(got.body, qt.Not(qt.Contains), doneMarker)
	c.Assert(r.do(http.MethodGet, pathModels, "").status, qt.Equals, http.StatusOK)
	r.shutdown()
	r.checkSettled(c)
	c.Assert(r.gate.abandoned, qt.DeepEquals, []core.Cause{core.CauseInternal})
	c.Assert(r.server.InFlight(), qt.Equals, 0)
	c.Assert(told.String(), qt.Contains, `"event":900`)
	c.Assert(told.String(), qt.Not(qt.Contains), "prompt")
}

// The same in a run that goes on without its caller: the pool of goroutines would keep
// the panic unseen, until it comes up again while the router stops.
func TestPanicInARunWithoutItsCaller(t *testing.T) {
	c := qt.New(t)
	r := newRig(t)
	var told bytes.Buffer
	r.server.events = event.New(&told, "r", slog.LevelInfo, nil)
	engine := panicEngine{r.engine, make(chan struct{})}
	r.server.engine = engine
	conn, reader := r.dial("Idempotency-Key: k\r\n")
	r.readUntil(reader, "x")
	c.Assert(conn.Close(), qt.IsNil)
	close(engine.hold)
	r.shutdown()
	r.checkSettled(c)
	c.Assert(r.gate.abandoned, qt.DeepEquals, []core.Cause{core.CauseInternal})
	c.Assert(r.server.InFlight(), qt.Equals, 0)
	c.Assert(told.String(), qt.Contains, `"event":900`)
	c.Assert(told.String(), qt.Not(qt.Contains), "prompt")
}
