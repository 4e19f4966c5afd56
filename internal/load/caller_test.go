package load

import (
	"context"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func replaced(events []string, at int, with ...string) []string {
	return slices.Replace(slices.Clone(events), at, at+1, with...)
}

// Guards against joined, cut or doubled streams whose form looks right.
func TestEachAnswerIsCheckedByteForByte(t *testing.T) {
	whole := wholeEvents()
	usage := `"usage":{"prompt_tokens":3,"completion_tokens":5}`
	goodJSON := `{"id":"r1","choices":[{"message":{"content":"one two\ndrei\u00df \u56db five"},"finish_reason":"stop"}],` + usage + `}`
	tests := []struct {
		name   string
		script answer
		want   Status
	}{
		{"whole", answer{events: whole}, StatusOK},
		{"whole in one chunk", answer{events: []string{chunk(strings.Join(testTokens, "")), whole[5], "[DONE]"}}, StatusOK},
		{"splice", answer{events: replaced(whole, 2, chunk("other "))}, StatusSpliced},
		{"doubled chunk", answer{events: replaced(whole, 2, whole[2], whole[2])}, StatusSpliced},
		{"doubled last chunk", answer{events: replaced(whole, 4, whole[4], whole[4])}, StatusSpliced},
		{"left-out chunk", answer{events: replaced(whole, 2)}, StatusSpliced},
		{"lost end in good form", answer{events: replaced(whole, 4)}, StatusTruncated},
		{"lost end without [DONE]", answer{events: whole[:4]}, StatusLost},
		{"event after [DONE]", answer{events: append(slices.Clone(whole), whole[0])}, StatusSpliced},
		{"wrong finish reason", answer{events: replaced(whole, 5, endChunk("length", 5))}, StatusSpliced},
		{"wrong usage", answer{events: replaced(whole, 5, endChunk("stop", 4))}, StatusSpliced},
		{"no usage", answer{events: replaced(whole, 5, `{"choices":[{"delta":{},"finish_reason":"stop"}]}`)}, StatusSpliced},
		{"no JSON in a chunk", answer{events: replaced(whole, 2, `{"choices":`)}, StatusSpliced},
		{"plain JSON", answer{status: 200, body: goodJSON}, StatusOK},
		{"plain JSON cut", answer{status: 200, body: strings.Replace(goodJSON, " five", "", 1)}, StatusTruncated},
		{"plain JSON changed", answer{status: 200, body: strings.Replace(goodJSON, "two", "Two", 1)}, StatusSpliced},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			router := startRouter(c, test.script)
			var waits []time.Duration
			result := testCaller(&waits, router.address).Call(context.Background(), testRequest(t, true))
			c.Assert(result.Status, qt.Equals, test.want, qt.Commentf("%v", result.Err))
		})
	}
}

// Guards against retries that are new requests with new bills.
func TestRetriesKeepKeyAndBody(t *testing.T) {
	c := qt.New(t)
	overload := `{"error":{"message":"busy","cause":"overload","outcome":"not_run"}}`
	router := startRouter(c,
		answer{events: wholeEvents()[:3]},
		answer{status: 503, retryAfter: "2", body: overload},
		answer{events: wholeEvents()},
	)
	var waits []time.Duration
	caller := testCaller(&waits, closedPort(c), router.address)
	result := caller.Call(context.Background(), testRequest(t, true))
	c.Assert(result.Status, qt.Equals, StatusOK, qt.Commentf("%v", result.Err))
	c.Assert(result.Tries, qt.Equals, 5)
	c.Assert(result.BrokenTries, qt.Equals, 1)
	c.Assert(waits, qt.DeepEquals, []time.Duration{0, time.Millisecond, 0, 2 * time.Second})
	c.Assert(router.keys, qt.DeepEquals, []string{"run-0", "run-0", "run-0"})
	c.Assert(slices.Compact(router.bodies), qt.HasLen, 1)
}

// closedPort gives an address at which nothing listens.
func closedPort(c *qt.C) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	return listener.Addr().String()
}

// Guards against a caller that waits for a paused router.
func TestSilentRouterIsGivenUp(t *testing.T) {
	c := qt.New(t)
	silent, err := net.Listen("tcp", "127.0.0.1:0") // connections wait in the backlog
	c.Assert(err, qt.IsNil)
	defer silent.Close()
	router := startRouter(c, answer{events: wholeEvents()})
	var waits []time.Duration
	caller := testCaller(&waits, silent.Addr().String(), router.address)
	caller.policy.TryTimeout = 300 * time.Millisecond
	result := caller.Call(context.Background(), testRequest(t, true))
	// The router may be slow under -race as well: what counts is that the
	// silent one did not hold the request.
	c.Assert(result.Status, qt.Equals, StatusOK, qt.Commentf("%v", result.Err))
	c.Assert(result.Tries > 1, qt.IsTrue)
	c.Assert(router.keys[0], qt.Equals, "run-0")
}

func TestRefusalsEndOrRepeatTheRequest(t *testing.T) {
	body := `{"error":{"message":"no","cause":"budget_exhausted","outcome":"not_run","request_id":"r9"}}`
	tests := []struct {
		name   string
		script answer
		tries  int
	}{
		{"no Retry-After", answer{status: 402, body: body}, 1},
		{"Retry-After past the limit", answer{status: 429, retryAfter: "6", body: body}, 1},
		{"Retry-After each time", answer{status: 429, retryAfter: "1", body: body}, 5},
		{"error within the stream", answer{events: []string{wholeEvents()[0], body}}, 5},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			router := startRouter(c, test.script)
			var waits []time.Duration
			result := testCaller(&waits, router.address).Call(context.Background(), testRequest(t, true))
			c.Assert(result.Status, qt.Equals, StatusRefused, qt.Commentf("%v", result.Err))
			c.Assert(result.Tries, qt.Equals, test.tries)
			c.Assert(result.RequestID, qt.Equals, "r9")
			c.Assert(result.Refusal.Cause, qt.Equals, "budget_exhausted")
			c.Assert(result.Refusal.Outcome, qt.Equals, "not_run")
		})
	}
}
