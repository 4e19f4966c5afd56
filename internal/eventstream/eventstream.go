// Package eventstream reads a stream of server-sent events event by event, so
// that an event is passed on whole or not at all.
package eventstream

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

// MaxEventBytes bounds the bytes of one event.
const MaxEventBytes = 1 << 20

// ErrTooLarge: an event is larger than MaxEventBytes.
var ErrTooLarge = errors.New("eventstream: event too large")

// Event is one event as it was sent, with its closing empty line.
type Event struct {
	Raw   []byte
	ID    int64 // of the field id, if HasID
	HasID bool
}

// Reader reads events.
type Reader struct {
	r   *bufio.Reader
	buf []byte
}

// NewReader reads from r.
func NewReader(r *bufio.Reader) *Reader {
	return &Reader{r: r}
}

// Next returns the next event; its Raw is valid until the next call. At the end
// it returns io.EOF, and io.ErrUnexpectedEOF if the end came within an event.
func (r *Reader) Next() (Event, error) {
	r.buf = r.buf[:0]
	e := Event{}
	for {
		start := len(r.buf)
		if err := r.line(); err != nil {
			if err == io.EOF && len(r.buf) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return Event{}, err
		}
		line := bytes.TrimRight(r.buf[start:], "\r\n")
		if len(line) == 0 {
			e.Raw = r.buf
			return e, nil
		}
		if id, found := bytes.CutPrefix(line, []byte("id:")); found {
			n, err := strconv.ParseInt(string(bytes.TrimSpace(id)), 10, 64)
			e.ID, e.HasID = n, err == nil
		}
	}
}

// line appends one line with its end to the buffer.
func (r *Reader) line() error {
	for {
		part, err := r.r.ReadSlice('\n')
		r.buf = append(r.buf, part...)
		if len(r.buf) > MaxEventBytes {
			return ErrTooLarge
		}
		if err != bufio.ErrBufferFull {
			return err
		}
	}
}

// Buffered says whether another event may be read without waiting.
func (r *Reader) Buffered() bool {
	return r.r.Buffered() > 0
}
