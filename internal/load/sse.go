package load

import (
	"bufio"
	"bytes"
	"io"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fastjson"
)

// maxLineBytes bounds one line of a stream.
const maxLineBytes = 64 << 10

var (
	dataPrefix = []byte("data:")
	doneData   = []byte("[DONE]")
)

// eventReader reads the data of server-sent events. OpenAI streams put one JSON
// value in one data line, so that each data line is one event.
type eventReader struct {
	lines *bufio.Reader
}

func newEventReader() *eventReader {
	return &eventReader{lines: bufio.NewReaderSize(nil, maxLineBytes)}
}

func (r *eventReader) reset(body io.Reader) {
	r.lines.Reset(body)
}

// next gives the next event's data, valid until the following call. It returns
// io.EOF at the end of the body and ErrLineTooLong for a line past maxLineBytes.
func (r *eventReader) next() ([]byte, error) {
	for {
		line, err := r.lines.ReadSlice('\n')
		if err == bufio.ErrBufferFull {
			return nil, ErrLineTooLong
		}
		if err != nil {
			// A line without its end is part of a broken event, so it is dropped.
			return nil, err
		}
		data, found := bytes.CutPrefix(line, dataPrefix)
		if found {
			return bytes.TrimSpace(data), nil
		}
	}
}

// streamReader reads one streamed completion. It is for one goroutine and is
// used again for later streams.
type streamReader struct {
	events *eventReader
	parser fastjson.Parser
}

// read reads a stream up to [DONE] and the body's end, and checks it against
// check. It fills reply. A *Refusal is an error event within the stream.
func (s *streamReader) read(body io.Reader, check *answerCheck, reply *reply) error {
	s.events.reset(body)
	for {
		data, err := s.events.next()
		if err != nil {
			return errors.Wrapf(ErrInterrupted, "after %d bytes: %v", check.position, err)
		}
		if bytes.Equal(data, doneData) {
			break
		}
		if err := s.chunk(data, check, reply); err != nil {
			return err
		}
	}
	// The body's end is read too, so that the connection can be used again.
	if _, err := s.events.next(); err == nil {
		return errors.Wrap(ErrMismatch, "an event follows [DONE]")
	}
	return check.finish(reply.finish)
}

// chunk takes one chunk of the stream.
func (s *streamReader) chunk(data []byte, check *answerCheck, reply *reply) error {
	value, err := s.parser.ParseBytes(data)
	if err != nil {
		return errors.Wrap(ErrMismatch, "a chunk is no JSON")
	}
	if value.Exists("error") {
		return refusalOf(value, reply.status, 0)
	}
	if id := value.GetStringBytes("id"); len(id) > 0 && reply.requestID == "" {
		reply.requestID = string(id)
	}
	reply.takeUsage(value)
	content := value.GetStringBytes("choices", "0", "delta", "content")
	if reason := value.GetStringBytes("choices", "0", "finish_reason"); len(reason) > 0 {
		reply.finish = string(reason)
	}
	if len(content) == 0 {
		return nil
	}
	reply.mark(time.Now())
	return check.add(content)
}
