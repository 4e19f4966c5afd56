package load

import (
	"bytes"
	"io"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func encodeEvents(events []string) string {
	var text strings.Builder
	for _, event := range events {
		text.WriteString("data: " + event + "\n\n")
	}
	return text.String()
}

func testExpected() Expected {
	return Expected{Text: strings.Join(testTokens, ""), FinishReason: "stop", Tokens: len(testTokens)}
}

func TestEventReader(t *testing.T) {
	c := qt.New(t)
	reader := newEventReader()
	reader.reset(strings.NewReader(": comment\r\nevent: x\r\ndata:one\r\n\r\ndata: two\n\ndata: half"))
	for _, want := range []string{"one", "two"} {
		data, err := reader.next()
		c.Assert(err, qt.IsNil)
		c.Assert(string(data), qt.Equals, want)
	}
	_, err := reader.next()
	c.Assert(err, qt.Equals, io.EOF)

	reader.reset(strings.NewReader("data: " + strings.Repeat("x", maxLineBytes) + "\n"))
	_, err = reader.next()
	c.Assert(err, qt.ErrorIs, ErrLineTooLong)
}

// FuzzStream checks that no stream is accepted unless it holds exactly the expected text.
func FuzzStream(f *testing.F) {
	complete := encodeEvents(completeEvents())
	f.Add([]byte(complete))
	f.Add([]byte(complete[:len(complete)/2]))
	f.Add([]byte("data: {\"error\":{\"cause\":\"internal\"}}\n\n"))
	f.Add([]byte("data: {\"choices\":[{\"delta\":7}],\"usage\":[]}\ndata: [DONE]\n"))
	f.Fuzz(func(t *testing.T, stream []byte) {
		reader := &streamReader{events: newEventReader()}
		checker := newAnswerChecker(testExpected())
		var out tryResult
		err := reader.read(bytes.NewReader(stream), checker, &out)
		if err == nil && (checker.offset != len(testExpected().Text) || out.finishReason != "stop") {
			t.Fatalf("a stream passed at byte %d with finish reason %q", checker.offset, out.finishReason)
		}
	})
}

func BenchmarkStream(b *testing.B) {
	const tokens = 1000
	token := "harbour "
	events := make([]string, 0, tokens+2)
	for range tokens {
		events = append(events, contentChunk(token))
	}
	events = append(events, finalChunk("stop", tokens), "[DONE]")
	stream := []byte(encodeEvents(events))
	want := Expected{Text: strings.Repeat(token, tokens), FinishReason: "stop", Tokens: tokens}
	reader := &streamReader{events: newEventReader()}
	b.ReportAllocs()
	for b.Loop() {
		checker := newAnswerChecker(want)
		var out tryResult
		if err := reader.read(bytes.NewReader(stream), checker, &out); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(tokens*b.N)/b.Elapsed().Seconds(), "tokens/s")
}
