package dedup

import (
	"container/list"
	"time"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/id"
)

// ErrKeyReused: the key is in use for a request with another body.
var ErrKeyReused = errors.New("dedup: idempotency key used again with another body")

// State is what the serving router knows of the request under a key.
type State int

// States of a request under a key.
const (
	// StateNew: the key was not known; the caller of Begin runs the request.
	StateNew State = iota + 1
	// StateInProgress: the request runs; wait for it.
	StateInProgress
	// StateFinished: the request has its answer.
	StateFinished
)

// Status is the result of Begin and Lookup.
type Status[A any] struct {
	State    State
	Request  id.Request // of the first run; retries share it and its bill
	BodyHash uint64
	Answer   A    // set when Kept
	Kept     bool // false when finished: the answer was dropped for lack of room
	Waiters  int
}

// Table holds the requests under keys that one router serves. It keeps all that
// are in progress, and finished ones until the retention is over. The answers
// of the longest unused keys are dropped when they take more than maxBytes.
type Table[A any] struct {
	retention time.Duration
	maxBytes  int
	bytes     int
	records   map[Key]*record[A]
	finished  *list.List // of *record[A] by time of finish, oldest first
	answers   *list.List // of *record[A] with a kept answer, longest unused first
}

type record[A any] struct {
	key        Key
	request    id.Request
	bodyHash   uint64
	state      State
	waiters    int
	finishedAt time.Time
	answer     A
	bytes      int
	inFinished *list.Element
	inAnswers  *list.Element // nil: the answer isn't kept
}

// NewTable makes an empty table.
func NewTable[A any](retention time.Duration, maxBytes int) *Table[A] {
	return &Table[A]{
		retention: retention,
		maxBytes:  maxBytes,
		records:   make(map[Key]*record[A]),
		finished:  list.New(),
		answers:   list.New(),
	}
}

// Begin starts the request under the key, or tells what became of the first
// one. It returns ErrKeyReused when that had another body.
func (t *Table[A]) Begin(now time.Time, key Key, request id.Request, bodyHash uint64) (Status[A], error) {
	t.Expire(now)
	r, found := t.records[key]
	if !found {
		r = &record[A]{key: key, request: request, bodyHash: bodyHash, state: StateInProgress}
		t.records[key] = r
		status := r.status()
		status.State = StateNew
		return status, nil
	}
	// Failure: a caller uses its key again for another question and would be
	// given the answer to the first. An error tells it.
	if r.bodyHash != bodyHash {
		return Status[A]{}, ErrKeyReused
	}
	t.touch(r)
	return r.status(), nil
}

// Lookup is Begin for a question that starts nothing.
func (t *Table[A]) Lookup(key Key) (Status[A], bool) {
	r, found := t.records[key]
	if !found {
		return Status[A]{}, false
	}
	t.touch(r)
	return r.status(), true
}

// Finish keeps the answer, whose size in bytes the caller gives. It returns
// false if the request is not in progress under the key.
func (t *Table[A]) Finish(now time.Time, key Key, request id.Request, answer A, bytes int) bool {
	r, found := t.records[key]
	if !found || r.request != request || r.state != StateInProgress {
		return false
	}
	r.state = StateFinished
	r.finishedAt = now
	r.inFinished = t.finished.PushBack(r)
	if bytes <= t.maxBytes {
		r.answer = answer
		r.bytes = bytes
		r.inAnswers = t.answers.PushBack(r)
		t.bytes += bytes
	}
	t.makeRoom()
	return true
}

// Fail forgets a request in progress that ended without an answer and without a
// bill: the next Begin of the key runs again.
func (t *Table[A]) Fail(key Key, request id.Request) bool {
	r, found := t.records[key]
	if !found || r.request != request || r.state != StateInProgress {
		return false
	}
	delete(t.records, key)
	return true
}

// Wait counts one more caller that waits for the key's answer and returns how
// many wait; false if nothing is in progress under it.
func (t *Table[A]) Wait(key Key) (int, bool) {
	r, found := t.records[key]
	if !found || r.state != StateInProgress {
		return 0, false
	}
	r.waiters++
	return r.waiters, true
}

// Leave counts one waiting caller less. It may be called after the answer came.
func (t *Table[A]) Leave(key Key) {
	r, found := t.records[key]
	if found && r.waiters > 0 {
		r.waiters--
	}
}

// Expire forgets what finished longer than the retention ago.
func (t *Table[A]) Expire(now time.Time) {
	for front := t.finished.Front(); front != nil; front = t.finished.Front() {
		r := front.Value.(*record[A])
		if now.Sub(r.finishedAt) < t.retention {
			return
		}
		t.dropAnswer(r)
		t.finished.Remove(front)
		delete(t.records, r.key)
	}
}

// Len is the number of keys kept, in progress and finished.
func (t *Table[A]) Len() int {
	return len(t.records)
}

// Bytes is the size of the kept answers.
func (t *Table[A]) Bytes() int {
	return t.bytes
}

func (t *Table[A]) touch(r *record[A]) {
	if r.inAnswers != nil {
		t.answers.MoveToBack(r.inAnswers)
	}
}

func (t *Table[A]) makeRoom() {
	for t.bytes > t.maxBytes {
		t.dropAnswer(t.answers.Front().Value.(*record[A]))
	}
}

// dropAnswer drops the answer alone. The record stays, so that a retry is still
// known to be one: it runs again under the first run's request id and bill.
func (t *Table[A]) dropAnswer(r *record[A]) {
	if r.inAnswers == nil {
		return
	}
	t.answers.Remove(r.inAnswers)
	r.inAnswers = nil
	t.bytes -= r.bytes
	var none A
	r.answer = none
	r.bytes = 0
}

func (r *record[A]) status() Status[A] {
	return Status[A]{
		State:    r.state,
		Request:  r.request,
		BodyHash: r.bodyHash,
		Answer:   r.answer,
		Kept:     r.inAnswers != nil,
		Waiters:  r.waiters,
	}
}
