package enginestub

import (
	"container/heap"
	"math"
	"slices"
	"time"

	"github.com/gofiber/fiber/v2"
)

// OutOfMemoryPath is the path of POST requests that end a model engine as if its machine had run
// out of memory.
const OutOfMemoryPath = "/stand-in/out-of-memory"

// admissionReserve is the number of output tokens for which there must be memory when a sequence
// starts. Without it, a sequence that was just read would be preempted at its first tokens.
const admissionReserve = 32

// The memory holds the prompts and the output of running sequences. Cached content takes what
// they leave. Blocks that a running sequence shares with the cache count twice, which only makes
// the cache smaller.

// memoryTokens returns the memory that the sequence needs to run, without further output.
func (s *sequence) memoryTokens() int {
	return s.run.PromptTokens + s.run.Tokens
}

// maxMemoryTokens returns the memory that the sequence needs at its end.
func (s *sequence) maxMemoryTokens() int {
	return s.run.PromptTokens + len(s.answer)
}

// memoryCapacity returns the memory in tokens.
func (s *scheduler) memoryCapacity() int {
	if s.cfg.Uneven.MemoryTokens <= 0 {
		return math.MaxInt
	}
	return s.cfg.Uneven.MemoryTokens
}

// memoryUsed returns the memory of the running sequences.
func (s *scheduler) memoryUsed() int {
	used := 0
	for _, seq := range s.running {
		used += seq.memoryTokens()
	}
	return used
}

// fits reports whether there is memory to start a sequence. A sequence that was not rejected fits
// if no other one runs.
func (s *scheduler) fits(seq *sequence) bool {
	need := min(seq.memoryTokens()+admissionReserve, seq.maxMemoryTokens())
	return need <= s.memoryCapacity()-s.memoryUsed()
}

// makeRoom preempts running sequences until there is memory for the tokens that are due, and
// evicts cached content that no longer fits. work is the time on the pace clock. It returns false
// if the engine crashed instead.
func (s *scheduler) makeRoom(work time.Time) bool {
	if s.cfg.Uneven.MemoryTokens <= 0 {
		return true
	}
	used := 0
	for _, seq := range s.running {
		used += seq.memoryDue(work, s.cfg.TokenTime)
	}
	for used > s.memoryCapacity() {
		if s.cfg.Uneven.ExitOutOfMemory {
			s.outOfMemoryLocked()
			return false
		}
		used -= s.preempt().memoryDue(work, s.cfg.TokenTime)
	}
	s.cache.resize(min(s.cfg.CacheTokens, s.memoryCapacity()-used))
	return true
}

// memoryDue returns the memory that the sequence needs for the tokens that are due.
func (s *sequence) memoryDue(work time.Time, tokenTime time.Duration) int {
	return s.run.PromptTokens + max(s.run.Tokens, s.tokensDue(work, tokenTime))
}

// preempt moves the newest of the least urgent running sequences back to the waiting ones and
// returns it. Its prompt and output must be read again before it goes on.
func (s *scheduler) preempt() *sequence {
	last := 0
	for i, seq := range s.running {
		if s.running[last].before(seq) {
			last = i
		}
	}
	seq := s.running[last]
	s.running = slices.Delete(s.running, last, last+1)
	seq.run.State = RunWaiting
	seq.run.Preemptions++
	s.outstandingTokens += seq.run.PromptTokens
	heap.Push(&s.waiting, seq)
	s.activity.log(activityRecord{Kind: runPreempted, At: s.now(), Request: seq.requestID})
	return seq
}

// outOfMemoryLocked ends the engine. s.mu must be held.
func (s *scheduler) outOfMemoryLocked() {
	s.outOfMemory = true
	s.activity.log(activityRecord{Kind: endedByMemory, At: s.now()})
	s.crashLocked()
}

func (s *Server) handleOutOfMemory(*fiber.Ctx) error {
	s.scheduler.mu.Lock()
	defer s.scheduler.mu.Unlock()
	if !s.scheduler.stopped {
		s.scheduler.outOfMemoryLocked()
	}
	return ErrUnavailable // not sent: the connection is closed
}
