package idempotency

import (
	"net/http"

	"chicorytiller.example/chicorytiller/internal/forward"
)

// maxAnswerBytes is the maximum size of an answer body that a claim holds. The stream of a long
// generation has about 100 KB; the store limits the size of its values.
const maxAnswerBytes = 256 << 10

// recorder forwards an answer to the caller and records it.
type recorder struct {
	caller forward.Caller

	refusal *forward.Refusal
	status  int
	header  http.Header
	body    []byte
	tooLong bool // the body exceeds maxAnswerBytes and was dropped
	aborted bool
}

var _ forward.Caller = (*recorder)(nil)

// Refuse implements forward.Caller.
func (r *recorder) Refuse(refusal forward.Refusal) {
	r.refusal = &refusal
	r.caller.Refuse(refusal)
}

// Answer implements forward.Caller. It records the answer even if the caller can't be written to,
// since repeats need it.
func (r *recorder) Answer(status int, header http.Header, body []byte) error {
	r.status, r.header = status, header
	r.appendBody(body)
	return r.caller.Answer(status, header, body)
}

// Begin implements forward.Caller.
func (r *recorder) Begin(status int, header http.Header, length int64) {
	r.status, r.header = status, header
	r.caller.Begin(status, header, length)
}

// Write implements forward.Caller.
func (r *recorder) Write(part []byte) error {
	r.appendBody(part)
	return r.caller.Write(part)
}

// Abort implements forward.Caller.
func (r *recorder) Abort() {
	r.aborted = true
	r.caller.Abort()
}

func (r *recorder) appendBody(part []byte) {
	if len(r.body)+len(part) > maxAnswerBytes {
		r.tooLong, r.body = true, nil
		return
	}
	if !r.tooLong {
		r.body = append(r.body, part...)
	}
}

// outcome returns the state of the claim after the request.
func (r *recorder) outcome() state {
	switch {
	case r.refusal != nil || r.aborted || r.status == 0:
		return outcomeUnknown
	case r.tooLong:
		return answerTooLong
	}
	return answered
}
