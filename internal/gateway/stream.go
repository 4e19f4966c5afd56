package gateway

import (
	"io"
	"net/http"

	"github.com/gofiber/fiber/v2"
	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/backend"
	"chicorytiller.example/chicorytiller/internal/core"
)

const statusOK = http.StatusOK

// errStreamFailed makes the HTTP library close the connection without the end of
// the chunked body, so that a broken answer can't be taken for a whole one.
var errStreamFailed = errors.New("gateway: the stream failed")

// unboundedBody tells the HTTP library that a body's length isn't known.
const unboundedBody = -1

// answerStream answers with server-sent events. The first chunk is awaited here,
// so that a request which fails before it still gets an HTTP status of its own.
func (s *Server) answerStream(c *fiber.Ctx, run *chatRun) error {
	handedOver := false
	defer func() {
		if !handedOver {
			run.release()
		}
	}()
	first, err := run.next()
	if err != nil {
		return err
	}
	body := &streamBody{run: run}
	body.put(first)
	setStreamHeaders(c)
	c.Set(headerRequestID, string(run.head.ID))
	s.inFlight.Add(1) // given back by Close
	handedOver = true
	c.Context().SetBodyStream(body, unboundedBody)
	return nil
}

func setStreamHeaders(c *fiber.Ctx) {
	c.Set(fiber.HeaderContentType, "text/event-stream")
	c.Set(fiber.HeaderCacheControl, "no-cache")
}

// streamEnd is what ends a stream: the last chunk, the usage, the end marker.
func streamEnd(head answerHead, last []byte, usage backend.Usage) ([]byte, error) {
	counted, err := usageChunk(head, usage)
	if err != nil {
		return nil, err
	}
	end := appendEvent(nil, last)
	end = appendEvent(end, counted)
	return appendEvent(end, []byte(doneMarker)), nil
}

// streamBody is the body of a streamed answer. The HTTP library reads it, writes
// and flushes what each Read gave, and closes it at the end or when the caller is
// gone. Engine chunks are only read when the caller's connection has taken the
// earlier ones, so that a slow caller costs no memory.
type streamBody struct {
	run     *chatRun
	pending []byte // events that are not read yet
	buffer  []byte // backs pending
	last    []byte // the last chunk, held until the request is billed
	end     error  // what Read gives after pending
	closed  bool
}

// Read implements io.Reader. It returns as soon as no further chunk can be had
// without waiting.
func (b *streamBody) Read(p []byte) (n int, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			n, err = 0, b.panicked(cause)
		}
	}()
	for {
		taken := copy(p[n:], b.pending)
		b.pending = b.pending[taken:]
		n += taken
		if len(b.pending) > 0 || (n > 0 && b.mustWait()) {
			return n, nil
		}
		if b.end != nil {
			return 0, b.end
		}
		b.fill()
	}
}

// panicked ends the answer after a fault of the program.
//
// Failure: the HTTP library recovers here in silence and closes the body as if the
// caller had gone: nobody would learn of the fault, and the caller would be billed
// for an answer that the router broke off. So it is told, and nothing is billed.
func (b *streamBody) panicked(cause any) error {
	b.run.server.events.EmitPanic("a streamed answer", cause)
	b.run.release()
	b.pending = nil
	b.end = errStreamFailed
	return b.end
}

// mustWait tells whether the next event isn't there yet.
func (b *streamBody) mustWait() bool {
	if b.end != nil || b.last != nil {
		return true
	}
	stream := b.run.attempt.stream
	return stream == nil || !stream.Buffered()
}

// fill makes the next events pending.
func (b *streamBody) fill() {
	if b.last != nil {
		b.conclude()
		return
	}
	next, err := b.run.next()
	if err != nil {
		b.fail(err)
		return
	}
	b.put(next)
}

// put makes a chunk pending, or holds it back if it is the last one.
func (b *streamBody) put(next piece) {
	if next.last {
		b.last = append([]byte{}, next.raw...)
		return
	}
	b.buffer = appendEvent(b.buffer[:0], next.raw)
	b.pending = b.buffer
}

// conclude bills the answer and then lets its end go.
func (b *streamBody) conclude() {
	if err := b.run.conclude(); err != nil {
		b.fail(err)
		return
	}
	end, err := streamEnd(b.run.head, b.last, b.run.usage)
	if err != nil {
		b.fail(err)
		return
	}
	b.run.server.metrics.answered(kindChat)
	b.pending = end
	b.end = io.EOF
}

// fail tells the caller by an event that the answer isn't whole.
func (b *streamBody) fail(err error) {
	refusal, _ := asRefusal(err)
	b.run.server.metrics.refused(kindChat, refusal)
	b.pending = errorEvent(refusal)
	b.end = errStreamFailed
}

// Close implements io.Closer. A run that has not ended by then has lost its caller.
func (b *streamBody) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	run := b.run
	server := run.server
	if run.settled || !run.request.keyed() {
		defer server.inFlight.Add(-1)
		b.callerGone()
		return nil
	}
	// A caller with an idempotency key will ask again: cancelled now, the retry
	// would pay for the whole answer once more and wait for it from the start.
	// Run to its end and billed once, it is found by the retry. The deadline
	// and the account's concurrency limit bound such runs.
	run.bound = false
	server.work.Go(func() {
		defer server.inFlight.Add(-1)
		defer run.release()
		defer server.recoverTold("a run without its caller")
		b.completeAlone()
	})
	return nil
}

// callerGone cancels a run whose caller hung up and bills what it was sent.
func (b *streamBody) callerGone() {
	run := b.run
	if run.settled {
		run.release()
		return
	}
	run.server.metrics.refused(kindChat, &core.Refusal{Cause: core.CauseCallerGone, Outcome: core.OutcomeUnknown})
	run.abandon(core.CauseCallerGone, run.usedSoFar())
}

// completeAlone takes the rest of the answer for a later retry.
func (b *streamBody) completeAlone() {
	run := b.run
	var err error
	if b.last != nil {
		err = run.conclude()
	} else {
		err = run.complete()
	}
	if err != nil {
		refusal, _ := asRefusal(err)
		run.server.metrics.refused(kindChat, refusal)
		return
	}
	run.server.metrics.answered(kindChat)
}
