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

var startTime = time.Unix(1e9, 0)

func fixedClock() time.Time { return startTime }

// newSteppedScheduler returns a scheduler without a running loop. The test calls step itself.
func newSteppedScheduler(cfg Config) *scheduler {
	return newScheduler(cfg.withDefaults(), fixedClock, &activityLogger{}, func() {})
}

func newUserRequest(content string, maxTokens, priority int) *request {
	body := fmt.Appendf(nil, `{"model":"m","messages":[{"role":"user","content":%q}],"max_tokens":%d,"priority":%d}`,
		content, maxTokens, priority)
	req, err := parseRequest(body)
	if err != nil {
		panic(err)
	}
	return req
}

func mustSubmit(c *qt.C, s *scheduler, attemptID string, req *request) *sequence {
	seq, err := s.submit("r-"+attemptID, attemptID, req)
	c.Assert(err, qt.IsNil)
	return seq
}

func TestAnswerDependsOnModelAndMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		content := rapid.String().Draw(t, "content")
		message := string(mustMarshal(map[string]string{"role": "user", "content": content}))
		full, _ := Answer("m", []byte(`{"messages":[`+message+`]}`), 0)
		limit := rapid.IntRange(1, 300).Draw(t, "limit")
		body := `{"user":"u","max_tokens":5,"stream":true,"model":"other","messages":[` + message + `]}`
		truncated, finishReason := Answer("m", []byte(body), limit)
		if strings.Join(truncated, "|") != strings.Join(full[:min(limit, len(full))], "|") {
			t.Fatalf("%q is no prefix of %q", truncated, full)
		}
		if (finishReason == FinishLength) != (limit < len(full)) {
			t.Fatalf("%s with %d tokens of %d", finishReason, limit, len(full))
		}
	})
	c := qt.New(t)
	body := []byte(`{"messages":[{"role":"user","content":[{"type":"text","text":"len=40 please"}]}]}`)
	tokens, _ := Answer("m", body, 0)
	c.Assert(tokens, qt.HasLen, 40)
	otherTokens, _ := Answer("n", body, 0)
	c.Assert(otherTokens, qt.Not(qt.DeepEquals), tokens)
}

func TestStartOrderIsPriorityThenArrival(t *testing.T) {
	c := qt.New(t)
	s := newSteppedScheduler(Config{Slots: 1})
	for i, priority := range []int{0, 5, 9, 5, 0} {
		mustSubmit(c, s, fmt.Sprint(i), newUserRequest("len=1", 0, priority))
	}
	s.cancel("4")
	for !s.idle() {
		s.step(startTime)
	}
	starts := map[string]int{}
	for _, run := range s.runReport().Runs {
		starts[run.Attempts[0].Attempt] = run.Attempts[0].Start
	}
	c.Assert(starts, qt.DeepEquals, map[string]int{"2": 1, "1": 2, "3": 3, "0": 4, "4": 0})
	c.Assert(s.outstandingTokens, qt.Equals, 0)
}

func TestTokenTiming(t *testing.T) {
	c := qt.New(t)
	s := newSteppedScheduler(Config{TokenTime: 10 * time.Millisecond, PromptTokenTime: time.Millisecond, CacheTokens: 1024})
	prompt := strings.Repeat("x", 400) + "len=50"
	first := mustSubmit(c, s, "1", newUserRequest(prompt, 0, 0))
	s.step(startTime)
	c.Assert(first.run.Tokens, qt.Equals, 0, qt.Commentf("the prompt of 102 tokens takes 102 ms"))
	second := mustSubmit(c, s, "2", newUserRequest(prompt, 0, 0))
	wait, idle := s.step(startTime)
	c.Assert(idle, qt.IsFalse)
	c.Assert(second.run.CachedTokens, qt.Equals, 96, qt.Commentf("only full blocks are cached"))
	c.Assert(wait, qt.Equals, 6*time.Millisecond)
	s.step(startTime.Add(102 * time.Millisecond))
	c.Assert(first.run.Tokens, qt.Equals, 1)
	c.Assert(second.run.Tokens, qt.Equals, 10)
	s.step(startTime.Add(time.Second))
	c.Assert(first.run.State, qt.Equals, RunFinished)
	mustSubmit(c, s, "4", newUserRequest("len=900", 0, 0))
	s.step(startTime)
	s.cancel("4")
	c.Assert(s.outstandingTokens, qt.Equals, 0)
}

func TestSubmitErrors(t *testing.T) {
	c := qt.New(t)
	s := newSteppedScheduler(Config{Models: []string{"m"}, MaxWaiting: 1})
	otherModel := newUserRequest("x", 0, 0)
	otherModel.model = "other"
	_, err := s.submit("r", "0", otherModel)
	c.Assert(err, qt.ErrorIs, ErrModelNotLoaded)
	mustSubmit(c, s, "1", newUserRequest("x", 0, 0))
	_, err = s.submit("r", "1", newUserRequest("x", 0, 0))
	c.Assert(err, qt.ErrorIs, ErrDuplicateAttempt)
	_, err = s.submit("r", "2", newUserRequest("x", 0, 0))
	c.Assert(err, qt.ErrorIs, ErrQueueFull)
	s.setDraining()
	_, err = s.submit("r", "3", newUserRequest("x", 0, 0))
	c.Assert(err, qt.ErrorIs, ErrUnavailable)
	c.Assert(s.runReport().Totals.Attempts, qt.Equals, 1)
	c.Assert(s.load(), qt.Equals, "0,1,64")
}

// Guards against an engine that crashes only after its caller has the complete answer.
func TestCrashAfterTokens(t *testing.T) {
	for content, want := range map[string]int{"BOOM len=50": 10, "BOOM len=5": 4} {
		t.Run(content, func(t *testing.T) {
			c := qt.New(t)
			crashes := 0
			cfg := Config{CrashMarker: "BOOM", CrashAfterTokens: 10}
			s := newScheduler(cfg.withDefaults(), fixedClock, &activityLogger{}, func() { crashes++ })
			marked := mustSubmit(c, s, "1", newUserRequest(content, 0, 0))
			other := mustSubmit(c, s, "2", newUserRequest("len=90", 0, 0))
			for range 5 {
				s.step(startTime)
			}
			c.Assert(crashes, qt.Equals, 1)
			c.Assert(marked.run.Tokens, qt.Equals, want)
			generated, ended := other.progress.wait(other.run.Tokens)
			c.Assert(generated < 90 && ended, qt.IsTrue)
			_, err := s.submit("r", "3", newUserRequest("x", 0, 0))
			c.Assert(err, qt.ErrorIs, ErrUnavailable)
		})
	}
}

// Guards against a prefix cache that keeps other blocks than the most recently used ones.
func TestPrefixCacheIsLRU(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(0, 6).Draw(t, "capacity")
		cache := newPrefixCache(capacity * blockTokens)
		var recent []uint64 // expected content, most recently used first
		for range rapid.IntRange(1, 20).Draw(t, "uses") {
			base := rapid.Uint64Range(0, 3).Draw(t, "base") * 100
			hashes := make([]uint64, rapid.IntRange(0, 8).Draw(t, "blocks"))
			for i := range hashes {
				hashes[i] = base + uint64(i)
			}
			wantHits := 0
			for wantHits < len(hashes) && contains(recent, hashes[wantHits]) {
				wantHits++
			}
			if got := cache.use(hashes); got != wantHits {
				t.Fatalf("%d hits, want %d", got, wantHits)
			}
			recent = useLRU(recent, hashes, capacity)
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

// useLRU returns the content of an LRU cache after the use of hashes. It is a simple reference
// implementation of prefixCache.use.
func useLRU(recent, hashes []uint64, capacity int) []uint64 {
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
		s := newSteppedScheduler(Config{})
		req := newUserRequest(rapid.String().Draw(t, "content"), 0, 0)
		req.model = rapid.String().Draw(t, "model")
		req.includeUsage = true
		seq, err := s.submit(rapid.String().Draw(t, "request"), "1", req)
		if err != nil {
			t.Fatal(err)
		}
		for !s.idle() {
			s.step(startTime)
		}
		reader := newEventReader(seq, 0, rapid.IntRange(1, 5).Draw(t, "chunk tokens"))
		body, err := io.ReadAll(reader)
		if err != nil {
			t.Fatal(err)
		}
		events := strings.Split(strings.TrimSuffix(string(body), "\n\n"), "\n\n")
		text, last := "", chunk{}
		for _, event := range events[:len(events)-1] {
			last = chunk{}
			_, data, _ := strings.Cut(event, "data: ")
			err = json.Unmarshal([]byte(data), &last)
			if err != nil || last.ID != seq.requestID || last.Model != strings.ToValidUTF8(req.model, "\ufffd") {
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

type chunk struct {
	ID      string
	Model   string
	Choices []struct{ Delta struct{ Content string } }
	Usage   usage
}

// BenchmarkStreams reads 64 concurrent streams over the loopback interface. One operation is one
// token.
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
