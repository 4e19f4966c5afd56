package load

import (
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Errors of the load client. Test with errors.Is.
var (
	// ErrNoResponse: no answer began: connecting or sending failed, or the
	// connection closed before the status line.
	ErrNoResponse = errors.New("load: no connection")
	// ErrInterrupted: an answer began and broke before its end ([DONE], or the
	// whole body).
	ErrInterrupted = errors.New("load: answer broken before its end")
	// ErrMismatch: the answer's bytes aren't those that the request must get.
	ErrMismatch = errors.New("load: answer differs from what it must be")
	// ErrTruncated: the answer ended in good form, but before its last byte.
	ErrTruncated = errors.New("load: answer ends early")
	// ErrInvalidEntry: a router's entry answer can't be used.
	ErrInvalidEntry = errors.New("load: bad entry answer")
	// ErrLineTooLong: a line of a stream is longer than maxLineBytes.
	ErrLineTooLong = errors.New("load: line of the stream too long")
	// ErrInvalidConfig: the options don't make a run.
	ErrInvalidConfig = errors.New("load: bad options")
)

// Refusal is a typed error answer of a router.
type Refusal struct {
	Status     int
	Cause      string
	Outcome    string
	RequestID  string
	RetryAfter time.Duration // zero: the answer named none
	Message    string
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("load: refused with %d (%s, %s): %s", r.Status, r.Cause, r.Outcome, r.Message)
}
