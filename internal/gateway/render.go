package gateway

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fastjson"

	"chicorytiller.example/chicorytiller/internal/backend"
	"chicorytiller.example/chicorytiller/internal/id"
)

// Object names of OpenAI's answers.
const (
	objectCompletion = "chat.completion"
	objectChunk      = "chat.completion.chunk"
)

// Finish reasons.
const (
	finishStop   = "stop"
	finishLength = "length"
)

// answerHead names an answer; all chunks of one answer share it.
type answerHead struct {
	ID      id.Request `json:"id"`
	Object  string     `json:"object"`
	Created int64      `json:"created"` // Unix time in seconds
	Model   id.Model   `json:"model"`
}

func newHead(request id.Request, object string, model id.Model, now time.Time) answerHead {
	return answerHead{ID: request, Object: object, Created: now.Unix(), Model: model}
}

// usageAnswer is "usage" in OpenAI's shape.
type usageAnswer struct {
	PromptTokens     id.Tokens    `json:"prompt_tokens"`
	CompletionTokens id.Tokens    `json:"completion_tokens"`
	TotalTokens      id.Tokens    `json:"total_tokens"`
	PromptDetails    promptDetail `json:"prompt_tokens_details"`
}

type promptDetail struct {
	CachedTokens id.Tokens `json:"cached_tokens"`
}

func newUsageAnswer(u backend.Usage) *usageAnswer {
	return &usageAnswer{
		PromptTokens:     u.PromptTokens,
		CompletionTokens: u.CompletionTokens,
		TotalTokens:      u.Total(),
		PromptDetails:    promptDetail{CachedTokens: u.CachedTokens},
	}
}

// message is the text of a whole answer.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// wholeChoice is the one choice of a whole answer.
type wholeChoice struct {
	Index        int     `json:"index"`
	Message      message `json:"message"`
	FinishReason string  `json:"finish_reason"`
}

// completionAnswer is a whole answer.
type completionAnswer struct {
	answerHead
	Choices []wholeChoice `json:"choices"`
	Usage   *usageAnswer  `json:"usage"`
}

// delta is the new text of a chunk.
type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// chunkChoice is the one choice of a chunk.
type chunkChoice struct {
	Index        int     `json:"index"`
	Delta        delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

// chunkAnswer is a chunk that the gateway makes itself: in place of an engine's
// chunk of which only a part may be sent, for replays, and for the usage.
type chunkAnswer struct {
	answerHead
	Choices []chunkChoice `json:"choices"`
	Usage   *usageAnswer  `json:"usage,omitempty"`
}

func wholeAnswer(head answerHead, text, finishReason string, usage backend.Usage) completionAnswer {
	choice := wholeChoice{
		Message:      message{Role: "assistant", Content: text},
		FinishReason: finishReason,
	}
	return completionAnswer{answerHead: head, Choices: []wholeChoice{choice}, Usage: newUsageAnswer(usage)}
}

func contentChunk(head answerHead, text, finishReason string) ([]byte, error) {
	choice := chunkChoice{Delta: delta{Content: text}}
	if finishReason != "" {
		choice.FinishReason = &finishReason
	}
	return marshal(chunkAnswer{answerHead: head, Choices: []chunkChoice{choice}})
}

func usageChunk(head answerHead, usage backend.Usage) ([]byte, error) {
	return marshal(chunkAnswer{answerHead: head, Choices: []chunkChoice{}, Usage: newUsageAnswer(usage)})
}

// marshal keeps the texts as they are; json.Marshal would escape "<" and "&".
func marshal(value any) ([]byte, error) {
	var buffer bytes.Buffer
	encoder := json.NewEncoder(&buffer)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(value); err != nil {
		return nil, errors.Wrap(err, "gateway: encode an answer")
	}
	return bytes.TrimRight(buffer.Bytes(), "\n"), nil
}

// withoutUsage drops "usage" from an engine's last chunk. The gateway sends the
// usage that was billed in a chunk of its own; a client that adds up the usages
// of a stream would count the engine's a second time.
func withoutUsage(raw []byte) ([]byte, error) {
	var parser fastjson.Parser
	chunk, err := parser.ParseBytes(raw)
	if err != nil {
		return nil, errors.Wrap(err, "gateway: an engine's last chunk")
	}
	if !chunk.Exists("usage") {
		return raw, nil
	}
	chunk.Del("usage")
	return chunk.MarshalTo(nil), nil
}

const (
	eventPrefix = "data: "
	eventEnd    = "\n\n"
	doneMarker  = "[DONE]"
)

// appendEvent appends one server-sent event.
func appendEvent(dst, data []byte) []byte {
	dst = append(dst, eventPrefix...)
	dst = append(dst, data...)
	return append(dst, eventEnd...)
}
