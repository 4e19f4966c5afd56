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

// answer is one scripted answer of the fake router.
type answer struct {
	status     int
	retryAfter string
	body       string // of a plain answer
	events     []string
}

// fakeRouter answers completions by a script, the last answer again and again.
type fakeRouter struct {
	address string

	mu     sync.Mutex
	script []answer
	keys   []string // of the calls that came
	bodies []string
}

func startRouter(c *qt.C, script ...answer) *fakeRouter {
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
	next := f.script[min(len(f.keys), len(f.script)-1)]
	f.keys = append(f.keys, strings.Clone(ctx.Get("Idempotency-Key")))
	f.bodies = append(f.bodies, string(ctx.Body()))
	f.mu.Unlock()
	if next.retryAfter != "" {
		ctx.Set("Retry-After", next.retryAfter)
	}
	if next.events == nil {
		return ctx.Status(next.status).SendString(next.body)
	}
	ctx.Set("Content-Type", "text/event-stream")
	ctx.Context().SetBodyStreamWriter(func(w *bufio.Writer) {
		for _, event := range next.events {
			fmt.Fprintf(w, "data: %s\n\n", event)
			if w.Flush() != nil {
				return
			}
		}
	})
	return nil
}

// chunk is an OpenAI chunk with content.
func chunk(content string) string {
	text, _ := json.Marshal(content)
	return fmt.Sprintf(`{"id":"r1","choices":[{"index":0,"delta":{"content":%s},"finish_reason":null}]}`, text)
}

func endChunk(reason string, tokens int) string {
	return fmt.Sprintf(`{"id":"r1","choices":[{"index":0,"delta":{},"finish_reason":%q}],"usage":{"prompt_tokens":3,"completion_tokens":%d}}`, reason, tokens)
}

// wholeEvents is the right stream for testAnswer.
func wholeEvents() []string {
	var events []string
	for _, token := range testTokens {
		events = append(events, chunk(token))
	}
	return append(events, endChunk("stop", len(testTokens)), "[DONE]")
}

func testRequest(t testing.TB, stream bool) Request {
	workload, err := NewWorkload(WorkloadConfig{
		Seed: 1, RunID: "run", Accounts: 1, Model: "m", PromptBytes: 64,
		MinOutputTokens: 5, MaxOutputTokens: 5, Stream: stream, Answer: testAnswer,
	})
	qt.Assert(t, err, qt.IsNil)
	return workload.Request(0)
}

// testCaller calls at the addresses in turn. It notes waits instead of waiting.
func testCaller(waits *[]time.Duration, addresses ...string) *Caller {
	client := NewClient([]string{"key"})
	fetch := func(string) (EntryAnswer, error) {
		return EntryAnswer{Addresses: addresses, TTL: time.Hour}, nil
	}
	directory := NewDirectory([]string{"any"}, fetch, time.Now)
	policy := RetryPolicy{Deadline: time.Minute, MaxTries: 5, MaxRetryAfter: 5 * time.Second, Backoff: time.Millisecond}
	wait := func(_ context.Context, d time.Duration) error {
		*waits = append(*waits, d)
		return nil
	}
	return NewCaller(client, []*Directory{directory}, policy, wait)
}
