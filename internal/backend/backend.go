// Package backend is the port to backend servers: model engines that stream
// tokens and plain services that answer calls. The HTTP adapter lives in
// package backend/httpbackend.
package backend

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/id"
)

// Errors of backend servers. Adapters wrap them; test with errors.Is.
var (
	// ErrNotRun: the backend server can't have run the call: no connection was
	// made, or it answered that it refuses the work (busy, leaving, unknown model).
	ErrNotRun = errors.New("backend: call was not run")
	// ErrBroken: the connection broke after the call was sent: it may have run,
	// in part or whole.
	ErrBroken = errors.New("backend: connection broken, the call may have run")
	// ErrRejected: the backend server answered that the request itself is wrong
	// (HTTP 4xx); it did not run and will not run elsewhere either.
	ErrRejected = errors.New("backend: request rejected")
	// ErrStreamNotFound: a resume named a stream that the engine doesn't keep.
	ErrStreamNotFound = errors.New("backend: stream not found")
)

// Ref is what a router needs to reach one backend server.
type Ref struct {
	ID            id.Backend
	Address       string // "IP:port"
	FailureDomain id.FailureDomain
}

// GenerateRequest asks an engine for one streamed completion.
type GenerateRequest struct {
	Request   id.Request // used as the "id" of every chunk
	Attempt   id.Attempt // names the stream for resume and cancel
	Model     id.Model
	Body      []byte // the caller's OpenAI chat-completions JSON, already checked
	MaxTokens id.Tokens
	Priority  int // 0 lowest .. 9 highest
	Deadline  time.Time
}

// Chunk is one piece of a streamed completion.
type Chunk struct {
	Offset       int64     // index of this chunk's first token in the answer
	Tokens       id.Tokens // tokens in this chunk
	Content      string    // text of this chunk
	FinishReason string    // "" until the last chunk: "stop" or "length"
	Usage        *Usage    // set on the last chunk
	Raw          []byte    // the OpenAI chunk JSON, valid until the next Next
}

// Usage is what a request used, as the engine counts it.
type Usage struct {
	PromptTokens     id.Tokens `json:"prompt_tokens"`
	CompletionTokens id.Tokens `json:"completion_tokens"`
	CachedTokens     id.Tokens `json:"cached_tokens"`
}

// Total is the number of tokens that are billed.
func (u Usage) Total() id.Tokens {
	return u.PromptTokens + u.CompletionTokens
}

// Stream is one running completion. Next returns io.EOF after the chunk that
// carries a FinishReason. Buffered tells whether another chunk can be had
// without waiting, so that a writer may put off its flush.
type Stream interface {
	Next() (Chunk, error)
	Buffered() bool
	Close() error
}

// LoadReport is what a backend server says of its own load, with a lag.
type LoadReport struct {
	At            time.Time `json:"at"` // when it was true, by the server's clock
	Running       int       `json:"running"`
	Waiting       int       `json:"waiting"`
	OutstandingTk id.Tokens `json:"outstanding_tokens"`
	Slots         int       `json:"slots"` // requests that run at once
	Leaving       bool      `json:"leaving"`
	Models        []string  `json:"models"`
}

// Engine reaches model engines.
type Engine interface {
	Generate(ctx context.Context, to Ref, req GenerateRequest) (Stream, error)
	// Resume continues a stream at the given token offset.
	Resume(ctx context.Context, to Ref, attempt id.Attempt, offset int64) (Stream, error)
	// Cancel stops a stream; cancelling an unknown stream is no error.
	Cancel(ctx context.Context, to Ref, attempt id.Attempt) error
	Load(ctx context.Context, to Ref) (LoadReport, error)
}

// ServiceRequest is one call of a plain service.
type ServiceRequest struct {
	Request     id.Request
	Attempt     id.Attempt
	Method      string
	Path        string // after /v1/services/NAME, with its query
	ContentType string
	Body        []byte
	Deadline    time.Time
}

// ServiceResponse is a plain service's whole answer.
type ServiceResponse struct {
	Status      int
	ContentType string
	Body        []byte
}

// Service reaches plain services.
type Service interface {
	Call(ctx context.Context, to Ref, req ServiceRequest) (ServiceResponse, error)
	Load(ctx context.Context, to Ref) (LoadReport, error)
}
