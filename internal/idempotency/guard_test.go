package idempotency

import (
	"context"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/forward"
	"chicorytiller.example/chicorytiller/internal/policy"
	"chicorytiller.example/chicorytiller/internal/request"
	"chicorytiller.example/chicorytiller/internal/store"
	"chicorytiller.example/chicorytiller/internal/store/memstore"
)

// runFunc stands for the run of a request behind the guard.
type runFunc func(caller forward.Caller)

func answerWith(body string) runFunc {
	return func(caller forward.Caller) { _ = caller.Answer(http.StatusOK, http.Header{}, []byte(body)) }
}

func abortMidway(caller forward.Caller) {
	caller.Begin(http.StatusOK, http.Header{}, -1)
	_ = caller.Write([]byte("half"))
	caller.Abort()
}

func refuseWith(cause forward.Cause) runFunc {
	return func(caller forward.Caller) { caller.Refuse(forward.Refusal{Cause: cause}) }
}

// fixture has the guards of two routers that share a store, and counts the requests that ran.
type fixture struct {
	*qt.C
	store  *memstore.Store
	guards [2]*Guard
	hash   string // RequestHash of the requests sent
	runs   int
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{C: qt.New(t), store: memstore.New(nil), hash: "h"}
	for i := range f.guards {
		f.guards[i] = &Guard{Store: f.store, Prefix: "claim/", Log: event.Discard()}
	}
	return f
}

// testCaller records what a caller received.
type testCaller struct {
	body    string
	cause   forward.Cause
	aborted bool
}

func (c *testCaller) Refuse(r forward.Refusal) { c.cause = r.Cause }
func (c *testCaller) Answer(_ int, _ http.Header, body []byte) error {
	c.body = string(body)
	return nil
}
func (c *testCaller) Begin(int, http.Header, int64) {}
func (c *testCaller) Write(part []byte) error       { c.body += string(part); return nil }
func (c *testCaller) Abort()                        { c.aborted = true }

// send sends a request with the idempotency key "k" to one of the routers.
func (f *fixture) send(router int, id string, kind policy.Kind, run runFunc) *testCaller {
	r := &request.Request{ID: id, Arrived: time.Now(), Idempotency: &request.Idempotency{Key: "k", RequestHash: f.hash},
		Account: &policy.Account{Name: "boatyard"}, Route: &policy.Route{Kind: kind}}
	caller := &testCaller{}
	serve := func(_ context.Context, _ *request.Request, caller forward.Caller) {
		f.runs++
		run(caller)
	}
	f.guards[router].Wrap(serve)(context.Background(), r, caller)
	return caller
}

// Guards against a repeat that runs during or after the first request.
func TestRepeatDoesNotRunAgain(t *testing.T) {
	f := newFixture(t)
	first := f.send(0, "r1", policy.NonIdempotent, func(caller forward.Caller) {
		concurrent := f.send(1, "r2", policy.NonIdempotent, answerWith("wrong"))
		f.Assert(concurrent.cause, qt.Equals, forward.KeyInUse)
		answerWith("right")(caller)
	})
	f.Assert(first.body, qt.Equals, "right")
	f.Assert(f.send(1, "r3", policy.NonIdempotent, answerWith("wrong")).body, qt.Equals, "right")
	f.Assert(f.runs, qt.Equals, 1)
}

// Guards against a request that is refused, or runs twice, because the store's response to its
// claim was lost.
func TestClaimWithLostResponseIsRetried(t *testing.T) {
	f := newFixture(t)
	commits := 0
	f.store.SetOutcome(func(store.Txn) memstore.Outcome {
		commits++
		if commits == 1 {
			return memstore.ResponseLost
		}
		return memstore.Answered
	})
	f.Assert(f.send(0, "r1", policy.NonIdempotent, answerWith("right")).body, qt.Equals, "right")
	f.Assert(f.send(1, "r2", policy.NonIdempotent, answerWith("wrong")).body, qt.Equals, "right")
	f.Assert(f.runs, qt.Equals, 1)
}

// Guards against a request that runs, or is refused as if it might have run, while the store is
// unreachable.
func TestRequestIsRefusedIfKeyCannotBeClaimed(t *testing.T) {
	f := newFixture(t)
	f.store.SetDown(true)
	refused := f.send(0, "r1", policy.NonIdempotent, answerWith("wrong"))
	f.Assert(refused.cause, qt.Equals, forward.KeyUnclaimed)
	f.Assert(refused.cause.NotRun(), qt.IsTrue)
	f.Assert(f.runs, qt.Equals, 0)
}

// Guards against repeats being refused although the first request certainly did not run.
func TestKeyIsReleasedIfRequestDidNotRun(t *testing.T) {
	f := newFixture(t)
	f.Assert(f.send(0, "r1", policy.NonIdempotent, refuseWith(forward.NoBackend)).cause, qt.Equals, forward.NoBackend)
	f.Assert(f.send(1, "r2", policy.NonIdempotent, answerWith("right")).body, qt.Equals, "right")
}

// Guards against a second run of a failed request that is not idempotent.
func TestFailedRunIsRepeatedOnlyIfIdempotent(t *testing.T) {
	f := newFixture(t)
	f.send(0, "r1", policy.NonIdempotent, refuseWith(forward.BackendFailed))
	refused := f.send(1, "r2", policy.NonIdempotent, answerWith("wrong"))
	f.Assert(refused.cause, qt.Equals, forward.KeyInUse)
	f.Assert(refused.cause.NotRun(), qt.IsFalse)

	f = newFixture(t)
	f.Assert(f.send(0, "r1", policy.Idempotent, abortMidway).aborted, qt.IsTrue)
	f.Assert(f.send(1, "r2", policy.Idempotent, answerWith("right")).body, qt.Equals, "right")
}

// Guards against repeats that run although the outcome of the first request was not recorded.
func TestUnfinishedClaimBlocksRepeats(t *testing.T) {
	f := newFixture(t)
	f.send(0, "r1", policy.NonIdempotent, func(caller forward.Caller) {
		f.store.SetDown(true)
		answerWith("right")(caller)
	})
	f.store.SetDown(false)
	f.Assert(f.send(1, "r2", policy.NonIdempotent, answerWith("wrong")).cause, qt.Equals, forward.KeyInUse)
	f.Assert(f.runs, qt.Equals, 1)
}

// Guards against a caller getting the answer of another request that used the same key.
func TestKeyReusedForAnotherRequestIsRefused(t *testing.T) {
	f := newFixture(t)
	f.send(0, "r1", policy.Idempotent, answerWith("first"))
	f.hash = "other"
	other := f.send(1, "r2", policy.Idempotent, answerWith("second"))
	f.Assert(other.cause, qt.Equals, forward.KeyReused)
	f.Assert(other.body, qt.Equals, "")
	f.Assert(f.runs, qt.Equals, 1)
}

func FuzzRecord(f *testing.F) {
	f.Add(record{State: answered, Request: "r", Status: 200, Body: []byte("x")}.encode())
	f.Fuzz(func(t *testing.T, data []byte) {
		if r, err := decodeRecord(data); err == nil && r.Request == "" {
			t.Fatalf("%q", data)
		}
	})
}
