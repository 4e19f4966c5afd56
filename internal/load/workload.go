// Package load generates load on the routers as client applications do. It checks each
// answer byte for byte, measures latencies, and reconciles the answers with the token
// budgets and with the runs that engines and services report.
package load

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// AnswerFunc returns the tokens and the finish reason that an engine must produce for a
// chat-completions body, as enginestub.Answer does.
type AnswerFunc func(model string, body []byte, maxTokens int) (tokens []string, finishReason string)

// Kind is the kind of a request.
type Kind int

// Kinds of requests.
const (
	KindCompletion Kind = iota
	KindConfirm         // a non-idempotent call of a service
)

// WorkloadConfig configures a workload. Equal values give equal requests. Idempotency
// keys start with RunID; nothing else of a completion depends on it.
type WorkloadConfig struct {
	Seed            uint64
	RunID           string
	Accounts        int
	Model           string
	PromptBytes     int
	MinOutputTokens int
	MaxOutputTokens int
	Stream          bool
	Service         string
	ServiceShare    float64 // 0..1, the fraction of requests that are confirm calls
	// UnkeyedShare is the fraction of completions that are sent without an idempotency key,
	// 0..1. Routers treat each try of such a completion as a separate request.
	UnkeyedShare float64
	Answer       AnswerFunc
	// OtherAnswers are those of engines of other versions of their software.
	OtherAnswers []AnswerFunc
}

// Request is a logical request. All its tries have the same key and body.
type Request struct {
	Index   int
	Kind    Kind
	Account int // index of the client account's API key
	Key     string
	Unkeyed bool // the key is not sent
	Path    string
	Body    []byte
	Want    Expected
}

// Expected is the correct answer to a completion request.
type Expected struct {
	Text string
	// OtherTexts are the answers of other versions of the engines' software. An answer is one of the
	// texts, whole.
	OtherTexts   []string
	FinishReason string
	Tokens       int
}

// Workload generates the requests of a run. It is safe for concurrent use.
type Workload struct {
	cfg WorkloadConfig
}

// NewWorkload validates cfg. Its error wraps ErrInvalidConfig.
func NewWorkload(cfg WorkloadConfig) (*Workload, error) {
	switch {
	case cfg.Accounts < 1:
		return nil, errors.Wrap(ErrInvalidConfig, "at least one key is required")
	case cfg.MinOutputTokens < 1 || cfg.MaxOutputTokens < cfg.MinOutputTokens:
		return nil, errors.Wrap(ErrInvalidConfig, "output tokens must be N or MIN-MAX with 1 <= MIN <= MAX")
	case cfg.ServiceShare < 0 || cfg.ServiceShare > 1:
		return nil, errors.Wrap(ErrInvalidConfig, "the service share must be in 0..1")
	case cfg.ServiceShare > 0 && cfg.Service == "":
		return nil, errors.Wrap(ErrInvalidConfig, "a service share requires a service name")
	case cfg.Answer == nil:
		return nil, errors.Wrap(ErrInvalidConfig, "no answer function")
	}
	return &Workload{cfg: cfg}, nil
}

// Request generates the request with the given index. It depends only on the
// configuration and the index, so the order of calls does not matter.
func (w *Workload) Request(index int) Request {
	rng := rand.New(rand.NewPCG(w.cfg.Seed, uint64(index)))
	req := Request{
		Index:   index,
		Account: rng.IntN(w.cfg.Accounts),
		Key:     w.cfg.RunID + "-" + strconv.Itoa(index),
	}
	if rng.Float64() < w.cfg.ServiceShare {
		w.fillConfirm(&req)
		return req
	}
	req.Unkeyed = rng.Float64() < w.cfg.UnkeyedShare
	w.fillCompletion(&req, rng)
	return req
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type chatBody struct {
	Model         string         `json:"model"`
	Messages      []chatMessage  `json:"messages"`
	MaxTokens     int            `json:"max_tokens"`
	Stream        bool           `json:"stream"`
	StreamOptions *streamOptions `json:"stream_options,omitempty"`
}

func (w *Workload) fillCompletion(req *Request, rng *rand.Rand) {
	outputTokens := w.cfg.MinOutputTokens + rng.IntN(w.cfg.MaxOutputTokens-w.cfg.MinOutputTokens+1)
	body := chatBody{
		Model:     w.cfg.Model,
		Messages:  []chatMessage{{Role: "user", Content: newPrompt(rng, req.Index, outputTokens, w.cfg.PromptBytes)}},
		MaxTokens: outputTokens,
		Stream:    w.cfg.Stream,
	}
	if w.cfg.Stream {
		body.StreamOptions = &streamOptions{IncludeUsage: true}
	}
	req.Kind = KindCompletion
	req.Path = "/v1/chat/completions"
	req.Body = mustMarshal(body)
	tokens, finishReason := w.cfg.Answer(w.cfg.Model, req.Body, outputTokens)
	req.Want = Expected{Text: strings.Join(tokens, ""), FinishReason: finishReason, Tokens: len(tokens)}
	for _, answer := range w.cfg.OtherAnswers {
		tokens, _ := answer(w.cfg.Model, req.Body, outputTokens)
		req.Want.OtherTexts = append(req.Want.OtherTexts, strings.Join(tokens, ""))
	}
}

// confirmBody is the body of a confirm call. The answer repeats its id, which is the
// idempotency key, so that the runs listed by a service can be matched with the calls.
type confirmBody struct {
	ID string `json:"id"`
}

func (w *Workload) fillConfirm(req *Request) {
	req.Kind = KindConfirm
	req.Path = "/v1/services/" + w.cfg.Service + "/confirm"
	req.Body = mustMarshal(confirmBody{ID: req.Key})
}

// newPrompt returns a prompt of at least minBytes. It starts with the output length and
// the index, so that every request has a different answer and a splice of two answers
// is detected.
func newPrompt(rng *rand.Rand, index, outputTokens, minBytes int) string {
	var text strings.Builder
	fmt.Fprintf(&text, "len=%d request %d ", outputTokens, index)
	for text.Len() < minBytes {
		text.WriteByte("abcdefghijklmnopqrstuvwxyz     "[rng.IntN(31)])
	}
	return text.String()
}

func mustMarshal(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // the types above always encode
	}
	return data
}
