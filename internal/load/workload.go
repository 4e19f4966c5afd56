// Package load is the load client of the fleet: it calls the routers as a real
// caller does, checks each answer byte for byte, measures latencies, and holds
// budgets and runs against the answers that it got.
package load

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// AnswerFunc gives the tokens and the finish reason that an engine must produce
// for a chat-completions body. enginestub.Answer is one.
type AnswerFunc func(model string, body []byte, maxTokens int) (tokens []string, finish string)

// Kind tells completions from service calls.
type Kind int

// Kinds of requests.
const (
	KindCompletion Kind = iota
	KindConfirm         // a non-idempotent call of a plain service
)

// WorkloadConfig fixes a workload. The same values give the same requests,
// but for their idempotency keys, which start with RunID.
type WorkloadConfig struct {
	Seed            uint64
	RunID           string
	Accounts        int
	Model           string
	PromptBytes     int
	MinOutputTokens int // tokens
	MaxOutputTokens int // tokens
	Stream          bool
	Service         string
	ServiceShare    float64 // 0..1, the part of requests that are confirm calls
	// UnkeyedShare is the part of the completions that are sent without an idempotency
	// key, 0..1: each try of those is a request of its own.
	UnkeyedShare float64
	Answer       AnswerFunc
}

// Request is one logical request: all its tries share the key and the body.
type Request struct {
	Index   int
	Kind    Kind
	Account int // index of the caller's key
	Key     string
	Unkeyed bool // the key is not sent
	Path    string
	Body    []byte
	Want    Expected
}

// Expected is the answer that a completion must get.
type Expected struct {
	Text         string
	FinishReason string
	Tokens       int
}

// Workload makes the requests of a run. It is safe for concurrent use.
type Workload struct {
	cfg WorkloadConfig
}

// NewWorkload checks cfg. Its error wraps ErrBadConfig.
func NewWorkload(cfg WorkloadConfig) (*Workload, error) {
	switch {
	case cfg.Accounts < 1:
		return nil, errors.Wrap(ErrInvalidConfig, "at least one key is needed")
	case cfg.MinOutputTokens < 1 || cfg.MaxOutputTokens < cfg.MinOutputTokens:
		return nil, errors.Wrap(ErrInvalidConfig, "output tokens must be N or MIN-MAX with 1 <= MIN <= MAX")
	case cfg.ServiceShare < 0 || cfg.ServiceShare > 1:
		return nil, errors.Wrap(ErrInvalidConfig, "the service share must be in 0..1")
	case cfg.ServiceShare > 0 && cfg.Service == "":
		return nil, errors.Wrap(ErrInvalidConfig, "a service share needs the service's name")
	case cfg.Answer == nil:
		return nil, errors.Wrap(ErrInvalidConfig, "no answer function")
	}
	return &Workload{cfg: cfg}, nil
}

// Request makes the request of the given index. It depends on nothing but the
// configuration and the index, so that the order of the calls doesn't matter.
func (w *Workload) Request(index int) Request {
	random := rand.New(rand.NewPCG(w.cfg.Seed, uint64(index)))
	req := Request{
		Index:   index,
		Account: random.IntN(w.cfg.Accounts),
		Key:     w.cfg.RunID + "-" + strconv.Itoa(index),
	}
	if random.Float64() < w.cfg.ServiceShare {
		w.fillConfirm(&req)
		return req
	}
	req.Unkeyed = random.Float64() < w.cfg.UnkeyedShare
	w.fillCompletion(&req, random)
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

func (w *Workload) fillCompletion(req *Request, random *rand.Rand) {
	length := w.cfg.MinOutputTokens + random.IntN(w.cfg.MaxOutputTokens-w.cfg.MinOutputTokens+1)
	body := chatBody{
		Model:     w.cfg.Model,
		Messages:  []chatMessage{{Role: "user", Content: prompt(random, req.Index, length, w.cfg.PromptBytes)}},
		MaxTokens: length,
		Stream:    w.cfg.Stream,
	}
	if w.cfg.Stream {
		body.StreamOptions = &streamOptions{IncludeUsage: true}
	}
	req.Kind = KindCompletion
	req.Path = "/v1/chat/completions"
	req.Body = mustMarshal(body)
	tokens, finish := w.cfg.Answer(w.cfg.Model, req.Body, length)
	req.Want = Expected{Text: strings.Join(tokens, ""), FinishReason: finish, Tokens: len(tokens)}
}

// confirmBody is the body of a confirm call and part of its answer. The id is the
// idempotency key, so that the service's list of runs can be held against the calls.
type confirmBody struct {
	ID string `json:"id"`
}

func (w *Workload) fillConfirm(req *Request) {
	req.Kind = KindConfirm
	req.Path = "/v1/services/" + w.cfg.Service + "/confirm"
	req.Body = mustMarshal(confirmBody{ID: req.Key})
}

// prompt starts with the index and the wanted length, so that no two requests
// have the same answer: a splice of two answers then shows in the bytes.
func prompt(random *rand.Rand, index, length, size int) string {
	var text strings.Builder
	fmt.Fprintf(&text, "len=%d request %d ", length, index)
	for text.Len() < size {
		text.WriteByte("abcdefghijklmnopqrstuvwxyz     "[random.IntN(31)])
	}
	return text.String()
}

func mustMarshal(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // the types above hold only strings, numbers and booleans
	}
	return data
}
