package enginestub

import (
	"container/heap"
	"slices"
	"sync"
	"time"
)

// untimedStepTokens is the number of tokens of a sequence that one step generates if
// Config.TokenTime is 0.
const untimedStepTokens = 8

// minSleep is the shortest sleep between two steps. Shorter sleeps only waste CPU time: a step
// generates all tokens that became due.
const minSleep = time.Millisecond

// scheduler runs sequences with continuous batching: up to Config.Slots at once. At the next
// step a free slot goes to the first sequence of the waiting heap.
type scheduler struct {
	cfg      Config
	now      func() time.Time
	activity *activityLogger
	onCrash  func()
	wake     chan struct{}
	quit     chan struct{}

	mu                sync.Mutex
	waiting           waitingHeap
	running           []*sequence
	byAttempt         map[string]*sequence
	cache             *prefixCache
	runs              *runLog
	models            []string
	anyModel          bool
	arrivals          int
	starts            int
	reports           int64     // load headers so far
	clock             paceClock // times of sequences are on this clock
	outstandingTokens int       // output tokens not yet generated, and prompt tokens of waiting sequences
	draining          bool
	paused            bool
	stopped           bool
	outOfMemory       bool // the crash is one by memory
}

func newScheduler(cfg Config, now func() time.Time, activity *activityLogger, onCrash func()) *scheduler {
	s := &scheduler{
		cfg:       cfg,
		now:       now,
		activity:  activity,
		onCrash:   onCrash,
		wake:      make(chan struct{}, 1),
		quit:      make(chan struct{}),
		byAttempt: make(map[string]*sequence),
		cache:     newPrefixCache(cfg.CacheTokens),
		runs:      newRunLog(),
		models:    slices.Clone(cfg.Models),
		anyModel:  len(cfg.Models) == 0,
		clock:     paceClock{pace: newPace(cfg.Uneven)},
	}
	return s
}

// loop runs steps until stop. Only its goroutine generates tokens.
func (s *scheduler) loop() {
	for {
		wait, idle := s.step(s.now())
		if wait == 0 && !idle {
			continue
		}
		if !s.sleep(wait, idle) {
			return
		}
	}
}

// sleep waits for the next due token or a wake-up. It returns false if the scheduler stopped.
func (s *scheduler) sleep(wait time.Duration, idle bool) bool {
	var due <-chan time.Time
	if !idle {
		timer := time.NewTimer(max(wait, minSleep))
		defer timer.Stop()
		due = timer.C
	}
	select {
	case <-due:
	case <-s.wake:
	case <-s.quit:
		return false
	}
	return true
}

func (s *scheduler) wakeUp() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// step admits waiting sequences and generates the tokens that are due. It returns the time
// until the next token is due, or idle if nothing can run.
func (s *scheduler) step(now time.Time) (wait time.Duration, idle bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped || s.paused {
		return 0, true
	}
	work := s.clock.now(now)
	s.admit(now, work)
	if !s.makeRoom(work) {
		return 0, true
	}
	kept := s.running[:0]
	for _, seq := range s.running {
		if seq.run.Tokens == seq.crashTokens {
			s.crashLocked()
			return 0, true
		}
		s.advance(seq, work)
		if seq.run.State == RunRunning {
			kept = append(kept, seq)
		}
	}
	changed := len(kept) < len(s.running)
	clear(s.running[len(kept):])
	s.running = kept
	if changed {
		return 0, false // a slot is free: admit at once
	}
	return s.untilNextDue(now, work)
}

// untilNextDue returns the time until the next token is due or the pace changes. work is the time
// on the pace clock.
func (s *scheduler) untilNextDue(now, work time.Time) (wait time.Duration, idle bool) {
	if len(s.running) == 0 {
		return 0, true
	}
	earliest := s.running[0].nextDue(s.cfg.TokenTime)
	for _, seq := range s.running[1:] {
		due := seq.nextDue(s.cfg.TokenTime)
		if due.Before(earliest) {
			earliest = due
		}
	}
	return s.clock.pace.timeFor(now, max(earliest.Sub(work), 0)), false
}

// admit starts waiting sequences while slots and memory are free, and lets preempted ones go on.
// work is the time on the pace clock.
func (s *scheduler) admit(now, work time.Time) {
	for len(s.running) < s.cfg.Slots && len(s.waiting) > 0 && s.fits(s.waiting[0]) {
		seq := heap.Pop(&s.waiting).(*sequence)
		seq.run.State = RunRunning
		cachedTokens := min(s.cache.use(seq.blockHashes)*blockTokens, seq.run.PromptTokens)
		if seq.run.Start == 0 {
			s.starts++
			seq.run.Start = s.starts
			s.activity.log(activityRecord{Kind: runStarted, At: now, Request: seq.requestID})
			seq.run.CachedTokens = cachedTokens
		}
		seq.tokensRead = seq.run.Tokens
		seq.prefillEnd = work.Add(time.Duration(seq.memoryTokens()-cachedTokens) * s.cfg.PromptTokenTime)
		s.outstandingTokens -= seq.run.PromptTokens
		s.running = append(s.running, seq)
	}
}

// advance generates the due tokens of a sequence. work is the time on the pace clock.
func (s *scheduler) advance(seq *sequence, work time.Time) {
	generated := seq.tokensDue(work, s.cfg.TokenTime)
	if seq.crashTokens >= 0 {
		generated = min(generated, seq.crashTokens)
	}
	if generated <= seq.run.Tokens {
		return
	}
	s.outstandingTokens -= generated - seq.run.Tokens
	seq.run.Tokens = generated
	ended := generated == len(seq.answer)
	if ended {
		seq.run.State = RunFinished
	}
	seq.progress.set(generated, ended)
}
