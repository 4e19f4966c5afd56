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

// fleet starts a small fleet whose routers reach the store over HTTP.
func fleet(t *testing.T, change func(*Options)) *Fleet {
	options := Options{
		Routers: 2, Engines: 2, Slots: 8, Log: io.Discard, GracePeriod: 2 * time.Second,
		NewStoreHandler: platform.StoreHandler,
		OpenStore:       func(address string) store.Store { return platform.NewStore(address) },
	}
	if change != nil {
		change(&options)
	}
	f, err := Start(options)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(f.Stop)
	return f
}

// reply is what a caller got; err is set if its end was not proper.
type reply struct {
	status int
	header http.Header
	body   string
	err    error
}

// call sends a request to a router; headers come in pairs.
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
	defer func() { _ = response.Body.Close() }() // read to its end
	data, err := io.ReadAll(response.Body)
	return reply{response.StatusCode, response.Header, string(data), err}
}

const chatPath = "/v1/chat/completions"

func chat(stream bool, prompt string, most int) string {
	return fmt.Sprintf(`{"model":%q,"stream":%v,"stream_options":{"include_usage":true},"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`,
		Model, stream, most, prompt)
}

// rightText is the text that every engine gives for a chat.
func rightText(body string, most int) string {
	tokens, _ := enginestub.Answer(string(Model), []byte(body), most)
	return strings.Join(tokens, "")
}

// streamText joins the texts of a stream and says whether its end mark came.
func streamText(c *qt.C, body string) (text string, ended bool) {
	lines := bufio.NewScanner(strings.NewReader(body))
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), "data: ")
		if !found || data == "[DONE]" {
			ended = ended || data == "[DONE]"
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
	return text, ended
}

// refusalOf reads cause and outcome of an error answer.
func refusalOf(c *qt.C, r reply) (cause, outcome string) {
	answer := struct {
		Error struct{ Cause, Outcome string }
	}{}
	c.Assert(json.Unmarshal([]byte(r.body), &answer), qt.IsNil, qt.Commentf("%q", r.body))
	return answer.Error.Cause, answer.Error.Outcome
}

func TestAnswersAreComplete(t *testing.T) {
	c := qt.New(t)
	f := fleet(t, nil)
	body := chat(true, "streamed len=30", 40)
	streamed := f.call(0, chatPath, body)
	c.Assert(streamed.err, qt.IsNil)
	text, ended := streamText(c, streamed.body)
	c.Assert(text, qt.Equals, rightText(body, 40))
	c.Assert(ended, qt.IsTrue)

	body = chat(false, "in one piece len=30", 20)
	whole := f.call(1, chatPath, body)
	answer := struct {
		Choices []struct{ Message struct{ Content string } }
		Usage   struct {
			Completion int `json:"completion_tokens"`
		}
	}{}
	c.Assert(json.Unmarshal([]byte(whole.body), &answer), qt.IsNil, qt.Commentf("%q", whole.body))
	c.Assert(answer.Choices[0].Message.Content, qt.Equals, rightText(body, 20))
	c.Assert(answer.Usage.Completion, qt.Equals, 20)
}

// Guards against refusals that leave open what was wrong or whether anything ran.
func TestRefusalsReportCauseAndOutcome(t *testing.T) {
	c := qt.New(t)
	f := fleet(t, nil)
	good := chat(true, "len=1", 1)
	for _, test := range []struct {
		path, body, header, value string
		status                    int
		cause                     string
	}{
		{chatPath, good, "Authorization", "Bearer no", http.StatusUnauthorized, "unknown_key"},
		{chatPath, `{"model":"other","messages":[{"role":"user","content":"x"}]}`, "", "", http.StatusNotFound, "unknown_route"},
		{chatPath, `{"messages":[]}`, "", "", http.StatusBadRequest, "bad_request"},
		{chatPath, `{`, "", "", http.StatusBadRequest, "bad_request"},
		{"/v1/other", good, "", "", http.StatusNotFound, "unknown_route"},
		{"/v1/services/register/confirm", `{"id":"a"}`, "", "", http.StatusBadRequest, "idempotency_key_required"},
		{"/v1/services/other/confirm", `{"id":"a"}`, "", "", http.StatusNotFound, "unknown_route"},
	} {
		var headers []string
		if test.header != "" {
			headers = []string{test.header, test.value}
		}
		r := f.call(0, test.path, test.body, headers...)
		c.Assert(r.err, qt.IsNil)
		cause, outcome := refusalOf(c, r)
		c.Check(r.status, qt.Equals, test.status, qt.Commentf("%v", test))
		c.Check(cause, qt.Equals, test.cause)
		c.Check(outcome, qt.Equals, "not_run")
	}
	c.Assert(f.Service.Runs().Calls, qt.Equals, 0)
}

// Guards against a repeat under the same key that runs again at another router.
func TestSameKeyRunsOnce(t *testing.T) {
	c := qt.New(t)
	f := fleet(t, nil)
	body := chat(true, "once len=12", 20)
	first := f.call(0, chatPath, body, "Idempotency-Key", "k")
	f.awaitAnswered(c, "k")
	second := f.call(1, chatPath, body, "Idempotency-Key", "k")
	c.Assert(second.body, qt.Equals, first.body)
	c.Assert(f.runs(), qt.Equals, 1)
	other := f.call(1, chatPath, chat(true, "another len=12", 20), "Idempotency-Key", "k")
	cause, _ := refusalOf(c, other)
	c.Assert(cause, qt.Equals, "idempotency_key_reused")

	confirm := `{"id":"mooring-7"}`
	one := f.call(0, "/v1/services/register/confirm", confirm, "Idempotency-Key", "transfer-7")
	c.Assert(one.status, qt.Equals, http.StatusOK, qt.Commentf("%q", one.body))
	f.awaitAnswered(c, "transfer-7")
	two := f.call(1, "/v1/services/register/confirm", confirm, "Idempotency-Key", "transfer-7")
	c.Assert(two.body, qt.Equals, one.body)
	c.Assert(f.Service.Runs().Calls, qt.Equals, 1)
}

// awaitAnswered waits until a key's claim has its answer: it is written after the
// answer's end was sent.
func (f *Fleet) awaitAnswered(c *qt.C, key string) {
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
		time.Sleep(startPoll)
	}
}

// runs is how often engines began to work on requests.
func (f *Fleet) runs() int {
	sum := 0
	for _, e := range f.Engines {
		sum += e.Runs().Totals.Attempts
	}
	return sum
}

// Guards against a stream that ends with its engine, or goes on with another text.
func TestStreamResumesAtAnotherEngine(t *testing.T) {
	c := qt.New(t)
	f := fleet(t, func(o *Options) { o.TokenTime = 2 * time.Millisecond })
	body := chat(true, "long len=300", 300)
	done := make(chan reply, 1)
	go func() { done <- f.call(0, chatPath, body) }()
	victim := f.awaitBusy()
	victim.CloseClientConnections()
	got := <-done
	c.Assert(got.err, qt.IsNil)
	text, ended := streamText(c, got.body)
	c.Assert(text, qt.Equals, rightText(body, 300))
	c.Assert(ended, qt.IsTrue)
	c.Assert(f.runs(), qt.Equals, 2)
}

// awaitBusy waits until an engine has made some tokens, and returns it.
func (f *Fleet) awaitBusy() *enginestub.Server {
	const some = 20
	for {
		for _, e := range f.Engines {
			for _, run := range e.Runs().Runs {
				if run.Attempts[0].Tokens >= some {
					return e
				}
			}
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against refusals of requests without a key in an outage of the store.
func TestStoreOutage(t *testing.T) {
	c := qt.New(t)
	f := fleet(t, nil)
	c.Assert(f.call(0, chatPath, chat(true, "first len=2", 2)).status, qt.Equals, http.StatusOK)
	f.Store.SetDown(true)
	c.Assert(f.call(0, chatPath, chat(true, "second len=2", 2)).status, qt.Equals, http.StatusOK)
	refused := f.call(0, chatPath, chat(true, "third len=2", 2), "Idempotency-Key", "k")
	cause, outcome := refusalOf(c, refused)
	c.Assert(cause, qt.Equals, "idempotency_key_unclaimed")
	c.Assert(outcome, qt.Equals, "not_run")
	c.Assert(f.runs(), qt.Equals, 2)
	f.Store.SetDown(false)
}

// Guards against tokens lost or made up by planned stops.
func TestBudgetsAreExactAfterGracefulShutdown(t *testing.T) {
	c := qt.New(t)
	f := fleet(t, nil)
	const requests, output = 6, 10
	prompt := "book keeping len=10"
	for i := range requests {
		c.Assert(f.call(i%2, chatPath, chat(i%3 != 0, prompt, output)).status, qt.Equals, http.StatusOK)
	}
	c.Assert(f.call(0, "/v1/services/register/confirm", `{"id":"a"}`, "Idempotency-Key", "a").status, qt.Equals, http.StatusOK)
	for _, stop := range f.stops {
		stop()
	}
	f.routing.Wait()
	budgets, err := operate.Budgets(context.Background(), f.Store)
	c.Assert(err, qt.IsNil)
	promptTokens := (len(prompt) + 3) / 4
	used := int64(requests*(promptTokens+output)) + int64(examplePrice)
	c.Assert(budgets[0].Spent, qt.Equals, used)
	c.Assert(budgets[0].Granted, qt.Equals, used)
	c.Assert(budgets[1].Granted, qt.Equals, int64(0))
}

// Guards against a used up budget that a top-up does not open, or that a repeated payment opens twice.
func TestTopUp(t *testing.T) {
	c := qt.New(t)
	f := fleet(t, nil)
	ctx := context.Background()
	d, at, err := operate.Document(ctx, f.Store)
	c.Assert(err, qt.IsNil)
	d.Contracts[0].Prepaid = 5
	c.Assert(operate.Apply(ctx, f.Store, d, at), qt.IsNil)
	ask := func() reply { return f.call(0, chatPath, chat(true, "len=50", 50)) }
	for ask().status == http.StatusOK { // until the version is in force
		time.Sleep(startPoll)
	}
	cause, _ := refusalOf(c, ask())
	c.Assert(cause == "budget_exhausted" || cause == "budget_held", qt.IsTrue, qt.Commentf(cause))
	const payment = 1_000_000 // far above what was used before the version was in force
	for range 2 {
		prepaid, err := operate.TopUp(ctx, f.Store, id.ClientAccount(f.Accounts[0].Name), payment, "payment-1")
		c.Assert(err, qt.IsNil)
		c.Assert(prepaid, qt.Equals, id.Tokens(5+payment))
	}
	for ask().status != http.StatusOK {
		time.Sleep(startPoll)
	}
}
