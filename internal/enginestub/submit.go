package enginestub

import (
	"container/heap"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// Errors for requests that the engine rejects.
var (
	ErrUnavailable      = errors.New("enginestub: leaving, takes no new work")
	ErrQueueFull        = errors.New("enginestub: queue is full")
	ErrModelNotLoaded   = errors.New("enginestub: model is not loaded")
	ErrDuplicateAttempt = errors.New("enginestub: attempt is known already")
	ErrMisdirected      = errors.New("enginestub: meant for another backend server")
)

// submit queues an attempt.
func (e *scheduler) submit(requestID, attemptID string, req *request) (*sequence, error) {
	s := e.newSequence(requestID, attemptID, req)
	e.mu.Lock()
	defer e.mu.Unlock()
	err := e.refusal(s)
	if err != nil {
		return nil, err
	}
	e.arrivals++
	s.arrival = e.arrivals
	s.created = e.now()
	e.byAttempt[attemptID] = s
	e.runs.add(requestID, s.run)
	e.outstanding += s.run.PromptTokens + len(s.answer)
	heap.Push(&e.waiting, s)
	e.wakeUp()
	return s, nil
}

func (e *scheduler) newSequence(requestID, attemptID string, req *request) *sequence {
	s := &sequence{
		requestID: requestID,
		attemptID: attemptID,
		req:       req,
		hashes:    prefixHashes(req.model, req.prompt, e.cfg.BytesPerToken),
		queueAt:   -1,
	}
	s.answer, s.finish = req.answer(req.maxTokens)
	s.crashAt = e.crashPoint(s)
	s.run = &AttemptRun{
		Attempt:      attemptID,
		State:        RunWaiting,
		PromptTokens: req.promptTokens(e.cfg.BytesPerToken),
	}
	s.progress.init()
	return s
}

// crashPoint is the number of tokens with which s crashes the engine, always
// before its last one; -1 when it doesn't.
func (e *scheduler) crashPoint(s *sequence) int {
	if e.cfg.CrashMarker == "" || !strings.Contains(s.req.prompt, e.cfg.CrashMarker) {
		return -1
	}
	return min(e.cfg.CrashAfterTokens, len(s.answer)-1)
}

func (e *scheduler) refusal(s *sequence) error {
	switch {
	case e.leaving || e.stopped:
		return ErrUnavailable
	case !e.anyModel && !slices.Contains(e.models, s.req.model):
		return ErrModelNotLoaded
	case e.byAttempt[s.attemptID] != nil:
		return ErrDuplicateAttempt
	case len(e.waiting) >= e.cfg.MaxWaiting:
		return ErrQueueFull
	default:
		return nil
	}
}

// cancel stops an attempt and frees its slot; one that has finished is forgotten.
func (e *scheduler) cancel(attemptID string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.byAttempt[attemptID]
	if s == nil {
		return
	}
	delete(e.byAttempt, attemptID)
	switch s.run.State {
	case RunWaiting:
		heap.Remove(&e.waiting, s.queueAt)
		e.outstanding -= s.run.PromptTokens + len(s.answer)
	case RunRunning:
		e.running = slices.DeleteFunc(e.running, func(other *sequence) bool { return other == s })
		e.outstanding -= len(s.answer) - s.run.Tokens
	default:
		return
	}
	s.run.State = RunCancelled
	s.progress.set(s.run.Tokens, true)
	e.wakeUp()
}
