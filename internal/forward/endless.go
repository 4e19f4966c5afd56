package forward

import (
	"io"
	"sync/atomic"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/eventstream"
)

// Limits on answers that are not streams. A faulty server may send a body without end.
const (
	// maxStatedAnswer is the longest length that an answer may state. No link of a router brings more
	// within a route's timeout.
	maxStatedAnswer = 256 << 20
	// maxUnstatedAnswer is how long an answer that doesn't state its length may be. It is held whole:
	// once a part of it was relayed, no other server could answer if it has no end.
	maxUnstatedAnswer = 4 << 20
	// maxUnstatedBytes bounds the buffers that all requests together hold for such answers, beyond
	// maxBufferedAnswer each: the smallest routers have 184 MB of memory.
	maxUnstatedBytes = 32 << 20
)

// errAnswerTooLong: the answer exceeds a limit for one answer.
var errAnswerTooLong = errors.New("answer too long")

// errBuffersFull: this router holds too much of all answers together. Nothing is wrong with the server.
var errBuffersFull = errors.New("too many bytes of answers held by this router")

// isEndless reports whether an exchange was given up because the server sent more than an answer or an
// event can have. The server still runs.
func isEndless(err error) bool {
	return errors.Is(err, errAnswerTooLong) || errors.Is(err, eventstream.ErrTooLarge)
}

// unstatedBytes counts the capacity of the buffers for answers that don't state their length, beyond
// maxBufferedAnswer each.
type unstatedBytes struct {
	held atomic.Int64
}

// readRest reads the rest of an answer whose first maxBufferedAnswer bytes have been read, and returns all
// of it, for which release must be called. It returns errAnswerTooLong if the answer is too long, and
// errBuffersFull if all answers together are.
func (u *unstatedBytes) readRest(answer io.Reader, body []byte) ([]byte, error) {
	u.held.Add(int64(cap(body) - maxBufferedAnswer))
	part := make([]byte, 16<<10)
	for {
		n, err := answer.Read(part)
		counted := cap(body)
		body = append(body, part[:n]...)
		u.held.Add(int64(cap(body) - counted))
		switch {
		case err == io.EOF:
			return body, nil
		case err != nil:
			return body, err
		case len(body) > maxUnstatedAnswer:
			return body, errAnswerTooLong
		case u.held.Load() > maxUnstatedBytes:
			return body, errBuffersFull
		}
	}
}

// release ends the count of an answer that readRest returned.
func (u *unstatedBytes) release(body []byte) {
	u.held.Add(int64(maxBufferedAnswer - cap(body)))
}

// HeldBytes returns the bytes held for answers that don't state their length.
func (f *Forwarder) HeldBytes() int64 {
	return f.unstated.held.Load()
}
