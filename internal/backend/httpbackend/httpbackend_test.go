package httpbackend

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"chicorytiller.example/chicorytiller/internal/backend"
	"chicorytiller.example/chicorytiller/internal/enginestub"
	"chicorytiller.example/chicorytiller/internal/id"
)

// testClock is an engine's clock that moves only by advance.
type testClock struct {
	mu  sync.Mutex
	now time.Time
}

func (k *testClock) Now() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.now
}

// advance lets time pass; Unpause makes the engine look at its clock.
func (k *testClock) advance(engine *enginestub.Server, d time.Duration) {
	k.mu.Lock()
	k.now = k.now.Add(d)
	k.mu.Unlock()
	engine.Unpause()
}

type server interface {
	Serve(net.Listener) error
	Close()
}

// serve runs s on an ephemeral port until the test's end.
func serve(c *qt.C, s server) backend.Ref {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	var tasks conc.WaitGroup
	tasks.Go(func() { _ = s.Serve(listener) })
	c.Cleanup(func() {
		s.Close()
		tasks.Wait()
	})
	return backend.Ref{ID: "b1", Address: listener.Addr().String()}
}

func newClient(c *qt.C, cfg Config) *Client {
	client := New(cfg)
	c.Cleanup(client.Close)
	return client
}

func chatBody(content string) []byte {
	return fmt.Appendf(nil, `{"model":"m","messages":[{"role":"user","content":%q}]}`, content)
}

func generateRequest(attempt, content string, maxTokens id.Tokens) backend.GenerateRequest {
	return backend.GenerateRequest{
		Request:   id.Request("r-" + attempt),
		Attempt:   id.Attempt(attempt),
		Model:     "m",
		Body:      chatBody(content),
		MaxTokens: maxTokens,
	}
}

// errNoJoin: a stream gave chunks that don't join.
var errNoJoin = errors.New("chunks don't join")

// readAll reads a stream to its end. It checks that the chunks join.
func readAll(s backend.Stream, offset int64) (string, backend.Chunk, error) {
	var text strings.Builder
	var last backend.Chunk
	for {
		chunk, err := s.Next()
		if err != nil {
			return text.String(), last, err
		}
		if chunk.Offset != offset {
			return text.String(), last, errNoJoin
		}
		offset += int64(chunk.Tokens)
		text.WriteString(chunk.Content)
		last = chunk
	}
}

func TestWholeAnswer(t *testing.T) {
	for _, test := range []struct {
		content   string
		maxTokens id.Tokens
		finish    string
	}{
		{"hello", 1000, "stop"},
		{"len=1", 1000, "stop"},
		{"len=5000", 10000, "stop"},
		{"len=50", 20, "length"},
		{"žlutý kůň \" \\ \n", 1000, "stop"},
	} {
		t.Run(test.content, func(t *testing.T) {
			c := qt.New(t)
			to := serve(c, enginestub.New(enginestub.Config{}))
			client := newClient(c, Config{})
			stream, err := client.Generate(context.Background(), to, generateRequest("a/1 b", test.content, test.maxTokens))
			c.Assert(err, qt.IsNil)
			text, last, err := readAll(stream, 0)
			c.Assert(err, qt.Equals, io.EOF)
			tokens, finish := enginestub.Answer("m", chatBody(test.content), int(test.maxTokens))
			c.Assert(text, qt.Equals, strings.Join(tokens, ""))
			c.Assert(last.FinishReason, qt.Equals, test.finish)
			c.Assert(finish, qt.Equals, test.finish)
			c.Assert(last.Usage.CompletionTokens, qt.Equals, id.Tokens(len(tokens)))
			c.Assert(last.Usage.PromptTokens, qt.Equals, id.Tokens((len(test.content)+3)/4))
			c.Assert(string(last.Raw), qt.Contains, `"id":"r-a/1 b"`)
			c.Assert(stream.Close(), qt.IsNil)
			c.Assert(client.idle[to.Address], qt.HasLen, 1, qt.Commentf("the connection is used again"))
		})
	}
}

// The engine's connections break in the middle of an answer.
// The caller of the adapter has 10 tokens and then sees ErrBroken; the engine
// goes on with the sequence. Resume at token 10 gives exactly the rest, so that
// both parts together are the answer. A resume after the last token still gives
// the finish reason, with no content.
func TestResumeAfterBrokenConnection(t *testing.T) {
	c := qt.New(t)
	clock := &testClock{now: time.Unix(1e9, 0)}
	engine := enginestub.New(enginestub.Config{TokenTime: time.Second}, clock.Now)
	to := serve(c, engine)
	client := newClient(c, Config{})
	ctx := context.Background()
	stream, err := client.Generate(ctx, to, generateRequest("a1", "len=25", 100))
	c.Assert(err, qt.IsNil)
	defer stream.Close()
	chunk, err := stream.Next()
	c.Assert(err, qt.IsNil)
	text := chunk.Content
	clock.advance(engine, 9*time.Second)
	for range 9 {
		chunk, err = stream.Next()
		c.Assert(err, qt.IsNil)
		text += chunk.Content
	}
	engine.BreakConnections()
	_, err = stream.Next()
	c.Assert(err, qt.ErrorIs, backend.ErrBroken)

	clock.advance(engine, time.Hour)
	resumed, err := client.Resume(ctx, to, "a1", 10)
	c.Assert(err, qt.IsNil)
	defer resumed.Close()
	rest, last, err := readAll(resumed, 10)
	c.Assert(err, qt.Equals, io.EOF)
	tokens, _ := enginestub.Answer("m", chatBody("len=25"), 100)
	c.Assert(text+rest, qt.Equals, strings.Join(tokens, ""))
	c.Assert(last.Usage.CompletionTokens, qt.Equals, id.Tokens(25))

	after, err := client.Resume(ctx, to, "a1", 25)
	c.Assert(err, qt.IsNil)
	defer after.Close()
	rest, last, err = readAll(after, 25)
	c.Assert(err, qt.Equals, io.EOF)
	c.Assert(rest, qt.Equals, "")
	c.Assert(last.FinishReason, qt.Equals, "stop")

	_, err = client.Resume(ctx, to, "unknown", 0)
	c.Assert(err, qt.ErrorIs, backend.ErrStreamNotFound)
	c.Assert(engine.Runs().Totals, qt.Equals, enginestub.RunTotals{Requests: 1, Attempts: 1, Tokens: 25, PromptTokens: 2})
}

// The engine has one slot; a first request holds it and a second waits. The
// first is cancelled: its stream ends with ErrBroken, not with a finish reason,
// and the second gets the slot. Cancelling what is unknown is no error.
func TestCancelFreesSlot(t *testing.T) {
	c := qt.New(t)
	clock := &testClock{now: time.Unix(1e9, 0)}
	engine := enginestub.New(enginestub.Config{TokenTime: time.Second, Slots: 1}, clock.Now)
	to := serve(c, engine)
	client := newClient(c, Config{})
	ctx := context.Background()
	first, err := client.Generate(ctx, to, generateRequest("a1", "len=25", 100))
	c.Assert(err, qt.IsNil)
	defer first.Close()
	_, err = first.Next()
	c.Assert(err, qt.IsNil)
	second, err := client.Generate(ctx, to, generateRequest("a2", "len=5", 100))
	c.Assert(err, qt.IsNil)
	defer second.Close()

	c.Assert(client.Cancel(ctx, to, "a1"), qt.IsNil)
	_, err = second.Next()
	c.Assert(err, qt.IsNil)
	_, err = first.Next()
	c.Assert(err, qt.ErrorIs, backend.ErrBroken)
	c.Assert(err, qt.ErrorIs, ErrTruncated)
	c.Assert(client.Cancel(ctx, to, "a1"), qt.IsNil)
	report, err := client.Load(ctx, to)
	c.Assert(err, qt.IsNil)
	c.Assert(report.Running, qt.Equals, 1)
	c.Assert(report.Waiting, qt.Equals, 0)
}

// The engine's process dies on a marked request while another one streams.
// Both callers see ErrBroken and no finish reason; a call afterwards can't
// connect, which is ErrNotRun.
func TestCrashMarker(t *testing.T) {
	c := qt.New(t)
	crashed := make(chan struct{})
	clock := &testClock{now: time.Unix(1e9, 0)}
	engine := enginestub.New(enginestub.Config{
		TokenTime:   time.Second,
		CrashMarker: "CRASH",
		OnCrash:     func() { close(crashed) },
	}, clock.Now)
	to := serve(c, engine)
	client := newClient(c, Config{})
	ctx := context.Background()
	other, err := client.Generate(ctx, to, generateRequest("a1", "len=25", 100))
	c.Assert(err, qt.IsNil)
	defer other.Close()
	marked, err := client.Generate(ctx, to, generateRequest("a2", "CRASH", 100))
	if err == nil {
		defer marked.Close()
		_, _, err = readAll(marked, 0)
	}
	c.Assert(err, qt.ErrorIs, backend.ErrBroken)
	<-crashed
	_, _, err = readAll(other, 0)
	c.Assert(err, qt.ErrorIs, backend.ErrBroken)
	_, err = client.Generate(ctx, to, generateRequest("a3", "x", 100))
	c.Assert(err, qt.ErrorIs, backend.ErrNotRun)
}

// A leaving engine refuses new work before it runs: the caller sees ErrNotRun
// and may go elsewhere. The running request still ends whole.
func TestLeavingEngine(t *testing.T) {
	c := qt.New(t)
	engine := enginestub.New(enginestub.Config{Models: []string{"m"}})
	to := serve(c, engine)
	client := newClient(c, Config{})
	ctx := context.Background()
	engine.Pause()
	running, err := client.Generate(ctx, to, generateRequest("a1", "x", 100))
	c.Assert(err, qt.IsNil)
	defer running.Close()
	engine.Drain()
	_, err = client.Generate(ctx, to, generateRequest("a2", "x", 100))
	c.Assert(err, qt.ErrorIs, backend.ErrNotRun)
	report, err := client.Load(ctx, to)
	c.Assert(err, qt.IsNil)
	c.Assert(report.Leaving, qt.IsTrue)
	c.Assert(report.Models, qt.DeepEquals, []string{"m"})
	engine.Unpause()
	_, _, err = readAll(running, 0)
	c.Assert(err, qt.Equals, io.EOF)
	c.Assert(engine.Runs().Totals.Attempts, qt.Equals, 1)
}

func TestStatusKinds(t *testing.T) {
	for status, kind := range map[int]error{
		fasthttp.StatusServiceUnavailable:  backend.ErrNotRun,
		fasthttp.StatusTooManyRequests:     backend.ErrNotRun,
		fasthttp.StatusBadRequest:          backend.ErrRejected,
		fasthttp.StatusNotFound:            backend.ErrRejected,
		fasthttp.StatusInternalServerError: backend.ErrBroken,
		fasthttp.StatusFound:               backend.ErrBroken,
	} {
		t.Run(fasthttp.StatusMessage(status), func(t *testing.T) {
			c := qt.New(t)
			to := serve(c, newHandlerServer(func(ctx *fasthttp.RequestCtx) { ctx.Error("why", status) }))
			client := newClient(c, Config{})
			_, err := client.Generate(context.Background(), to, generateRequest("a1", "x", 10))
			c.Assert(err, qt.ErrorIs, kind)
			c.Assert(err, qt.ErrorMatches, fmt.Sprintf(".*: status %d", status)) // and no text of the body
			var failure *Error
			c.Assert(errors.As(err, &failure), qt.IsTrue)
			c.Assert(failure.Status, qt.Equals, status)
			c.Assert(client.idle[to.Address], qt.HasLen, 1)
		})
	}
}

func TestNothingIsSentTooLate(t *testing.T) {
	c := qt.New(t)
	client := newClient(c, Config{})
	req := generateRequest("a1", "x", 10)
	req.Deadline = time.Now().Add(-time.Second)
	_, err := client.Generate(context.Background(), backend.Ref{Address: "127.0.0.1:1"}, req)
	c.Assert(err, qt.ErrorIs, backend.ErrNotRun)
	c.Assert(err, qt.ErrorIs, context.DeadlineExceeded)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = client.Generate(ctx, backend.Ref{Address: "127.0.0.1:1"}, generateRequest("a1", "x", 10))
	c.Assert(err, qt.ErrorIs, backend.ErrNotRun)
	c.Assert(err, qt.ErrorIs, context.Canceled)
}

// handlerServer is a hand-made backend server.
type handlerServer struct{ *fasthttp.Server }

func newHandlerServer(handler fasthttp.RequestHandler) handlerServer {
	return handlerServer{&fasthttp.Server{Handler: handler}}
}

func (s handlerServer) Close() { _ = s.Shutdown() }
