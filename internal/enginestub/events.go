package enginestub

import (
	"encoding/json"
	"io"
	"strconv"
	"strings"
)

// batchBytes is the size up to which events are combined into one write. A step of many tokens
// then needs one write instead of many.
const batchBytes = 4 << 10

// eventReader encodes a sequence's tokens from an offset on as server-sent events. The HTTP
// server reads from it as fast as the connection allows.
type eventReader struct {
	seq         *sequence
	sent        int // number of tokens encoded or skipped so far
	chunkTokens int
	chunkPrefix []byte // JSON of every chunk before its choices
	buf         []byte
	unread      []byte // rest of buf
	done        bool   // all events are encoded
	truncated   bool   // the sequence was cancelled or the engine stopped before its last token
}

func newEventReader(seq *sequence, offset, chunkTokens int) *eventReader {
	return &eventReader{
		seq:         seq,
		sent:        offset,
		chunkTokens: chunkTokens,
		chunkPrefix: encodeChunkPrefix(seq),
	}
}

// Read blocks until an event is available. The events of a sequence that was cancelled or
// interrupted by a crash end with io.ErrUnexpectedEOF and without a finish reason.
func (r *eventReader) Read(p []byte) (int, error) {
	if len(r.unread) == 0 {
		if r.truncated {
			return 0, io.ErrUnexpectedEOF
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

// fill waits for the next chunk and encodes the generated tokens, up to about batchBytes.
func (r *eventReader) fill() {
	generated, ended := r.seq.progress.wait(min(r.sent+r.chunkTokens, len(r.seq.answer)) - 1)
	total := len(r.seq.answer)
	r.buf = r.buf[:0]
	// Only the last chunk may have fewer than chunkTokens tokens, because a resumed stream
	// computes the number of tokens to skip from the ID of the last event.
	for (generated-r.sent >= r.chunkTokens || generated == total && r.sent < total) && len(r.buf) < batchBytes {
		r.appendChunk(min(r.chunkTokens, generated-r.sent))
	}
	switch {
	case r.sent == total:
		r.appendEnd()
		r.done = true
	case ended && generated < total:
		r.done, r.truncated = true, true
	}
	r.unread = r.buf
}

// appendChunk appends the event of the next tokens. It assembles the JSON by hand from the
// encoded vocabulary, because this is the hottest path of the package. TestChunksAreJSON checks
// the result with encoding/json.
func (r *eventReader) appendChunk(tokens int) {
	offset := r.sent
	r.sent += tokens
	b := append(r.buf, "id: "...)
	b = strconv.AppendInt(b, int64((r.sent+r.chunkTokens-1)/r.chunkTokens), 10)
	b = append(b, "\ndata: "...)
	b = append(b, r.chunkPrefix...)
	b = append(b, `"choices":[{"index":0,"delta":{"content":"`...)
	for _, index := range r.seq.answer[offset:r.sent] {
		quoted := vocabularyJSON[index]
		b = append(b, quoted[1:len(quoted)-1]...)
	}
	b = append(b, `"},"finish_reason":`...)
	if r.sent == len(r.seq.answer) {
		b = strconv.AppendQuote(b, r.seq.finishReason)
	} else {
		b = append(b, "null"...)
	}
	r.buf = append(b, "}]}\n\n"...)
}

// appendEnd appends the usage, if requested, and the "[DONE]" event.
func (r *eventReader) appendEnd() {
	if r.seq.req.includeUsage {
		r.buf = append(r.buf, "data: "...)
		r.buf = append(r.buf, r.chunkPrefix...)
		r.buf = append(r.buf, `"choices":[],"usage":`...)
		r.buf = append(r.buf, usageJSON(r.seq)...)
		r.buf = append(r.buf, "}\n\n"...)
	}
	r.buf = append(r.buf, "data: [DONE]\n\n"...)
}

// encodeChunkPrefix returns the opening brace and the fields that are equal in all chunks.
func encodeChunkPrefix(seq *sequence) []byte {
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

// usage is the token usage of a request in the format of the OpenAI API.
type usage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	PromptDetails    promptDetails `json:"prompt_tokens_details"`
}

type promptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// usageJSON encodes the usage of a sequence. It must only be called after the end of the
// sequence, when the scheduler no longer changes its run.
func usageJSON(seq *sequence) []byte {
	return mustMarshal(usage{
		PromptTokens:     seq.run.PromptTokens,
		CompletionTokens: len(seq.answer),
		TotalTokens:      seq.run.PromptTokens + len(seq.answer),
		PromptDetails:    promptDetails{CachedTokens: seq.run.CachedTokens},
	})
}

// mustMarshal encodes values of strings and numbers, which cannot fail.
func mustMarshal(v any) []byte {
	encoded, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return encoded
}

// answerJSON returns the response of a non-streamed request in the format of the OpenAI API.
func answerJSON(seq *sequence) []byte {
	text := strings.Builder{}
	for _, index := range seq.answer {
		_, _ = text.WriteString(vocabulary[index]) // never fails
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
		[]choice{{Message: message{Role: "assistant", Content: text.String()}, FinishReason: seq.finishReason}}, usageJSON(seq)})
}
