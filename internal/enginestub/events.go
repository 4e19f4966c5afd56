package enginestub

import (
	"encoding/json"
	"io"
	"strconv"
	"strings"
)

// batchBytes is how many bytes of events are made for one write. A step of
// many tokens then costs one write instead of many.
const batchBytes = 4 << 10

// eventReader gives a sequence's tokens, from an offset on, as server-sent
// events. The HTTP server reads from it at the pace of the connection.
type eventReader struct {
	seq         *sequence
	sent        int // tokens already made into events
	chunkTokens int
	head        []byte // the part of every chunk before its choices
	pending     []byte
	unread      []byte // the rest of pending
	done        bool   // all events are made
	cut         bool   // the engine stopped before the end
}

func newEventReader(seq *sequence, offset, chunkTokens int) *eventReader {
	return &eventReader{
		seq:         seq,
		sent:        offset,
		chunkTokens: chunkTokens,
		head:        chunkHead(seq),
	}
}

// Read blocks until there is an event. A sequence that was cancelled or cut off
// by a crash ends without a finish reason.
func (r *eventReader) Read(p []byte) (int, error) {
	if len(r.unread) == 0 {
		if r.cut {
			return 0, io.ErrUnexpectedEOF // no proper end: the answer isn't whole
		}
		if r.done {
			return 0, io.EOF
		}
		r.fill()
	}
	n := copy(p, r.unread)
	r.unread = r.unread[n:]
	return n, nil
}

// fill makes the events of the tokens that there are, up to about batchBytes.
func (r *eventReader) fill() {
	generated, ended := r.seq.progress.wait(min(r.sent+r.chunkTokens, len(r.seq.answer)) - 1)
	total := len(r.seq.answer)
	r.pending = r.pending[:0]
	// A chunk is whole unless it is the last, so that its number tells its tokens.
	for (generated-r.sent >= r.chunkTokens || generated == total && r.sent < total) && len(r.pending) < batchBytes {
		r.appendChunk(min(r.chunkTokens, generated-r.sent))
	}
	switch {
	case r.sent == total:
		r.appendEnd()
		r.done = true
	case ended && generated < total:
		r.done, r.cut = true, true
	}
	r.unread = r.pending
}

// appendChunk appends the event of the next tokens. It is written field by
// field around the pre-encoded vocabulary, as this is the stub's hottest path;
// TestChunksAreJSON checks the result against a JSON library.
func (r *eventReader) appendChunk(tokens int) {
	offset := r.sent
	r.sent += tokens
	b := append(r.pending, "id: "...)
	b = strconv.AppendInt(b, int64((r.sent+r.chunkTokens-1)/r.chunkTokens), 10)
	b = append(b, "\ndata: "...)
	b = append(b, r.head...)
	b = append(b, `"choices":[{"index":0,"delta":{"content":"`...)
	for _, index := range r.seq.answer[offset:r.sent] {
		quoted := vocabularyJSON[index]
		b = append(b, quoted[1:len(quoted)-1]...)
	}
	b = append(b, `"},"finish_reason":`...)
	if r.sent == len(r.seq.answer) {
		b = strconv.AppendQuote(b, r.seq.finish)
	} else {
		b = append(b, "null"...)
	}
	r.pending = append(b, "}]}\n\n"...)
}

// appendEnd appends the usage, if it was asked for, and the end mark.
func (r *eventReader) appendEnd() {
	if r.seq.req.includeUsage {
		r.pending = append(r.pending, "data: "...)
		r.pending = append(r.pending, r.head...)
		r.pending = append(r.pending, `"choices":[],"usage":`...)
		r.pending = append(r.pending, usageJSON(r.seq)...)
		r.pending = append(r.pending, "}\n\n"...)
	}
	r.pending = append(r.pending, "data: [DONE]\n\n"...)
}

// chunkHead gives the opening brace and the fields that all chunks share.
func chunkHead(seq *sequence) []byte {
	fields := struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Created int64  `json:"created"`
		Model   string `json:"model"`
	}{seq.requestID, "chat.completion.chunk", seq.created.Unix(), seq.req.model}
	encoded := mustMarshal(fields)
	encoded[len(encoded)-1] = ','
	return encoded
}

// usage is the OpenAI form of what a request used.
type usage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	PromptDetails    promptDetails `json:"prompt_tokens_details"`
}

type promptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// usageJSON is only called after the sequence's end, when run is settled.
func usageJSON(seq *sequence) []byte {
	return mustMarshal(usage{
		PromptTokens:     seq.run.PromptTokens,
		CompletionTokens: len(seq.answer),
		TotalTokens:      seq.run.PromptTokens + len(seq.answer),
		PromptDetails:    promptDetails{CachedTokens: seq.run.CachedTokens},
	})
}

// mustMarshal encodes plain structs of strings and numbers, which can't fail.
func mustMarshal(v any) []byte {
	encoded, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return encoded
}

// wholeAnswer is an answer in one piece, in OpenAI's shape.
func wholeAnswer(seq *sequence) []byte {
	text := strings.Builder{}
	for _, index := range seq.answer {
		_, _ = text.WriteString(vocabulary[index]) // a builder takes everything
	}
	type message struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
	type choice struct {
		Index        int     `json:"index"`
		Message      message `json:"message"`
		FinishReason string  `json:"finish_reason"`
	}
	return mustMarshal(struct {
		ID      string          `json:"id"`
		Object  string          `json:"object"`
		Created int64           `json:"created"`
		Model   string          `json:"model"`
		Choices []choice        `json:"choices"`
		Usage   json.RawMessage `json:"usage"`
	}{seq.requestID, "chat.completion", seq.created.Unix(), seq.req.model,
		[]choice{{Message: message{Role: "assistant", Content: text.String()}, FinishReason: seq.finish}}, usageJSON(seq)})
}
