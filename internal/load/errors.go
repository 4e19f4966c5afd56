package load

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Errors of the load client, for use with errors.Is.
var (
	// ErrNoResponse means that no response began: connecting or sending failed, the
	// deadline passed, or the connection closed before the response header.
	ErrNoResponse = errors.New("load: no response")
	// ErrInterrupted means that a response ended before it was complete: before
	// [DONE] in a stream, otherwise within the body.
	ErrInterrupted = errors.New("load: answer interrupted")
	// ErrMismatch means that an answer is not the one expected for the request.
	ErrMismatch = errors.New("load: answer differs from the expected one")
	// ErrTruncated means that an answer is well-formed, but shorter than expected.
	ErrTruncated = errors.New("load: answer truncated")
	// ErrInvalidEntry means that an entry response is malformed or lists no address.
	ErrInvalidEntry = errors.New("load: invalid entry response")
	// ErrLineTooLong means that a line of a stream is longer than maxLineBytes.
	ErrLineTooLong = errors.New("load: stream line too long")
	// ErrInvalidConfig means that a workload, a pace or the number of targets is invalid.
	ErrInvalidConfig = errors.New("load: invalid configuration")
)

// Refusal is an error response, or an error event within a stream. Status is 200 for an
// error event, since the stream had begun.
type Refusal struct {
	Status     int
	Cause      string
	Outcome    string
	RequestID  string
	RetryAfter time.Duration // 0: not given
	Message    string
}

func (r *Refusal) Error() string {
	return fmt.Sprintf("load: refused with %d (%s, %s): %s", r.Status, r.Cause, r.Outcome, r.Message)
}
