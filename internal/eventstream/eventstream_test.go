package eventstream

import (
	"bufio"
	"bytes"
	"io"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func readAll(stream string) (events []string, err error) {
	r := NewReader(bufio.NewReaderSize(strings.NewReader(stream), 16))
	for {
		e, err := r.Next()
		if err != nil {
			return events, err
		}
		events = append(events, string(e.Raw))
	}
}

// An incomplete event must not be forwarded, and a broken stream must not look complete.
func TestIncompleteEventIsNotReturned(t *testing.T) {
	events, err := readAll("id: 1\ndata: a\n\nid: 2\nda")
	qt.Assert(t, err, qt.Equals, io.ErrUnexpectedEOF)
	qt.Assert(t, events, qt.DeepEquals, []string{"id: 1\ndata: a\n\n"})

	events, err = readAll("id: 1\ndata: a\n\n")
	qt.Assert(t, err, qt.Equals, io.EOF)
	qt.Assert(t, events, qt.HasLen, 1)
}

func TestEventIDs(t *testing.T) {
	r := NewReader(bufio.NewReader(strings.NewReader("versions: 3\nid: 41\r\ndata: x\r\n\r\nid:x\n\n")))
	e, err := r.Next()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, e.ID, qt.Equals, int64(41))
	qt.Assert(t, e.HasID, qt.IsTrue)
	e, err = r.Next()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, e.HasID, qt.IsFalse)
}

// A server that never ends an event must not exhaust the router's memory.
func TestEventSizeIsLimited(t *testing.T) {
	_, err := readAll("data: " + strings.Repeat("x", MaxEventBytes))
	qt.Assert(t, err, qt.Equals, ErrTooLarge)
}

// The concatenated events are a prefix of the stream, whatever the input.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2"))
	f.Fuzz(func(t *testing.T, stream []byte) {
		r := NewReader(bufio.NewReaderSize(bytes.NewReader(stream), 16))
		var got []byte
		for {
			e, err := r.Next()
			if err != nil {
				break
			}
			got = append(got, e.Raw...)
		}
		if !bytes.HasPrefix(stream, got) {
			t.Fatalf("%q is no prefix of %q", got, stream)
		}
	})
}
