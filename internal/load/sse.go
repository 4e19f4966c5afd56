package load

import (
	"bufio"
	"bytes"
	"io"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fastjson"
)

// maxLineBytes limits the length of a line of a stream.
const maxLineBytes = 64 << 10

var (
	dataPrefix = []byte("data:")
	doneMarker = []byte("[DONE]")
)

// eventReader reads the data of server-sent events. It treats each data line as one
// event, since OpenAI streams put a complete JSON value in each.
type eventReader struct {
	lines *bufio.Reader
}

func newEventReader() *eventReader {
	return &eventReader{lines: bufio.NewReaderSize(nil, maxLineBytes)}
}

func (r *eventReader) reset(body io.Reader) {
	r.lines.Reset(body)
}

// next returns the next event's data, valid until the following call. It returns
// io.EOF at the end of the body and ErrLineTooLong for a line past maxLineBytes.
func (r *eventReader) next() ([]byte, error) {
	for {
		line, err := r.lines.ReadSlice('\n')
		if err == bufio.ErrBufferFull {
			return nil, ErrLineTooLong
		}
		if err != nil {
			// An unterminated line belongs to an incomplete event and is dropped.
			return nil, err
		}
		data, found := bytes.CutPrefix(line, dataPrefix)
		if found {
			return bytes.TrimSpace(data), nil
		}
	}
}

// streamReader reads a streamed completion. It can be reused for further streams, but
// not concurrently.
type streamReader struct {
	events *eventReader
	parser fastjson.Parser
}

// read reads a stream to the end of the body, checks its content with checker and
// records the result in out. The error is a *Refusal if the stream has an error event.
func (s *streamReader) read(body io.Reader, checker *answerChecker, out *tryResult) error {
	s.events.reset(body)
	for {
		data, err := s.events.next()
		if err != nil {
			return errors.Wrapf(ErrInterrupted, "after %d bytes: %v", checker.offset, err)
		}
		if bytes.Equal(data, doneMarker) {
			break
		}
		if err := s.readChunk(data, checker, out); err != nil {
			return err
		}
	}
	// The connection can be reused only if the body is read to its end.
	if _, err := s.events.next(); err == nil {
		return errors.Wrap(ErrMismatch, "an event follows [DONE]")
	}
	return checker.finish(out.finishReason)
}

// readChunk parses and checks one chunk of the stream.
func (s *streamReader) readChunk(data []byte, checker *answerChecker, out *tryResult) error {
	value, err := s.parser.ParseBytes(data)
	if err != nil {
		return errors.Wrap(ErrMismatch, "a chunk is not JSON")
	}
	if value.Exists("error") {
		return newRefusal(value, out.status, 0)
	}
	if id := value.GetStringBytes("id"); len(id) > 0 && out.requestID == "" {
		out.requestID = string(id)
	}
	out.parseUsage(value)
	content := value.GetStringBytes("choices", "0", "delta", "content")
	if reason := value.GetStringBytes("choices", "0", "finish_reason"); len(reason) > 0 {
		out.finishReason = string(reason)
	}
	if len(content) == 0 {
		return nil
	}
	out.recordContent(time.Now())
	return checker.add(content)
}
