package node

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytiller.example/chicorytiller/internal/escrow"
	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/forward"
	"chicorytiller.example/chicorytiller/internal/request"
)

// refusalRecorder is a caller that records a refusal and fails the test on any other response.
type refusalRecorder struct {
	*qt.C
	cause forward.Cause
}

func (r *refusalRecorder) Refuse(refusal forward.Refusal)        { r.cause = refusal.Cause }
func (r *refusalRecorder) Answer(int, http.Header, []byte) error { r.Fatal("answered"); return nil }
func (r *refusalRecorder) Begin(int, http.Header, int64)         { r.Fatal("begun") }
func (r *refusalRecorder) Write([]byte) error                    { r.Fatal("written"); return nil }
func (r *refusalRecorder) Abort()                                { r.Fatal("aborted") }

// Guards against requests that are accepted while a stopping router returns its grants, and then
// cut off.
func TestRefusingRouterAcceptsNoRequest(t *testing.T) {
	n := New(&Settings{VM: "vm-0", GracePeriod: 8 * time.Second}, Environment{Clock: func() escrow.ClockReading { return escrow.ClockReading{} }}, event.Discard(), "p1")
	n.stopping.Store(true)
	n.stopStartedAt.Store(time.Now().UnixMilli()) // within acceptAllTime
	n.refusing.Store(true)
	caller := &refusalRecorder{C: qt.New(t)}
	n.serve(context.Background(), &request.Request{ID: "r1"}, caller)
	qt.Assert(t, caller.cause, qt.Equals, forward.RouterStopping)
}

// Guards against grants that are returned before the last request has ended.
func TestStopWaitsForLastRequest(t *testing.T) {
	n := New(&Settings{VM: "vm-0"}, Environment{Clock: func() escrow.ClockReading { return escrow.ClockReading{} }}, event.Discard(), "p1")
	n.inFlight.Store(1)
	var ended atomic.Bool
	waited := make(chan bool)
	go func() {
		n.refuseNewRequests(time.Now().Add(time.Hour))
		waited <- ended.Load()
	}()
	for !n.refusing.Load() {
		time.Sleep(time.Millisecond)
	}
	ended.Store(true)
	n.inFlight.Store(0)
	qt.Assert(t, <-waited, qt.IsTrue)
}

// A listener that is closed while a response is being written completes it.
func TestListenerCloseCompletesResponse(t *testing.T) {
	address := "127.0.0.1:0"
	ln, err := listenOn(&address)
	qt.Assert(t, err, qt.IsNil)
	begun, closing := make(chan struct{}), make(chan struct{})
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "first half, ") // the test checks what the caller reads
		close(begun)
		<-closing
		_, _ = io.WriteString(w, "second half") // as above
	})}
	server.RegisterOnShutdown(func() { close(closing) })
	l := &listener{ln: ln, server: server, log: event.Discard()}
	go l.serve()
	answered := make(chan string)
	go func() {
		response, err := http.Get("http://" + address)
		if err != nil {
			answered <- err.Error()
			return
		}
		defer func() { _ = response.Body.Close() }() // read to its end
		body, err := io.ReadAll(response.Body)
		answered <- string(body) + errorText(err)
	}()
	<-begun
	l.close(context.Background())
	qt.Assert(t, <-answered, qt.Equals, "first half, second half")
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
