package enginestub

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
	"pgregory.net/rapid"
)

var start = time.Unix(1e9, 0)

func fixedClock() time.Time { return start }

// idleScheduler is a scheduler whose loop doesn't run: the test steps it.
func idleScheduler(cfg Config) *scheduler {
	return newScheduler(cfg.withDefaults(), fixedClock, &activityLogger{}, func() {})
}

func userRequest(content string, maxTokens, priority int) *request {
	body := fmt.Appendf(nil, `{"model":"m","messages":[{"role":"user","content":%q}],"max_tokens":%d,"priority":%d}`,
		content, maxTokens, priority)
	req, err := parseRequest(body)
	if err != nil {
		panic(err)
	}
	return req
}

func submit(c *qt.C, e *scheduler, attempt string, req *request) *sequence {
	s, err := e.submit("r-"+attempt, attempt, req)
	c.Assert(err, qt.IsNil)
	return s
}

func TestAnswerFollowsFromModelAndMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		content := rapid.String().Draw(t, "content")
		message := string(mustMarshal(map[string]string{"role": "user", "content": content}))
		whole, _ := Answer("m", []byte(`{"messages":[`+message+`]}`), 0)
		limit := rapid.IntRange(1, 300).Draw(t, "limit")
		other := `{"user":"u","max_tokens":5,"stream":true,"model":"other","messages":[` + message + `]}`
		cut, finish := Answer("m", []byte(other), limit)
		if strings.Join(cut, "|") != strings.Join(whole[:min(limit, len(whole))], "|") {
			t.Fatalf("%q is no prefix of %q", cut, whole)
		}
		if (finish == FinishLength) != (limit < len(whole)) {
			t.Fatalf("%s with %d tokens of %d", finish, limit, len(whole))
		}
	})
	c := qt.New(t)
	body := []byte(`{"messages":[{"role":"user","content":[{"type":"text","text":"len=40 please"}]}]}`)
	tokens, _ := Answer("m", body, 0)
	c.Assert(tokens, qt.HasLen, 40)
	others, _ := Answer("n", body, 0)
	c.Assert(others, qt.Not(qt.DeepEquals), tokens)
}

func TestSlotsGoByPriorityThenArrival(t *testing.T) {
	c := qt.New(t)
	e := idleScheduler(Config{Slots: 1})
	for i, priority := range []int{0, 5, 9, 5, 0} {
		submit(c, e, fmt.Sprint(i), userRequest("len=1", 0, priority))
	}
	e.cancel("4")
	for !e.idle() {
		e.step(start)
	}
	starts := map[string]int{}
	for _, run := range e.runReport().Runs {
		starts[run.Attempts[0].Attempt] = run.Attempts[0].Start
	}
	c.Assert(starts, qt.DeepEquals, map[string]int{"2": 1, "1": 2, "3": 3, "0": 4, "4": 0})
	c.Assert(e.outstandingTokens, qt.Equals, 0)
}

func TestTokensBecomeDue(t *testing.T) {
	c := qt.New(t)
	e := idleScheduler(Config{TokenTime: 10 * time.Millisecond, PromptTokenTime: time.Millisecond, CacheTokens: 1024})
	prompt := strings.Repeat("x", 400) + "len=50"
	first := submit(c, e, "1", userRequest(prompt, 0, 0))
	e.step(start)
	c.Assert(first.run.Tokens, qt.Equals, 0, qt.Commentf("the prompt of 102 tokens takes 102 ms"))
	second := submit(c, e, "2", userRequest(prompt, 0, 0))
	wait, idle := e.step(start)
	c.Assert(idle, qt.IsFalse)
	c.Assert(second.run.CachedTokens, qt.Equals, 96, qt.Commentf("whole blocks"))
	c.Assert(wait, qt.Equals, 6*time.Millisecond)
	e.step(start.Add(102 * time.Millisecond))
	c.Assert(first.run.Tokens, qt.Equals, 1)
	c.Assert(second.run.Tokens, qt.Equals, 10)
	e.step(start.Add(time.Second))
	c.Assert(first.run.State, qt.Equals, RunFinished)
	submit(c, e, "4", userRequest("len=900", 0, 0))
	e.step(start)
	e.cancel("4")
	c.Assert(e.outstandingTokens, qt.Equals, 0)
}

func TestRefusals(t *testing.T) {
	c := qt.New(t)
	e := idleScheduler(Config{Models: []string{"m"}, MaxWaiting: 1})
	unknown := userRequest("x", 0, 0)
	unknown.model = "other"
	_, err := e.submit("r", "0", unknown)
	c.Assert(err, qt.ErrorIs, ErrModelNotLoaded)
	submit(c, e, "1", userRequest("x", 0, 0))
	_, err = e.submit("r", "1", userRequest("x", 0, 0))
	c.Assert(err, qt.ErrorIs, ErrDuplicateAttempt)
	_, err = e.submit("r", "2", userRequest("x", 0, 0))
	c.Assert(err, qt.ErrorIs, ErrQueueFull)
	e.setDraining()
	_, err = e.submit("r", "3", userRequest("x", 0, 0))
	c.Assert(err, qt.ErrorIs, ErrUnavailable)
	c.Assert(e.runReport().Totals.Attempts, qt.Equals, 1)
	c.Assert(e.load(), qt.Equals, "0,1,64")
}

// Guards against a stand-in that crashes after its caller has a whole answer.
func TestCrashPoint(t *testing.T) {
	for content, want := range map[string]int{"BOOM len=50": 10, "BOOM len=5": 4} {
		t.Run(content, func(t *testing.T) {
			c := qt.New(t)
			crashes := 0
			cfg := Config{CrashMarker: "BOOM", CrashAfterTokens: 10}
			e := newScheduler(cfg.withDefaults(), fixedClock, &activityLogger{}, func() { crashes++ })
			marked := submit(c, e, "1", userRequest(content, 0, 0))
			other := submit(c, e, "2", userRequest("len=90", 0, 0))
			for range 5 {
				e.step(start)
			}
			c.Assert(crashes, qt.Equals, 1)
			c.Assert(marked.run.Tokens, qt.Equals, want)
			generated, ended := other.progress.wait(other.run.Tokens)
			c.Assert(generated < 90 && ended, qt.IsTrue)
			_, err := e.submit("r", "3", userRequest("x", 0, 0))
			c.Assert(err, qt.ErrorIs, ErrUnavailable)
		})
	}
}

// Guards against a stand-in whose cache keeps other blocks than the most recently used.
func TestPrefixCacheKeepsTheLatest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(0, 6).Draw(t, "capacity")
		cache := newPrefixCache(capacity * blockTokens)
		var recent []uint64 // the latest used in front
		for range rapid.IntRange(1, 20).Draw(t, "uses") {
			base := rapid.Uint64Range(0, 3).Draw(t, "base") * 100
			hashes := make([]uint64, rapid.IntRange(0, 8).Draw(t, "blocks"))
			for i := range hashes {
				hashes[i] = base + uint64(i)
			}
			want := 0
			for want < len(hashes) && contains(recent, hashes[want]) {
				want++
			}
			if got := cache.use(hashes); got != want {
				t.Fatalf("%d hits, want %d", got, want)
			}
			recent = useInOrder(recent, hashes, capacity)
		}
	})
}

func contains(list []uint64, hash uint64) bool {
	for _, other := range list {
		if other == hash {
			return true
		}
	}
	return false
}

func useInOrder(recent, hashes []uint64, capacity int) []uint64 {
	kept := append([]uint64{}, hashes[:min(len(hashes), capacity)]...)
	for _, hash := range recent {
		if !contains(kept, hash) {
			kept = append(kept, hash)
		}
	}
	return kept[:min(len(kept), capacity)]
}

func TestChunksAreJSON(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := idleScheduler(Config{})
		req := userRequest(rapid.String().Draw(t, "content"), 0, 0)
		req.model = rapid.String().Draw(t, "model")
		req.includeUsage = true
		s, err := e.submit(rapid.String().Draw(t, "request"), "1", req)
		if err != nil {
			t.Fatal(err)
		}
		for !e.idle() {
			e.step(start)
		}
		reader := newEventReader(s, 0, rapid.IntRange(1, 5).Draw(t, "chunk tokens"))
		body, err := io.ReadAll(reader)
		if err != nil {
			t.Fatal(err)
		}
		events := strings.Split(strings.TrimSuffix(string(body), "\n\n"), "\n\n")
		text, last := "", chunkFields{}
		for _, event := range events[:len(events)-1] {
			last = chunkFields{}
			_, data, _ := strings.Cut(event, "data: ")
			err = json.Unmarshal([]byte(data), &last)
			if err != nil || last.ID != s.requestID || last.Model != strings.ToValidUTF8(req.model, "\ufffd") {
				t.Fatalf("%s: %v", event, err)
			}
			for _, choice := range last.Choices {
				text += choice.Delta.Content
			}
		}
		tokens, _ := Answer(req.model, fmt.Appendf(nil, `{"messages":[{"role":"user","content":%s}]}`, mustMarshal(req.prompt[5:len(req.prompt)-1])), 0)
		if text != strings.Join(tokens, "") || last.Usage.CompletionTokens != len(tokens) {
			t.Fatalf("%q with %+v, want %q", text, last.Usage, tokens)
		}
	})
}

type chunkFields struct {
	ID      string
	Model   string
	Choices []struct{ Delta struct{ Content string } }
	Usage   usage
}

// BenchmarkStreams reads 64 streams at once over the loopback; an operation is
// one token.
func BenchmarkStreams(b *testing.B) {
	const streams = 64
	c := qt.New(b)
	engine := New(Config{})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	var server conc.WaitGroup
	server.Go(func() { _ = engine.Serve(listener) })
	var received atomic.Int64
	var readers conc.WaitGroup
	for range streams {
		readers.Go(func() {
			req := fasthttp.AcquireRequest()
			resp := fasthttp.AcquireResponse()
			req.SetRequestURI("http://" + listener.Addr().String() + "/v1/chat/completions")
			req.Header.SetMethod(fasthttp.MethodPost)
			length := b.N/streams + 1
			req.SetBodyString(fmt.Sprintf(`{"stream":true,"messages":[{"role":"user","content":"len=%d"}]}`, min(length, maxFixedLength)))
			client := fasthttp.Client{StreamResponseBody: true}
			c.Check(client.Do(req, resp), qt.IsNil)
			n, copyErr := io.Copy(io.Discard, resp.BodyStream())
			c.Check(copyErr, qt.IsNil)
			received.Add(n)
			_ = resp.CloseBodyStream()
		})
	}
	readers.Wait()
	b.StopTimer()
	b.SetBytes(received.Load() / int64(b.N))
	engine.Close()
	server.Wait()
}
