package forward

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"

	"chicorytiller.example/chicorytiller/internal/balance"
	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/fleet"
	"chicorytiller.example/chicorytiller/internal/linkdelay"
	"chicorytiller.example/chicorytiller/internal/pacing"
	"chicorytiller.example/chicorytiller/internal/policy"
	"chicorytiller.example/chicorytiller/internal/quarantine"
	"chicorytiller.example/chicorytiller/internal/request"
	"chicorytiller.example/chicorytiller/internal/retry"
	"chicorytiller.example/chicorytiller/internal/upstream"
)

// answeredCaller counts the bytes of the answer, and the retries.
type answeredCaller struct {
	refusedCaller
	received, retries int
	aborted           bool
}

func (c *answeredCaller) Answer(_ int, _ http.Header, body []byte) error {
	c.received += len(body)
	return nil
}

func (c *answeredCaller) Write(part []byte) error {
	c.received += len(part)
	return nil
}

func (c *answeredCaller) Abort()         { c.aborted = true }
func (c *answeredCaller) Retried(string) { c.retries++ }

// answeringFleet is a forwarder with two servers, which share a handler.
type answeringFleet struct {
	forwarder *Forwarder
	servers   []*fleet.Server
	requests  atomic.Int64
	caller    answeredCaller
}

func newAnsweringFleet(c *qt.C, handle http.HandlerFunc) *answeringFleet {
	a := &answeringFleet{}
	for _, id := range []string{"a", "b"} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			a.requests.Add(1)
			w.Header().Set("X-Id", r.Header.Get("X-Id"))
			handle(w, r)
		}))
		c.Cleanup(server.Close)
		a.servers = append(a.servers, fleet.NewServer(fleet.Entry{ID: id, Address: server.Listener.Addr().String()}))
	}
	client := upstream.NewClient(upstream.Options{Codec: upstream.HeaderCodec{Names: upstream.HeaderNames{RequestID: "X-Id", ServerID: "X-Server",
		TimeLeft: "X-Left", LastEventID: "Last-Event-Id", Account: "X-Account", Priority: "X-Urgency", NotExecuted: "X-Not-Run", Load: "X-Load"}},
		Dials: prometheus.NewCounter(prometheus.CounterOpts{Name: "dials"}), Link: linkdelay.New(nil), Log: event.Discard()})
	a.forwarder = &Forwarder{
		Servers:      func(string) []*fleet.Server { return a.servers },
		Chooser:      balance.NewChooser("here", unpaced{}, nil),
		PriorityGate: &pacing.PriorityGate{Now: time.Now},
		Retries:      retry.NewBudget(retry.Limits{Window: time.Minute, Extra: 100}, 1, nil), Quarantine: quarantine.New(nil, nil),
		RateLimits: pacing.NewAnnouncedRates(pacing.RateLimits, event.Discard(), nil),
		Fragility:  pacing.NewAnnouncedRates(pacing.Fragility, event.Discard(), nil),
		Backend:    client, Log: event.Discard(), Metrics: &a.caller,
		LinkDelay:       func() time.Duration { return 0 },
		ServersOutdated: func() bool { return false },
	}
	return a
}

func (a *answeringFleet) run(c *qt.C) *task {
	r := &request.Request{ID: "r1", Method: http.MethodGet, Host: "h", RequestURI: "/", Arrived: time.Now(), PromptTokens: 100,
		Route: &policy.Route{Kind: policy.Idempotent, Timeout: 10 * time.Second, MaxAttempts: 2, LatencyGoal: time.Second}}
	t := newTask(a.forwarder, policy.New(policy.Definition{}), r, &a.caller)
	t.run(c.Context())
	return t
}

// Guards against blaming servers one after another for the router's own limit on the answers that it holds.
func TestFullBuffersBlameNoServer(t *testing.T) {
	c := qt.New(t)
	a := newAnsweringFleet(c, func(w http.ResponseWriter, _ *http.Request) {
		for range 1 << 20 / 1024 {
			if _, err := io.WriteString(w, strings.Repeat("x", 1024)); err != nil {
				return
			}
		}
	})
	a.forwarder.unstated.held.Store(maxUnstatedBytes)
	a.run(c)
	c.Assert(a.caller.refusal.Cause, qt.Equals, BackendFailed)
	c.Assert(a.requests.Load(), qt.Equals, int64(1))
	c.Assert(a.caller.retries, qt.Equals, 0)
	for _, server := range a.servers {
		c.Assert(server.Status(time.Now()).Failures, qt.Equals, 0)
	}
	c.Assert(a.forwarder.HeldBytes(), qt.Equals, int64(maxUnstatedBytes))

	a.forwarder.unstated.held.Store(0)
	a.run(c)
	c.Assert(a.caller.received, qt.Equals, 1<<20)
	c.Assert(a.forwarder.HeldBytes(), qt.Equals, int64(0))
}

// Guards against counting less than the memory that a growing buffer takes.
func TestHeldBytesCountCapacity(t *testing.T) {
	c := qt.New(t)
	for _, length := range []int{1, 100 << 10, 3 << 20} {
		u := &unstatedBytes{}
		body, err := u.readRest(strings.NewReader(strings.Repeat("x", length)), make([]byte, maxBufferedAnswer, maxBufferedAnswer+1000))
		c.Assert(err, qt.IsNil)
		c.Assert(body, qt.HasLen, maxBufferedAnswer+length)
		c.Assert(u.held.Load(), qt.Equals, int64(cap(body)-maxBufferedAnswer), qt.Commentf(fmt.Sprint(length)))
		u.release(body)
		c.Assert(u.held.Load(), qt.Equals, int64(0))
	}
}

// Guards against spending a retry on, and blaming a server for, a pause in an answer that is being relayed.
func TestPauseInRelayedAnswerIsNoStall(t *testing.T) {
	c := qt.New(t)
	const length = 2 * maxBufferedAnswer
	a := newAnsweringFleet(c, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(length))
		if _, err := io.WriteString(w, strings.Repeat("x", length-1)); err != nil {
			return
		}
		w.(http.Flusher).Flush()
		time.Sleep(minGapTimeout + 300*time.Millisecond)
		_, _ = io.WriteString(w, "x") // the test sees what was received
	})
	a.run(c)
	c.Assert(a.caller.received, qt.Equals, length)
	c.Assert(a.caller.aborted, qt.IsFalse)
	c.Assert(a.caller.retries, qt.Equals, 0)
	for _, server := range a.servers {
		c.Assert(server.Status(time.Now()).Failures, qt.Equals, 0)
	}
}

// Guards against charging an error answer that is too long to be buffered.
func TestLongErrorAnswerIsNotCharged(t *testing.T) {
	c := qt.New(t)
	for status, charged := range map[int]bool{http.StatusOK: true, http.StatusNotFound: false} {
		a := newAnsweringFleet(c, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", strconv.Itoa(2*maxBufferedAnswer))
			w.WriteHeader(status)
			_, _ = io.WriteString(w, strings.Repeat("x", 2*maxBufferedAnswer)) // the test sees what was received
		})
		c.Assert(a.run(c).used() > 0, qt.Equals, charged, qt.Commentf("status %d", status))
		c.Assert(a.caller.received, qt.Equals, 2*maxBufferedAnswer)
	}
}
