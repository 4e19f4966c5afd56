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

func replaceEvent(events []string, index int, with ...string) []string {
	return slices.Replace(slices.Clone(events), index, index+1, with...)
}

// Guards against accepting spliced, truncated or duplicated streams that are well-formed.
func TestEachAnswerIsCheckedByteForByte(t *testing.T) {
	complete := completeEvents()
	usage := `"usage":{"prompt_tokens":3,"completion_tokens":5}`
	goodJSON := `{"id":"r1","choices":[{"message":{"content":"one two\ndrei\u00df \u56db five"},"finish_reason":"stop"}],` + usage + `}`
	tests := []struct {
		name   string
		script scriptedResponse
		want   Status
	}{
		{"whole", scriptedResponse{events: complete}, StatusOK},
		{"whole in one chunk", scriptedResponse{events: []string{contentChunk(strings.Join(testTokens, "")), complete[5], "[DONE]"}}, StatusOK},
		{"splice", scriptedResponse{events: replaceEvent(complete, 2, contentChunk("other "))}, StatusSpliced},
		{"doubled chunk", scriptedResponse{events: replaceEvent(complete, 2, complete[2], complete[2])}, StatusSpliced},
		{"doubled last chunk", scriptedResponse{events: replaceEvent(complete, 4, complete[4], complete[4])}, StatusSpliced},
		{"left-out chunk", scriptedResponse{events: replaceEvent(complete, 2)}, StatusSpliced},
		{"lost end in good form", scriptedResponse{events: replaceEvent(complete, 4)}, StatusTruncated},
		{"lost end without [DONE]", scriptedResponse{events: complete[:4]}, StatusLost},
		{"event after [DONE]", scriptedResponse{events: append(slices.Clone(complete), complete[0])}, StatusSpliced},
		{"wrong finish reason", scriptedResponse{events: replaceEvent(complete, 5, finalChunk("length", 5))}, StatusSpliced},
		{"wrong usage", scriptedResponse{events: replaceEvent(complete, 5, finalChunk("stop", 4))}, StatusSpliced},
		{"no usage", scriptedResponse{events: replaceEvent(complete, 5, `{"choices":[{"delta":{},"finish_reason":"stop"}]}`)}, StatusSpliced},
		{"no JSON in a chunk", scriptedResponse{events: replaceEvent(complete, 2, `{"choices":`)}, StatusSpliced},
		{"plain JSON", scriptedResponse{status: 200, body: goodJSON}, StatusOK},
		{"plain JSON cut", scriptedResponse{status: 200, body: strings.Replace(goodJSON, " five", "", 1)}, StatusTruncated},
		{"plain JSON changed", scriptedResponse{status: 200, body: strings.Replace(goodJSON, "two", "Two", 1)}, StatusSpliced},
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

// Guards against retries that run and bill a request again as a new one.
func TestRetriesKeepKeyAndBody(t *testing.T) {
	c := qt.New(t)
	overload := `{"error":{"message":"busy","cause":"overload","outcome":"not_run"}}`
	router := startRouter(c,
		scriptedResponse{events: completeEvents()[:3]},
		scriptedResponse{status: 503, retryAfter: "2", body: overload},
		scriptedResponse{events: completeEvents()},
	)
	var waits []time.Duration
	caller := testCaller(&waits, closedAddress(c), router.address)
	result := caller.Call(context.Background(), testRequest(t, true))
	c.Assert(result.Status, qt.Equals, StatusOK, qt.Commentf("%v", result.Err))
	c.Assert(result.Tries, qt.Equals, 5)
	c.Assert(result.BrokenTries, qt.Equals, 1)
	c.Assert(waits, qt.DeepEquals, []time.Duration{0, time.Millisecond, 0, 2 * time.Second})
	c.Assert(router.keys, qt.DeepEquals, []string{"run-0", "run-0", "run-0"})
	c.Assert(slices.Compact(router.bodies), qt.HasLen, 1)
}

// closedAddress returns an address on which nothing listens.
func closedAddress(c *qt.C) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	return listener.Addr().String()
}

// Guards against waiting for a paused router until the deadline of the request.
func TestUnresponsiveRouterTimesOut(t *testing.T) {
	c := qt.New(t)
	unresponsive, err := net.Listen("tcp", "127.0.0.1:0") // connections wait in the backlog
	c.Assert(err, qt.IsNil)
	defer unresponsive.Close()
	router := startRouter(c, scriptedResponse{events: completeEvents()})
	var waits []time.Duration
	caller := testCaller(&waits, unresponsive.Addr().String(), router.address)
	caller.policy.TryTimeout = 300 * time.Millisecond
	result := caller.Call(context.Background(), testRequest(t, true))
	// The responsive router may time out too under -race, so the number of tries varies.
	// What matters is that the unresponsive one did not hold up the request.
	c.Assert(result.Status, qt.Equals, StatusOK, qt.Commentf("%v", result.Err))
	c.Assert(result.Tries > 1, qt.IsTrue)
	c.Assert(router.keys[0], qt.Equals, "run-0")
}

func TestRetryAfterDecidesWhetherRefusalIsRetried(t *testing.T) {
	body := `{"error":{"message":"no","cause":"budget_exhausted","outcome":"not_run","request_id":"r9"}}`
	tests := []struct {
		name   string
		script scriptedResponse
		tries  int
	}{
		{"no Retry-After", scriptedResponse{status: 402, body: body}, 1},
		{"Retry-After past the limit", scriptedResponse{status: 429, retryAfter: "6", body: body}, 1},
		{"Retry-After each time", scriptedResponse{status: 429, retryAfter: "1", body: body}, 5},
		{"error within the stream", scriptedResponse{events: []string{completeEvents()[0], body}}, 5},
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
