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
	// maxUnstatedBytes bounds what all requests together hold of such answers, beyond maxBufferedAnswer
	// each: the smallest routers have 184 MB of memory.
	maxUnstatedBytes = 32 << 20
)

// errAnswerTooLong: the answer exceeds a limit.
var errAnswerTooLong = errors.New("answer too long")

// isEndless reports whether an exchange was given up because the server sent more than an answer or an
// event can have. The server still runs.
func isEndless(err error) bool {
	return errors.Is(err, errAnswerTooLong) || errors.Is(err, eventstream.ErrTooLarge)
}

// unstatedBytes counts the bytes that are held of answers that don't state their length.
type unstatedBytes struct {
	held atomic.Int64
}

// readRest reads the rest of an answer whose first maxBufferedAnswer bytes have been read, and returns all
// of it, for which release must be called. It returns errAnswerTooLong if a limit is exceeded.
func (u *unstatedBytes) readRest(answer io.Reader, body []byte) ([]byte, error) {
	part := make([]byte, 16<<10)
	for {
		n, err := answer.Read(part)
		u.held.Add(int64(n))
		body = append(body, part[:n]...)
		switch {
		case err == io.EOF:
			return body, nil
		case err != nil:
			return body, err
		case len(body) > maxUnstatedAnswer || u.held.Load() > maxUnstatedBytes:
			return body, errAnswerTooLong
		}
	}
}

// release ends the count of an answer of the given length.
func (u *unstatedBytes) release(length int) {
	u.held.Add(int64(maxBufferedAnswer - length))
}

// HeldBytes returns the bytes held of answers that don't state their length.
func (f *Forwarder) HeldBytes() int64 {
	return f.unstated.held.Load()
}
