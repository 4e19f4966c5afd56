package node

import (
	"context"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytiller.example/chicorytiller/internal/escrow"
	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/forward"
	"chicorytiller.example/chicorytiller/internal/request"
)

// refused notes a refusal; any other answer fails the test.
type refused struct {
	*qt.C
	cause forward.Cause
}

func (r *refused) Refuse(refusal forward.Refusal)        { r.cause = refusal.Cause }
func (r *refused) Answer(int, http.Header, []byte) error { r.Fatal("answered"); return nil }
func (r *refused) Begin(int, http.Header, int64)         { r.Fatal("begun") }
func (r *refused) Write([]byte) error                    { r.Fatal("written"); return nil }
func (r *refused) Abort()                                { r.Fatal("aborted") }

// A caller with an old address comes while the router returns its grants, right before it
// ends. It is refused at once, as not run: taken, it would be cut off in its run.
func TestRouterThatLeavesTakesNothing(t *testing.T) {
	n := New(&Settings{VM: "vm-0", Grace: 8 * time.Second}, Dialect{Clock: func() escrow.Stamp { return escrow.Stamp{} }}, event.Discard(), "p1")
	n.stopping.Store(true)
	n.stoppedAt.Store(time.Now().UnixMilli()) // long requests are still taken
	n.leaving.Store(true)
	caller := &refused{C: qt.New(t)}
	n.serve(context.Background(), &request.Request{ID: "r1"}, caller)
	qt.Assert(t, caller.cause, qt.Equals, forward.Stopping)
}
