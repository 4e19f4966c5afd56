package dev

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytiller.example/chicorytiller/internal/enginestub"
	"chicorytiller.example/chicorytiller/internal/id"
	"chicorytiller.example/chicorytiller/internal/operate"
	"chicorytiller.example/chicorytiller/internal/store"
	"chicorytiller.example/chicorytiller/platform"
)

// startFleet starts a small fleet whose routers reach the store over HTTP.
func startFleet(t *testing.T, modify func(*Options)) *Fleet {
	options := Options{
		Routers: 2, Engines: 2, Slots: 8, Log: io.Discard, GracePeriod: 2 * time.Second,
		NewStoreHandler: platform.StoreHandler,
		OpenStore:       func(address string) store.Store { return platform.NewStore(address) },
	}
	if modify != nil {
		modify(&options)
	}
	f, err := Start(options)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(f.Stop)
	return f
}

// reply is a router's response; err is set if the response is missing or incomplete.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

// call sends a request to a router. The headers are pairs of name and value.
func (f *Fleet) call(router int, path, body string, headers ...string) reply {
	r, err := http.NewRequest(http.MethodPost, "http://"+f.Routers[router].Settings().CallerAddr+path, strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	r.Header.Set("Authorization", "Bearer "+f.Accounts[0].Key)
	r.Header.Set("Content-Type", "application/json")
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(r)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = response.Body.Close() }() // read to EOF
	data, err := io.ReadAll(response.Body)
	return reply{response.StatusCode, response.Header, string(data), err}
}

const chatPath = "/v1/chat/completions"

func chatBody(stream bool, prompt string, maxTokens int) string {
	return fmt.Sprintf(`{"model":%q,"stream":%v,"stream_options":{"include_usage":true},"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`,
		Model, stream, maxTokens, prompt)
}

// expectedText returns the text with which every engine answers a chat request.
func expectedText(body string, maxTokens int) string {
	tokens, _ := enginestub.Answer(string(Model), []byte(body), maxTokens)
	return strings.Join(tokens, "")
}

// streamText joins the text of a stream's chunks and reports whether [DONE] was received.
func streamText(c *qt.C, body string) (text string, done bool) {
	lines := bufio.NewScanner(strings.NewReader(body))
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), "data: ")
		if !found || data == "[DONE]" {
			done = done || data == "[DONE]"
			continue
		}
		chunk := struct {
			Choices []struct {
				Delta struct{ Content string }
			}
		}{}
		c.Assert(json.Unmarshal([]byte(data), &chunk), qt.IsNil)
		for _, choice := range chunk.Choices {
			text += choice.Delta.Content
		}
	}
	return text, done
}

// parseRefusal returns the cause and the outcome in an error response.
func parseRefusal(c *qt.C, r reply) (cause, outcome string) {
	answer := struct {
		Error struct{ Cause, Outcome string }
	}{}
	c.Assert(json.Unmarshal([]byte(r.body), &answer), qt.IsNil, qt.Commentf("%q", r.body))
	return answer.Error.Cause, answer.Error.Outcome
}

func TestAnswersAreComplete(t *testing.T) {
	c := qt.New(t)
	f := startFleet(t, nil)
	body := chatBody(true, "streamed len=30", 40)
	streamed := f.call(0, chatPath, body)
	c.Assert(streamed.err, qt.IsNil)
	text, ended := streamText(c, streamed.body)
	c.Assert(text, qt.Equals, expectedText(body, 40))
	c.Assert(ended, qt.IsTrue)

	body = chatBody(false, "in one piece len=30", 20)
	got := f.call(1, chatPath, body)
	answer := struct {
		Choices []struct{ Message struct{ Content string } }
		Usage   struct {
			Completion int `json:"completion_tokens"`
		}
	}{}
	c.Assert(json.Unmarshal([]byte(got.body), &answer), qt.IsNil, qt.Commentf("%q", got.body))
	c.Assert(answer.Choices[0].Message.Content, qt.Equals, expectedText(body, 20))
	c.Assert(answer.Usage.Completion, qt.Equals, 20)
}

// Guards against refusals that don't report their cause or whether the request ran.
func TestRefusalsReportCauseAndOutcome(t *testing.T) {
	c := qt.New(t)
	f := startFleet(t, nil)
	validBody := chatBody(true, "len=1", 1)
	for _, test := range []struct {
		path, body, header, value string
		status                    int
		cause                     string
	}{
		{chatPath, validBody, "Authorization", "Bearer no", http.StatusUnauthorized, "unknown_key"},
		{chatPath, `{"model":"other","messages":[{"role":"user","content":"x"}]}`, "", "", http.StatusNotFound, "unknown_route"},
		{chatPath, `{"messages":[]}`, "", "", http.StatusBadRequest, "bad_request"},
		{chatPath, `{`, "", "", http.StatusBadRequest, "bad_request"},
		{"/v1/other", validBody, "", "", http.StatusNotFound, "unknown_route"},
		{"/v1/services/register/confirm", `{"id":"a"}`, "", "", http.StatusBadRequest, "idempotency_key_required"},
		{"/v1/services/other/confirm", `{"id":"a"}`, "", "", http.StatusNotFound, "unknown_route"},
	} {
		var headers []string
		if test.header != "" {
			headers = []string{test.header, test.value}
		}
		r := f.call(0, test.path, test.body, headers...)
		c.Assert(r.err, qt.IsNil)
		cause, outcome := parseRefusal(c, r)
		c.Check(r.status, qt.Equals, test.status, qt.Commentf("%v", test))
		c.Check(cause, qt.Equals, test.cause)
		c.Check(outcome, qt.Equals, "not_run")
	}
	c.Assert(f.Service.Runs().Calls, qt.Equals, 0)
}

// Guards against running a request again when another router gets it with the same idempotency key.
func TestSameKeyRunsOnce(t *testing.T) {
	c := qt.New(t)
	f := startFleet(t, nil)
	body := chatBody(true, "once len=12", 20)
	first := f.call(0, chatPath, body, "Idempotency-Key", "k")
	f.awaitStoredAnswer(c, "k")
	second := f.call(1, chatPath, body, "Idempotency-Key", "k")
	c.Assert(second.body, qt.Equals, first.body)
	c.Assert(f.attemptCount(), qt.Equals, 1)
	other := f.call(1, chatPath, chatBody(true, "another len=12", 20), "Idempotency-Key", "k")
	cause, _ := parseRefusal(c, other)
	c.Assert(cause, qt.Equals, "idempotency_key_reused")

	confirm := `{"id":"mooring-7"}`
	one := f.call(0, "/v1/services/register/confirm", confirm, "Idempotency-Key", "transfer-7")
	c.Assert(one.status, qt.Equals, http.StatusOK, qt.Commentf("%q", one.body))
	f.awaitStoredAnswer(c, "transfer-7")
	two := f.call(1, "/v1/services/register/confirm", confirm, "Idempotency-Key", "transfer-7")
	c.Assert(two.body, qt.Equals, one.body)
	c.Assert(f.Service.Runs().Calls, qt.Equals, 1)
}

// awaitStoredAnswer waits until all claims of idempotency keys in the store contain their
// answers. A router writes the answer only after it has sent the response.
func (f *Fleet) awaitStoredAnswer(c *qt.C, key string) {
	for {
		snapshot, err := f.Store.Read(context.Background(), "chicory-claim/")
		c.Assert(err, qt.IsNil)
		answered := 0
		for _, item := range snapshot.Items {
			if bytes.Contains(item.Value, []byte(`"answered"`)) {
				answered++
			}
		}
		if answered == len(snapshot.Items) && answered > 0 {
			return
		}
		time.Sleep(pollInterval)
	}
}

// attemptCount returns the number of attempts that all engines have started.
func (f *Fleet) attemptCount() int {
	sum := 0
	for _, e := range f.Engines {
		sum += e.Runs().Totals.Attempts
	}
	return sum
}

// Guards against a stream that is cut off when its engine fails, or resumes with different text.
func TestStreamResumesAtAnotherEngine(t *testing.T) {
	c := qt.New(t)
	f := startFleet(t, func(o *Options) { o.TokenTime = 2 * time.Millisecond })
	body := chatBody(true, "long len=300", 300)
	done := make(chan reply, 1)
	go func() { done <- f.call(0, chatPath, body) }()
	engine := f.awaitBusyEngine()
	engine.CloseClientConnections()
	got := <-done
	c.Assert(got.err, qt.IsNil)
	text, ended := streamText(c, got.body)
	c.Assert(text, qt.Equals, expectedText(body, 300))
	c.Assert(ended, qt.IsTrue)
	c.Assert(f.attemptCount(), qt.Equals, 2)
}

// awaitBusyEngine waits until an engine has generated minTokens of a request, and returns the engine.
func (f *Fleet) awaitBusyEngine() *enginestub.Server {
	const minTokens = 20
	for {
		for _, e := range f.Engines {
			for _, run := range e.Runs().Runs {
				if run.Attempts[0].Tokens >= minTokens {
					return e
				}
			}
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against refusing requests without an idempotency key during a store outage.
func TestStoreOutage(t *testing.T) {
	c := qt.New(t)
	f := startFleet(t, nil)
	c.Assert(f.call(0, chatPath, chatBody(true, "first len=2", 2)).status, qt.Equals, http.StatusOK)
	f.Store.SetDown(true)
	c.Assert(f.call(0, chatPath, chatBody(true, "second len=2", 2)).status, qt.Equals, http.StatusOK)
	refused := f.call(0, chatPath, chatBody(true, "third len=2", 2), "Idempotency-Key", "k")
	cause, outcome := parseRefusal(c, refused)
	c.Assert(cause, qt.Equals, "idempotency_key_unclaimed")
	c.Assert(outcome, qt.Equals, "not_run")
	c.Assert(f.attemptCount(), qt.Equals, 2)
	f.Store.SetDown(false)
}

// Guards against wrong budget totals after graceful shutdown: tokens lost or counted twice.
func TestBudgetsAreExactAfterGracefulShutdown(t *testing.T) {
	c := qt.New(t)
	f := startFleet(t, nil)
	const requests, outputTokens = 6, 10
	prompt := "book keeping len=10"
	for i := range requests {
		c.Assert(f.call(i%2, chatPath, chatBody(i%3 != 0, prompt, outputTokens)).status, qt.Equals, http.StatusOK)
	}
	c.Assert(f.call(0, "/v1/services/register/confirm", `{"id":"a"}`, "Idempotency-Key", "a").status, qt.Equals, http.StatusOK)
	for _, stop := range f.stopFuncs {
		stop()
	}
	f.routerGroup.Wait()
	budgets, err := operate.Budgets(context.Background(), f.Store)
	c.Assert(err, qt.IsNil)
	promptTokens := (len(prompt) + 3) / 4
	wantSpent := int64(requests*(promptTokens+outputTokens)) + int64(pricePerCall)
	c.Assert(budgets[0].Spent, qt.Equals, wantSpent)
	c.Assert(budgets[0].Granted, qt.Equals, wantSpent)
	c.Assert(budgets[1].Granted, qt.Equals, int64(0))
}

// Guards against an exhausted budget that stays closed after a top-up, and a repeated payment that counts twice.
func TestTopUp(t *testing.T) {
	c := qt.New(t)
	f := startFleet(t, nil)
	ctx := context.Background()
	d, version, err := operate.Document(ctx, f.Store)
	c.Assert(err, qt.IsNil)
	d.Contracts[0].Prepaid = 5
	c.Assert(operate.Apply(ctx, f.Store, d, version), qt.IsNil)
	send := func() reply { return f.call(0, chatPath, chatBody(true, "len=50", 50)) }
	for send().status == http.StatusOK { // until the new configuration is in force
		time.Sleep(pollInterval)
	}
	cause, _ := parseRefusal(c, send())
	c.Assert(cause == "budget_exhausted" || cause == "budget_held", qt.IsTrue, qt.Commentf(cause))
	const payment = 1_000_000 // far above what was spent before the new configuration was in force
	for range 2 {
		prepaid, err := operate.TopUp(ctx, f.Store, id.ClientAccount(f.Accounts[0].Name), payment, "payment-1")
		c.Assert(err, qt.IsNil)
		c.Assert(prepaid, qt.Equals, id.Tokens(5+payment))
	}
	for send().status != http.StatusOK {
		time.Sleep(pollInterval)
	}
}
