package httpbackend

import (
	"bufio"
	"bytes"
	"io"

	"github.com/pkg/errors"
)

var (
	dataField    = []byte("data:")
	doneEvent    = []byte("[DONE]")
	endOfEvent   = []byte("\n\n")
	space        = []byte(" ")
	lineEndBytes = "\r\n"
)

// nextEvent returns the data of the next server-sent event that has any, valid
// until the next read of r. Engines send one data line for each event; other
// fields, comments and blank lines are skipped, as the event-stream format
// allows. io.EOF means that the body has ended.
func nextEvent(r *bufio.Reader) ([]byte, error) {
	for {
		line, err := r.ReadSlice('\n')
		if err == io.EOF && len(line) > 0 {
			return nil, errors.Wrap(ErrTruncated, "inside an event")
		}
		if err != nil {
			return nil, err
		}
		data, found := bytes.CutPrefix(line, dataField)
		if !found {
			continue
		}
		data = bytes.TrimPrefix(data, space)
		return bytes.TrimRight(data, lineEndBytes), nil
	}
}

// hasEvent tells whether r's buffer holds the end of an event, so that one can
// be read without waiting.
func hasEvent(r *bufio.Reader) bool {
	buffered, _ := r.Peek(r.Buffered())
	return bytes.Contains(buffered, endOfEvent)
}
