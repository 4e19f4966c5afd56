package enginestub

import (
	"container/heap"
	"slices"
	"sync"
	"time"
)

// fullSpeedTokens is how many tokens of a sequence one step makes when the
// engine has no time per token.
const fullSpeedTokens = 8

// minTick is the shortest sleep between two steps; shorter ones only burn the
// processor, and a step makes up for all the tokens that became due.
const minTick = time.Millisecond

// scheduler runs the sequences with continuous batching: up to Slots at once,
// a free slot goes to the best of the waiting at the next step.
type scheduler struct {
	cfg      Config
	now      func() time.Time
	evidence *evidence
	onCrash  func()
	wake     chan struct{}
	quit     chan struct{}

	mu          sync.Mutex
	waiting     waitingHeap
	running     []*sequence
	byAttempt   map[string]*sequence
	cache       *prefixCache
	runs        *runLog
	models      []string
	anyModel    bool
	arrivals    int
	starts      int
	outstanding int // tokens not yet made, and prompt tokens not yet read
	leaving     bool
	paused      bool
	stopped     bool
}

func newScheduler(cfg Config, now func() time.Time, noted *evidence, onCrash func()) *scheduler {
	e := &scheduler{
		cfg:       cfg,
		now:       now,
		evidence:  noted,
		onCrash:   onCrash,
		wake:      make(chan struct{}, 1),
		quit:      make(chan struct{}),
		byAttempt: make(map[string]*sequence),
		cache:     newPrefixCache(cfg.CacheTokens),
		runs:      newRunLog(),
		models:    slices.Clone(cfg.Models),
		anyModel:  len(cfg.Models) == 0,
	}
	return e
}

// loop steps the batch until stop. Only this goroutine makes tokens.
func (e *scheduler) loop() {
	for {
		wait, idle := e.step(e.now())
		if wait == 0 && !idle {
			continue
		}
		if !e.sleep(wait, idle) {
			return
		}
	}
}

// sleep waits for the next due token, or for a change; false means stop.
func (e *scheduler) sleep(wait time.Duration, idle bool) bool {
	var due <-chan time.Time
	if !idle {
		timer := time.NewTimer(max(wait, minTick))
		defer timer.Stop()
		due = timer.C
	}
	select {
	case <-due:
	case <-e.wake:
	case <-e.quit:
		return false
	}
	return true
}

func (e *scheduler) wakeUp() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// step admits waiting sequences and makes the tokens that are due. It tells
// how long it is until the next are, or that nothing runs.
func (e *scheduler) step(now time.Time) (wait time.Duration, idle bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopped || e.paused {
		return 0, true
	}
	e.admit(now)
	kept := e.running[:0]
	for _, s := range e.running {
		if s.run.Tokens == s.crashAt {
			e.crash()
			return 0, true
		}
		e.advance(s, now)
		if s.run.State == RunRunning {
			kept = append(kept, s)
		}
	}
	changed := len(kept) < len(e.running)
	clear(e.running[len(kept):])
	e.running = kept
	if changed {
		return 0, false // a slot is free: admit at once
	}
	return e.untilDue(now)
}

func (e *scheduler) untilDue(now time.Time) (wait time.Duration, idle bool) {
	if len(e.running) == 0 {
		return 0, true
	}
	first := e.running[0].nextDue(e.cfg.TokenTime)
	for _, s := range e.running[1:] {
		due := s.nextDue(e.cfg.TokenTime)
		if due.Before(first) {
			first = due
		}
	}
	return max(first.Sub(now), 0), false
}

func (e *scheduler) admit(now time.Time) {
	for len(e.running) < e.cfg.Slots && len(e.waiting) > 0 {
		s := heap.Pop(&e.waiting).(*sequence)
		e.starts++
		s.run.Start = e.starts
		e.evidence.note(evidenceLine{Kind: runBegan, At: now, Request: s.requestID})
		s.run.State = RunRunning
		cached := e.cache.use(s.hashes) * blockTokens
		s.run.CachedTokens = min(cached, s.run.PromptTokens)
		toRead := s.run.PromptTokens - s.run.CachedTokens
		s.readyAt = now.Add(time.Duration(toRead) * e.cfg.PromptTokenTime)
		e.outstanding -= s.run.PromptTokens
		e.running = append(e.running, s)
	}
}

func (e *scheduler) advance(s *sequence, now time.Time) {
	generated := s.due(now, e.cfg.TokenTime)
	if s.crashAt >= 0 {
		generated = min(generated, s.crashAt)
	}
	if generated <= s.run.Tokens {
		return
	}
	e.outstanding -= generated - s.run.Tokens
	s.run.Tokens = generated
	ended := generated == len(s.answer)
	if ended {
		s.run.State = RunFinished
	}
	s.progress.set(generated, ended)
}
