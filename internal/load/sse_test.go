package load

import (
	"bytes"
	"io"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func streamOf(events []string) string {
	var text strings.Builder
	for _, event := range events {
		text.WriteString("data: " + event + "\n\n")
	}
	return text.String()
}

func wanted() Expected {
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

// FuzzStream holds the one promise that the checks rest on: a stream passes only
// if it holds exactly the wanted text, whatever its bytes are.
func FuzzStream(f *testing.F) {
	whole := streamOf(wholeEvents())
	f.Add([]byte(whole))
	f.Add([]byte(whole[:len(whole)/2]))
	f.Add([]byte("data: {\"error\":{\"cause\":\"internal\"}}\n\n"))
	f.Add([]byte("data: {\"choices\":[{\"delta\":7}],\"usage\":[]}\ndata: [DONE]\n"))
	f.Fuzz(func(t *testing.T, stream []byte) {
		reader := &streamReader{events: newEventReader()}
		check := answerCheck{want: wanted()}
		var out reply
		err := reader.read(bytes.NewReader(stream), &check, &out)
		if err == nil && (check.position != len(check.want.Text) || out.finish != "stop") {
			t.Fatalf("a stream passed at byte %d with finish reason %q", check.position, out.finish)
		}
	})
}

func BenchmarkStream(b *testing.B) {
	const tokens = 1000
	token := "harbour "
	events := make([]string, 0, tokens+2)
	for range tokens {
		events = append(events, chunk(token))
	}
	events = append(events, endChunk("stop", tokens), "[DONE]")
	stream := []byte(streamOf(events))
	want := Expected{Text: strings.Repeat(token, tokens), FinishReason: "stop", Tokens: tokens}
	reader := &streamReader{events: newEventReader()}
	b.ReportAllocs()
	for b.Loop() {
		check := answerCheck{want: want}
		var out reply
		if err := reader.read(bytes.NewReader(stream), &check, &out); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(tokens*b.N)/b.Elapsed().Seconds(), "tokens/s")
}
