// Package eventstream splits a stream of server-sent events into events, so that each event
// can be forwarded completely or not at all.
package eventstream

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

// MaxEventBytes is the maximum size of an event.
const MaxEventBytes = 1 << 20

// ErrTooLarge is returned for an event larger than MaxEventBytes.
var ErrTooLarge = errors.New("eventstream: event too large")

// Event is a server-sent event.
type Event struct {
	Raw   []byte // as sent, including the empty line at its end
	ID    int64  // value of the id field, valid if HasID
	HasID bool
}

// Reader reads events from a stream.
type Reader struct {
	r   *bufio.Reader
	buf []byte
}

// NewReader returns a Reader that reads from r.
func NewReader(r *bufio.Reader) *Reader {
	return &Reader{r: r}
}

// Next returns the next event, whose Raw is valid until the next call. At the end of the
// stream it returns io.EOF, or io.ErrUnexpectedEOF if the last event is incomplete.
func (r *Reader) Next() (Event, error) {
	r.buf = r.buf[:0]
	e := Event{}
	for {
		start := len(r.buf)
		if err := r.readLine(); err != nil {
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

// readLine appends the next line, including its line break, to buf.
func (r *Reader) readLine() error {
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

// Buffered reports whether there is buffered data, so that the next event might be read without
// blocking.
func (r *Reader) Buffered() bool {
	return r.r.Buffered() > 0
}
