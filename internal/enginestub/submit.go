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
	ErrTooLarge         = errors.New("enginestub: request is larger than the memory")
	ErrModelNotLoaded   = errors.New("enginestub: model is not loaded")
	ErrDuplicateAttempt = errors.New("enginestub: attempt is known already")
	ErrMisdirected      = errors.New("enginestub: meant for another backend server")
)

// submit queues an attempt, or returns an error if the engine rejects it.
func (s *scheduler) submit(requestID, attemptID string, req *request) (*sequence, error) {
	seq := s.newSequence(requestID, attemptID, req)
	s.mu.Lock()
	defer s.mu.Unlock()
	err := s.checkSubmit(seq)
	if err != nil {
		return nil, err
	}
	s.arrivals++
	seq.arrival = s.arrivals
	seq.created = s.now()
	s.byAttempt[attemptID] = seq
	s.runs.add(requestID, seq.run)
	s.outstandingTokens += seq.run.PromptTokens + len(seq.answer)
	heap.Push(&s.waiting, seq)
	s.wakeUp()
	return seq, nil
}

func (s *scheduler) newSequence(requestID, attemptID string, req *request) *sequence {
	seq := &sequence{
		requestID:   requestID,
		attemptID:   attemptID,
		req:         req,
		blockHashes: prefixHashes(req.model, req.prompt, s.cfg.BytesPerToken),
		heapIndex:   -1,
	}
	seq.answer, seq.finishReason = req.answer(s.cfg.Version, req.maxTokens)
	seq.crashTokens = s.crashTokenCount(seq)
	seq.run = &AttemptRun{
		Attempt:      attemptID,
		State:        RunWaiting,
		PromptTokens: req.promptTokens(s.cfg.BytesPerToken),
	}
	seq.progress.init()
	return seq
}

// crashTokenCount returns the number of generated tokens at which seq crashes the engine, or -1
// if it does not. The engine never generates the last token before it crashes.
func (s *scheduler) crashTokenCount(seq *sequence) int {
	if s.cfg.CrashMarker == "" || !strings.Contains(seq.req.prompt, s.cfg.CrashMarker) {
		return -1
	}
	return min(s.cfg.CrashAfterTokens, len(seq.answer)-1)
}

// checkSubmit returns the reason to reject seq, or nil.
func (s *scheduler) checkSubmit(seq *sequence) error {
	switch {
	case s.draining || s.stopped:
		return ErrUnavailable
	case !s.anyModel && !slices.Contains(s.models, seq.req.model):
		return ErrModelNotLoaded
	case s.byAttempt[seq.attemptID] != nil:
		return ErrDuplicateAttempt
	case len(s.waiting) >= s.cfg.MaxWaiting:
		return ErrQueueFull
	case seq.maxMemoryTokens() > s.memoryCapacity():
		return ErrTooLarge
	default:
		return nil
	}
}

// cancel removes an attempt from the scheduler. An attempt that has not finished ends and frees
// its slot.
func (s *scheduler) cancel(attemptID string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	seq := s.byAttempt[attemptID]
	if seq == nil {
		return
	}
	delete(s.byAttempt, attemptID)
	switch seq.run.State {
	case RunWaiting:
		heap.Remove(&s.waiting, seq.heapIndex)
		s.outstandingTokens -= seq.maxMemoryTokens() - seq.run.Tokens
	case RunRunning:
		s.running = slices.DeleteFunc(s.running, func(other *sequence) bool { return other == seq })
		s.outstandingTokens -= len(seq.answer) - seq.run.Tokens
	default:
		return
	}
	seq.run.State = RunCancelled
	seq.progress.set(seq.run.Tokens, true)
	s.wakeUp()
}
