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

// outcomes of a run, as the router behind the guard plays them.
type play func(caller forward.Caller)

func answerWith(body string) play {
	return func(caller forward.Caller) { _ = caller.Answer(http.StatusOK, http.Header{}, []byte(body)) }
}

func breakOff(caller forward.Caller) {
	caller.Begin(http.StatusOK, http.Header{}, -1)
	_ = caller.Write([]byte("half"))
	caller.Abort()
}

func refuseWith(cause forward.Cause) play {
	return func(caller forward.Caller) { caller.Refuse(forward.Refusal{Cause: cause}) }
}

// bench is two routers' guards before one store, and how often requests ran.
type bench struct {
	*qt.C
	store  *memstore.Store
	guards [2]*Guard
	hash   string // of what is asked
	runs   int
}

func newBench(t *testing.T) *bench {
	b := &bench{C: qt.New(t), store: memstore.New(nil), hash: "h"}
	for i := range b.guards {
		b.guards[i] = &Guard{Store: b.store, Prefix: "claim/", Log: event.Discard()}
	}
	return b
}

// got is what a caller saw.
type got struct {
	body    string
	cause   forward.Cause
	aborted bool
}

func (g *got) Refuse(r forward.Refusal)                       { g.cause = r.Cause }
func (g *got) Answer(_ int, _ http.Header, body []byte) error { g.body = string(body); return nil }
func (g *got) Begin(int, http.Header, int64)                  {}
func (g *got) Write(part []byte) error                        { g.body += string(part); return nil }
func (g *got) Abort()                                         { g.aborted = true }

// send brings a request with the key "k" to one of the routers.
func (b *bench) send(router int, id string, kind policy.Kind, does play) *got {
	r := &request.Request{ID: id, Arrived: time.Now(), Idempotency: &request.Idempotency{Key: "k", RequestHash: b.hash},
		Account: &policy.Account{Name: "boatyard"}, Route: &policy.Route{Kind: kind}}
	caller := &got{}
	serve := func(_ context.Context, _ *request.Request, caller forward.Caller) {
		b.runs++
		does(caller)
	}
	b.guards[router].Wrap(serve)(context.Background(), r, caller)
	return caller
}

// Guards against a repeat that runs beside, or after, the first request.
func TestRepeatWaitsForTheFirst(t *testing.T) {
	b := newBench(t)
	first := b.send(0, "r1", policy.NonIdempotent, func(caller forward.Caller) {
		during := b.send(1, "r2", policy.NonIdempotent, answerWith("wrong"))
		b.Assert(during.cause, qt.Equals, forward.KeyInUse)
		answerWith("right")(caller)
	})
	b.Assert(first.body, qt.Equals, "right")
	b.Assert(b.send(1, "r3", policy.NonIdempotent, answerWith("wrong")).body, qt.Equals, "right")
	b.Assert(b.runs, qt.Equals, 1)
}

// Guards against a request refused, or run twice, because the answer to its claim was lost.
func TestLostAnswerOfTheClaim(t *testing.T) {
	b := newBench(t)
	lost := 0
	b.store.SetOutcome(func(store.Txn) memstore.Outcome {
		lost++
		if lost == 1 {
			return memstore.ResponseLost
		}
		return memstore.Answered
	})
	b.Assert(b.send(0, "r1", policy.NonIdempotent, answerWith("right")).body, qt.Equals, "right")
	b.Assert(b.send(1, "r2", policy.NonIdempotent, answerWith("wrong")).body, qt.Equals, "right")
	b.Assert(b.runs, qt.Equals, 1)
}

// The store doesn't answer at all. Nothing runs, and the caller is told so.
func TestUnclaimedKeyRunsNothing(t *testing.T) {
	b := newBench(t)
	b.store.SetDown(true)
	refused := b.send(0, "r1", policy.NonIdempotent, answerWith("wrong"))
	b.Assert(refused.cause, qt.Equals, forward.KeyUnclaimed)
	b.Assert(refused.cause.NotRun(), qt.IsTrue)
	b.Assert(b.runs, qt.Equals, 0)
}

// The first request surely did not run: a repeat does.
func TestKeyIsFreeAfterARefusal(t *testing.T) {
	b := newBench(t)
	b.Assert(b.send(0, "r1", policy.NonIdempotent, refuseWith(forward.NoBackend)).cause, qt.Equals, forward.NoBackend)
	b.Assert(b.send(1, "r2", policy.NonIdempotent, answerWith("right")).body, qt.Equals, "right")
}

// Guards against a second run of a broken request that must run once.
func TestBrokenRunIsRepeatedOnlyWhereItMay(t *testing.T) {
	b := newBench(t)
	b.send(0, "r1", policy.NonIdempotent, refuseWith(forward.BackendFailed))
	refused := b.send(1, "r2", policy.NonIdempotent, answerWith("wrong"))
	b.Assert(refused.cause, qt.Equals, forward.KeyInUse)
	b.Assert(refused.cause.NotRun(), qt.IsFalse)

	b = newBench(t)
	b.Assert(b.send(0, "r1", policy.Idempotent, breakOff).aborted, qt.IsTrue)
	b.Assert(b.send(1, "r2", policy.Idempotent, answerWith("right")).body, qt.Equals, "right")
}

// Guards against repeats that run while the end of the first is not known.
func TestOpenClaimKeepsRepeatsFromRunning(t *testing.T) {
	b := newBench(t)
	b.send(0, "r1", policy.NonIdempotent, func(caller forward.Caller) {
		b.store.SetDown(true)
		answerWith("right")(caller)
	})
	b.store.SetDown(false)
	b.Assert(b.send(1, "r2", policy.NonIdempotent, answerWith("wrong")).cause, qt.Equals, forward.KeyInUse)
	b.Assert(b.runs, qt.Equals, 1)
}

// Guards against an answer that belongs to another request under the same key.
func TestKeyOfAnotherRequest(t *testing.T) {
	b := newBench(t)
	b.send(0, "r1", policy.Idempotent, answerWith("first"))
	b.hash = "other"
	other := b.send(1, "r2", policy.Idempotent, answerWith("second"))
	b.Assert(other.cause, qt.Equals, forward.KeyReused)
	b.Assert(other.body, qt.Equals, "")
	b.Assert(b.runs, qt.Equals, 1)
}

func FuzzRecord(f *testing.F) {
	f.Add(record{State: answered, Request: "r", Status: 200, Body: []byte("x")}.encode())
	f.Fuzz(func(t *testing.T, data []byte) {
		if r, err := decodeRecord(data); err == nil && r.Request == "" {
			t.Fatalf("%q", data)
		}
	})
}
