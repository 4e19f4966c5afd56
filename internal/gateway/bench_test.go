package gateway

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"testing"

	"github.com/valyala/fasthttp"

	"chicorytiller.example/chicorytiller/internal/backend"
	"chicorytiller.example/chicorytiller/internal/core"
	"chicorytiller.example/chicorytiller/internal/id"
)

// benchTokens is the length of each streamed answer.
const benchTokens = 1000

// benchEngine streams the same chunk benchTokens times, without allocations of
// its own. burst is how many chunks are there at once.
type benchEngine struct {
	backend.Engine
	raw   []byte
	burst int64
}

func (e *benchEngine) Generate(context.Context, backend.Ref, backend.GenerateRequest) (backend.Stream, error) {
	return &benchStream{engine: e}, nil
}

type benchStream struct {
	engine *benchEngine
	next   int64
}

func (s *benchStream) Next() (backend.Chunk, error) {
	chunk := backend.Chunk{Offset: s.next, Tokens: 1, Content: " word", Raw: s.engine.raw}
	if s.next == benchTokens {
		chunk.Tokens, chunk.Content, chunk.FinishReason = 0, "", finishStop
		chunk.Usage = &backend.Usage{CompletionTokens: benchTokens}
		return chunk, nil
	}
	s.next++
	return chunk, nil
}

func (s *benchStream) Buffered() bool { return s.next%s.engine.burst != 0 }
func (s *benchStream) Close() error   { return nil }

type benchGate struct{ fakeGate }

func (g *benchGate) Admit(context.Context, core.AdmitRequest) (core.Admission, error) {
	return core.Admission{Request: "r1", Reserved: 1 << 20, Dispatch: core.Dispatch{Attempt: "a1"}}, nil
}

func (g *benchGate) Finish(context.Context, id.Request, core.Completion) error { return nil }

// BenchmarkForward measures the whole way of a token through the gateway, the
// HTTP library and a client that reads it, over an in-memory connection. An
// operation is one token.
func BenchmarkForward(b *testing.B) {
	for _, burst := range []int64{1, 8, 64} {
		b.Run(fmt.Sprintf("burst=%d", burst), func(b *testing.B) {
			r := newRig(b)
			r.server.gate = &benchGate{fakeGate: fakeGate{snapshot: r.gate.snapshot}}
			raw := `{"id":"0123456789abcdef","object":"chat.completion.chunk","created":1700000000,"model":"m",` +
				`"choices":[{"index":0,"delta":{"content":" word"},"finish_reason":null}],"offset":100,"tokens":1}`
			r.server.engine = &benchEngine{raw: []byte(raw), burst: burst}
			conn, err := r.listener.Dial()
			if err != nil {
				b.Fatal(err)
			}
			defer conn.Close()
			reader := bufio.NewReaderSize(conn, 64<<10)
			body := fmt.Sprintf(testBody, true)
			request := fmt.Appendf(nil, "POST %s HTTP/1.1\r\nHost: r\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
				pathChat, testKey, len(body), body)
			b.ReportAllocs()
			b.ResetTimer()
			for done := 0; done < b.N; done += benchTokens {
				if _, err := conn.Write(request); err != nil {
					b.Fatal(err)
				}
				readStream(b, reader)
			}
		})
	}
}

func readStream(b *testing.B, reader *bufio.Reader) {
	var response fasthttp.ResponseHeader
	if err := response.Read(reader); err != nil {
		b.Fatal(err)
	}
	if response.StatusCode() != fasthttp.StatusOK {
		b.Fatalf("status %d", response.StatusCode())
	}
	for {
		line, err := reader.ReadSlice('\n')
		if err == io.EOF || bytes.Equal(line, []byte("0\r\n")) {
			_, _ = reader.ReadSlice('\n')
			return
		}
		if err != nil {
			b.Fatal(err)
		}
	}
}
