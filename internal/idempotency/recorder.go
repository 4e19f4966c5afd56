package idempotency

import (
	"net/http"

	"chicorytiller.example/chicorytiller/internal/forward"
)

// answerMost is the longest body that a claim keeps, in bytes: a long generation's
// stream has some 100 KB, and the store bounds its values.
const answerMost = 256 << 10

// recorder passes an answer on and keeps it.
type recorder struct {
	caller forward.Caller

	refused *forward.Refusal
	status  int
	header  http.Header
	body    []byte
	long    bool // the body is not all kept
	aborted bool
}

var _ forward.Caller = (*recorder)(nil)

// Refuse implements forward.Caller.
func (r *recorder) Refuse(refusal forward.Refusal) {
	r.refused = &refusal
	r.caller.Refuse(refusal)
}

// Answer implements forward.Caller. What matters for repeats is what the server
// answered, not whether this caller took it.
func (r *recorder) Answer(status int, header http.Header, body []byte) error {
	r.status, r.header = status, header
	r.keep(body)
	return r.caller.Answer(status, header, body)
}

// Begin implements forward.Caller.
func (r *recorder) Begin(status int, header http.Header, length int64) {
	r.status, r.header = status, header
	r.caller.Begin(status, header, length)
}

// Write implements forward.Caller.
func (r *recorder) Write(part []byte) error {
	r.keep(part)
	return r.caller.Write(part)
}

// Abort implements forward.Caller.
func (r *recorder) Abort() {
	r.aborted = true
	r.caller.Abort()
}

func (r *recorder) keep(part []byte) {
	if len(r.body)+len(part) > answerMost {
		r.long, r.body = true, nil
		return
	}
	if !r.long {
		r.body = append(r.body, part...)
	}
}

// outcome is the claim's state after the request.
func (r *recorder) outcome() state {
	switch {
	case r.refused != nil || r.aborted || r.status == 0:
		return unclear
	case r.long:
		return unkept
	}
	return answered
}
