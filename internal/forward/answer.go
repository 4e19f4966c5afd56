package forward

import (
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/fleet"
	"chicorytiller.example/chicorytiller/internal/upstream"
)

// relayBuffered reads an answer to its end before it sends any of it to the caller. Answers that state
// a length of maxBufferedAnswer bytes or more are passed to relayUnbuffered.
func (t *task) relayBuffered(watch *watchdog, server *fleet.Server, reply *upstream.Reply) outcome {
	if reply.Length > maxStatedAnswer && t.r.Method != http.MethodHead {
		return t.handleBroken(watch, server, errAnswerTooLong)
	}
	watch.resume()
	body, err := io.ReadAll(io.LimitReader(reply, maxBufferedAnswer))
	if err == nil && len(body) == maxBufferedAnswer && reply.Length < 0 {
		body, err = t.f.unstated.readRest(reply, body)
		defer t.f.unstated.release(body)
	} else if err == nil && len(body) == maxBufferedAnswer {
		if !watch.end() {
			return t.handleBroken(watch, server, errStalled)
		}
		return t.relayUnbuffered(watch, server, reply, body)
	}
	watch.end()
	if errors.Is(err, errBuffersFull) {
		// Another server's answer would meet the same limit.
		t.logFailure(server, "router's buffers full", err)
		t.giveUp(BackendFailed)
		return finished
	}
	if err != nil {
		return t.handleBroken(watch, server, err)
	}
	t.answerRead = true
	serverError := reply.Status >= http.StatusInternalServerError && reply.Status != http.StatusGatewayTimeout
	if serverError && t.r.Route.Retryable() && t.hasCandidate() && t.acquireRetry("failed") {
		t.logFailure(server, "failed", errors.Errorf("status %d", reply.Status))
		return retryGranted
	}
	server.RecordSuccess()
	t.firstByteAt = time.Now()
	if reply.Status == http.StatusOK {
		t.stream.Event(t.firstByteAt)
		t.succeeded = true
		t.setOutput(reply.OutputTokens)
	}
	if err := t.caller.Answer(reply.Status, reply.Header, body); err != nil {
		t.callerStalled = errors.Is(err, ErrCallerStalled)
		return callerGone
	}
	t.recordServed(server, reply)
	return finished
}

// setOutput records the output tokens of an answer. If the server does not report them, the maximum
// that the request asked for is charged: otherwise an account could consume more than it has paid
// for.
func (t *task) setOutput(output int) {
	t.output = output
	if output == upstream.OutputUnknown {
		t.output = t.r.MaxOutputTokens
	}
}

// relayUnbuffered relays an answer that is too long to be buffered; buffered is the part already
// read.
func (t *task) relayUnbuffered(watch *watchdog, server *fleet.Server, reply *upstream.Reply, buffered []byte) outcome {
	t.headSent, t.firstByteAt = true, time.Now()
	t.isErrorAnswer = reply.Status != http.StatusOK
	t.setOutput(reply.OutputTokens)
	t.caller.Begin(reply.Status, reply.Header, reply.Length)
	part := buffered
	buf := make([]byte, 16<<10)
	for {
		if err := t.send(watch, part); err != nil {
			return callerGone
		}
		n, err := reply.Read(buf)
		part = buf[:n]
		if err == nil {
			continue
		}
		if n > 0 {
			if failure := t.send(watch, part); failure != nil {
				return callerGone
			}
		}
		if err == io.EOF {
			server.RecordSuccess()
			t.recordServed(server, reply)
			return finished
		}
		if t.handleBroken(watch, server, err) == callerGone {
			return callerGone
		}
		t.giveUp(BackendFailed)
		return finished
	}
}
