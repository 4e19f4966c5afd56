package httpbackend

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"chicorytiller.example/chicorytiller/internal/backend"
)

// Causes that this adapter finds itself. They come inside an *Error.
var (
	// ErrNoEventStream: an answer that should be a stream has another content type.
	ErrNoEventStream = errors.New("httpbackend: answer is no event stream")
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
	// ErrBadPath: a call's path can't be a request target.
	ErrBadPath = errors.New("httpbackend: bad path")
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

// Error tells the operation, the server, the kind, the status and the cause.
//
// Failure: an engine's answer may repeat the caller's prompt, and the libraries
// that read it quote what they can't read. Routers log this text, so a prompt would
// reach logs and the time line. So no text from outside is told: of the cause only
// what describeCause knows to be free of it.
func (e *Error) Error() string {
	text := fmt.Sprintf("%s at %s: %v", e.Op, e.Address, e.Kind)
	if e.Status != 0 {
		text += fmt.Sprintf(": status %d", e.Status)
	}
	if e.Cause != nil {
		text += ": " + describeCause(e.Cause)
	}
	return text
}

// ownCauses have texts that are written in this program or in the language's
// standard library, and hold nothing of a message.
var ownCauses = []error{
	ErrNoEventStream, ErrResponseTooLarge, ErrMalformedChunk, ErrChunkGap, ErrTruncated,
	ErrMalformedBody, ErrBadPath, ErrBadLimit,
	context.Canceled, context.DeadlineExceeded, os.ErrDeadlineExceeded, io.ErrUnexpectedEOF, io.EOF,
}

// otherCause stands for a cause whose text may hold part of a message.
const otherCause = "malformed answer"

// describeCause gives the text of a cause without anything that came from outside.
func describeCause(cause error) string {
	for _, own := range ownCauses {
		if errors.Is(cause, own) {
			return own.Error()
		}
	}
	var network *net.OpError // holds the operation, the addresses and the system's error
	if errors.As(cause, &network) {
		return network.Error()
	}
	return otherCause
}

// Unwrap gives the kind and the cause.
func (e *Error) Unwrap() []error {
	if e.Cause == nil {
		return []error{e.Kind}
	}
	return []error{e.Kind, e.Cause}
}

// statusError says what an HTTP status other than 200 means for the call.
func statusError(op, address string, status int) error {
	return &Error{Kind: statusKind(status), Op: op, Address: address, Status: status}
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
