package httpbackend

import (
	"context"
	"fmt"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"chicorytiller.example/chicorytiller/internal/backend"
)

// Causes that this adapter finds itself. They come inside an *Error.
var (
	// ErrResponseTooLarge: an answer was over Config.MaxResponseBytes.
	ErrResponseTooLarge = errors.New("httpbackend: response too large")
	// ErrMalformedChunk: a stream's event is no chunk of the engine protocol.
	ErrMalformedChunk = errors.New("httpbackend: malformed chunk")
	// ErrChunkGap: a chunk doesn't start where the one before it ended.
	ErrChunkGap = errors.New("httpbackend: gap between chunks")
	// ErrTruncated: a stream ended without a finish reason and a usage.
	ErrTruncated = errors.New("httpbackend: stream ended early")
	// ErrMalformedBody: a request's or a report's JSON can't be read.
	ErrMalformedBody = errors.New("httpbackend: malformed JSON body")
	// ErrBadLimit: a request's output limit isn't above zero.
	ErrBadLimit = errors.New("httpbackend: output limit is not above zero")
)

// Error is a failed call to one backend server. errors.Is finds both its Kind
// and its Cause.
type Error struct {
	Kind    error // one of package backend's errors
	Op      string
	Address string
	Status  int   // HTTP status, 0 when there was none
	Cause   error // may be nil
}

// Error tells the operation, the server and the cause.
func (e *Error) Error() string {
	text := fmt.Sprintf("%s at %s: %v", e.Op, e.Address, e.Kind)
	if e.Status != 0 {
		text += fmt.Sprintf(": status %d", e.Status)
	}
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap gives the kind and the cause.
func (e *Error) Unwrap() []error {
	if e.Cause == nil {
		return []error{e.Kind}
	}
	return []error{e.Kind, e.Cause}
}

// statusError says what an HTTP status other than 200 means for the call.
func statusError(op, address string, status int, message []byte) error {
	return &Error{
		Kind:    statusKind(status),
		Op:      op,
		Address: address,
		Status:  status,
		Cause:   errors.New(string(message)),
	}
}

// statusKind maps a status that comes before any stream. Only the two statuses
// by which a server refuses work promise that nothing ran; another 5xx may come
// from a call that failed half-way.
func statusKind(status int) error {
	switch {
	case status == fasthttp.StatusServiceUnavailable, status == fasthttp.StatusTooManyRequests:
		return backend.ErrNotRun
	case status >= 400 && status < 500:
		return backend.ErrRejected
	default:
		return backend.ErrBroken
	}
}

// causeOf prefers the context's error: after a cancel the connection's own
// error is only "use of closed network connection".
func causeOf(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}
