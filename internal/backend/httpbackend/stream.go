package httpbackend

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fastjson"

	"chicorytiller.example/chicorytiller/internal/backend"
)

// drainTimeout bounds the wait for the last bytes of a finished stream. They
// come with the usage; a connection that has not got them by then is closed.
const drainTimeout = 50 * time.Millisecond

// drainBytes is more than "[DONE]" and the end of the body need.
const drainBytes = 1 << 10

// stream is one running completion over one connection.
type stream struct {
	ctx    context.Context
	client *Client
	x      *exchange
	op     string
	parser *fastjson.Parser
	next   int64 // offset that the next chunk has to have
	ended  error // what Next returns from now on; io.EOF after the last chunk
	closed bool
	usage  backend.Usage
	last   []byte // Raw of the last chunk, kept while its usage is awaited
}

func newStream(ctx context.Context, c *Client, x *exchange, op string, offset int64) *stream {
	l := x.link
	l.silence = c.cfg.FirstChunkTimeout
	body := x.resp.BodyStream()
	if l.events == nil {
		l.events = bufio.NewReaderSize(body, eventBufferBytes)
	} else {
		l.events.Reset(body)
	}
	return &stream{ctx: ctx, client: c, x: x, op: op, parser: parsers.Get(), next: offset}
}

// Next returns the next chunk. Chunks that the stream has already given are
// dropped.
func (s *stream) Next() (backend.Chunk, error) {
	if s.ended != nil {
		return backend.Chunk{}, s.ended
	}
	chunk, err := s.nextContent()
	if err != nil {
		return backend.Chunk{}, s.fail(err)
	}
	if chunk.FinishReason == "" {
		return chunk, nil
	}
	chunk, err = s.foldUsage(chunk)
	if err != nil {
		return backend.Chunk{}, s.fail(err)
	}
	s.ended = io.EOF
	return chunk, nil
}

// nextContent reads up to a chunk that continues the answer.
func (s *stream) nextContent() (backend.Chunk, error) {
	for {
		event, err := s.readEvent()
		if err != nil {
			return backend.Chunk{}, err
		}
		if event.usageOnly {
			return backend.Chunk{}, errors.Wrap(ErrTruncated, "usage before a finish reason")
		}
		fresh, err := s.accept(event.chunk)
		if err != nil {
			return backend.Chunk{}, err
		}
		if fresh {
			s.x.link.silence = s.client.cfg.ChunkTimeout
			return event.chunk, nil
		}
	}
}

// accept checks a chunk's place in the answer. An engine may repeat chunks
// after a resume: a repeat is dropped, else the caller would read it twice. A
// chunk past the expected place, or one that overlaps it, would splice the
// answer: the stream breaks instead, and the router resumes at s.next.
func (s *stream) accept(chunk backend.Chunk) (bool, error) {
	end := chunk.Offset + int64(chunk.Tokens)
	if chunk.Offset == s.next {
		s.next = end
		return true, nil
	}
	if end <= s.next {
		return false, nil
	}
	return false, errors.Wrapf(ErrChunkGap, "expected offset %d, got %d with %d tokens", s.next, chunk.Offset, chunk.Tokens)
}

// foldUsage waits for the usage that follows the last chunk and puts it there.
func (s *stream) foldUsage(last backend.Chunk) (backend.Chunk, error) {
	if last.Usage != nil {
		return last, nil
	}
	s.last = append(s.last[:0], last.Raw...)
	last.Raw = s.last
	for {
		event, err := s.readEvent()
		if err != nil {
			return backend.Chunk{}, err
		}
		if event.usageOnly {
			s.usage = *event.chunk.Usage
			last.Usage = &s.usage
			return last, nil
		}
		end := event.chunk.Offset + int64(event.chunk.Tokens)
		if end > s.next {
			return backend.Chunk{}, errors.Wrap(ErrMalformedChunk, "content after the finish reason")
		}
	}
}

func (s *stream) readEvent() (decoded, error) {
	data, err := nextEvent(s.x.link.events)
	if err == io.EOF {
		return decoded{}, ErrTruncated
	}
	if errors.Is(err, bufio.ErrBufferFull) {
		return decoded{}, errors.Wrap(ErrMalformedChunk, "event too long")
	}
	if err != nil {
		return decoded{}, err
	}
	if bytes.Equal(data, doneEvent) {
		return decoded{}, ErrTruncated
	}
	return decodeChunk(s.parser, data)
}

// fail ends the stream: after a failure nothing that follows can be trusted.
func (s *stream) fail(err error) error {
	s.ended = &Error{
		Kind:    backend.ErrBroken,
		Op:      s.op,
		Address: s.x.link.address,
		Cause:   causeOf(s.ctx, err),
	}
	return s.ended
}

// Buffered tells whether the end of a further event has been received.
func (s *stream) Buffered() bool {
	if s.ended != nil {
		return false
	}
	return hasEvent(s.x.link.events) || hasEvent(s.x.link.reader)
}

// Close frees the connection. Only after a whole answer it is used again; the
// engine sees the connection of an abandoned stream close. Close must not run
// together with Next: to interrupt a waiting Next, cancel the context.
func (s *stream) Close() error {
	if s.closed {
		return nil
	}
	s.closed = true
	whole := s.ended == io.EOF && s.drain()
	if s.ended == nil {
		s.ended = io.ErrClosedPipe
	}
	// The body goes back to fasthttp's pool; no later read may reach it.
	s.x.link.events.Reset(nil)
	s.client.finish(s.x, whole)
	parsers.Put(s.parser)
	return nil
}

// drain reads the rest of a finished body and tells whether it was reached.
func (s *stream) drain() bool {
	s.x.link.silence = drainTimeout
	n, err := io.CopyN(io.Discard, s.x.link.events, drainBytes)
	return err == io.EOF && n < drainBytes
}
