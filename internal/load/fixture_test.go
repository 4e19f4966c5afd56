package load

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/gofiber/fiber/v2"
)

var testTokens = []string{"one ", "two\n", "drei\u00df ", "\u56db ", "five"}

func testAnswer(string, []byte, int) ([]string, string) {
	return testTokens, "stop"
}

// scriptedResponse is a response of the fake router.
type scriptedResponse struct {
	status     int
	retryAfter string
	body       string // sent if events is nil
	events     []string
}

// fakeRouter returns the responses of a script in order and repeats the last one.
type fakeRouter struct {
	address string

	mu     sync.Mutex
	script []scriptedResponse
	keys   []string // of the requests received
	bodies []string
}

func startRouter(c *qt.C, script ...scriptedResponse) *fakeRouter {
	router := &fakeRouter{script: script}
	app := fiber.New(fiber.Config{DisableStartupMessage: true})
	app.Post("/v1/chat/completions", router.complete)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	router.address = listener.Addr().String()
	done := make(chan error, 1)
	go func() { done <- app.Listener(listener) }()
	c.Cleanup(func() {
		c.Check(app.Shutdown(), qt.IsNil)
		c.Check(<-done, qt.IsNil)
	})
	return router
}

func (f *fakeRouter) complete(ctx *fiber.Ctx) error {
	f.mu.Lock()
	response := f.script[min(len(f.keys), len(f.script)-1)]
	f.keys = append(f.keys, strings.Clone(ctx.Get("Idempotency-Key")))
	f.bodies = append(f.bodies, string(ctx.Body()))
	f.mu.Unlock()
	if response.retryAfter != "" {
		ctx.Set("Retry-After", response.retryAfter)
	}
	if response.events == nil {
		return ctx.Status(response.status).SendString(response.body)
	}
	ctx.Set("Content-Type", "text/event-stream")
	ctx.Context().SetBodyStreamWriter(func(w *bufio.Writer) {
		for _, event := range response.events {
			fmt.Fprintf(w, "data: %s\n\n", event)
			if w.Flush() != nil {
				return
			}
		}
	})
	return nil
}

// contentChunk returns an OpenAI chat-completion chunk with the given content.
func contentChunk(content string) string {
	text, _ := json.Marshal(content)
	return fmt.Sprintf(`{"id":"r1","choices":[{"index":0,"delta":{"content":%s},"finish_reason":null}]}`, text)
}

func finalChunk(reason string, tokens int) string {
	return fmt.Sprintf(`{"id":"r1","choices":[{"index":0,"delta":{},"finish_reason":%q}],"usage":{"prompt_tokens":3,"completion_tokens":%d}}`, reason, tokens)
}

// completeEvents returns the events of the stream that testRequest expects.
func completeEvents() []string {
	var events []string
	for _, token := range testTokens {
		events = append(events, contentChunk(token))
	}
	return append(events, finalChunk("stop", len(testTokens)), "[DONE]")
}

func testRequest(t testing.TB, stream bool) Request {
	workload, err := NewWorkload(WorkloadConfig{
		Seed: 1, RunID: "run", Accounts: 1, Model: "m", PromptBytes: 64,
		MinOutputTokens: 5, MaxOutputTokens: 5, Stream: stream, Answer: testAnswer,
	})
	qt.Assert(t, err, qt.IsNil)
	return workload.Request(0)
}

// testCaller returns a Caller for the addresses. It appends each delay to waits instead of
// sleeping.
func testCaller(waits *[]time.Duration, addresses ...string) *Caller {
	client := NewClient([]string{"key"})
	fetch := func(string) (EntryResponse, error) {
		return EntryResponse{Addresses: addresses, TTL: time.Hour}, nil
	}
	cache := NewAddressCache([]string{"any"}, fetch, time.Now)
	policy := RetryPolicy{Deadline: time.Minute, MaxTries: 5, MaxRetryAfter: 5 * time.Second, Backoff: time.Millisecond}
	wait := func(_ context.Context, d time.Duration) error {
		*waits = append(*waits, d)
		return nil
	}
	return NewCaller(client, []*AddressCache{cache}, policy, wait)
}
