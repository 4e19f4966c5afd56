package enginestub

import (
	"sync"
	"time"
)

// sequence is one attempt that the engine works on, or has worked on. The
// scheduler owns all fields but the progress, which readers wait for.
type sequence struct {
	requestID string
	attemptID string
	req       *request
	answer    []uint8 // indexes into the vocabulary
	finish    string
	hashes    []uint64 // of the prompt's blocks
	arrival   int      // order of arrival
	queueAt   int      // place in the waiting heap, -1 when not there
	created   time.Time
	readyAt   time.Time // when the prompt is read
	crashAt   int       // tokens with which the engine crashes; -1: never
	run       *AttemptRun

	progress progress
}

// progress is how many tokens there are and whether more will come.
type progress struct {
	mu        sync.Mutex
	changed   sync.Cond
	generated int
	ended     bool
}

func (p *progress) init() {
	p.changed.L = &p.mu
}

func (p *progress) set(generated int, ended bool) {
	p.mu.Lock()
	p.generated = generated
	p.ended = ended
	p.mu.Unlock()
	p.changed.Broadcast()
}

// wait blocks until there are more than sent tokens, or no more will come.
func (p *progress) wait(sent int) (generated int, ended bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.generated <= sent && !p.ended {
		p.changed.Wait()
	}
	return p.generated, p.ended
}

// due is the number of tokens that there should be at now. With no time per
// token it is a few more than there are: one step of the batch.
func (s *sequence) due(now time.Time, tokenTime time.Duration) int {
	if now.Before(s.readyAt) {
		return 0
	}
	if tokenTime == 0 {
		return min(s.run.Tokens+fullSpeedTokens, len(s.answer))
	}
	steps := 1 + int(now.Sub(s.readyAt)/tokenTime)
	return min(steps, len(s.answer))
}

// nextDue is when the next token should be there.
func (s *sequence) nextDue(tokenTime time.Duration) time.Time {
	return s.readyAt.Add(time.Duration(s.run.Tokens) * tokenTime)
}

// waitingHeap orders waiting sequences by priority, then by arrival. It
// implements heap.Interface.
type waitingHeap []*sequence

func (h waitingHeap) Len() int { return len(h) }

func (h waitingHeap) Less(i, j int) bool {
	if h[i].req.priority != h[j].req.priority {
		return h[i].req.priority > h[j].req.priority
	}
	return h[i].arrival < h[j].arrival
}

func (h waitingHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].queueAt = i
	h[j].queueAt = j
}

// Push appends a *sequence.
func (h *waitingHeap) Push(x any) {
	s := x.(*sequence)
	s.queueAt = len(*h)
	*h = append(*h, s)
}

// Pop removes the last one.
func (h *waitingHeap) Pop() any {
	last := len(*h) - 1
	s := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	s.queueAt = -1
	return s
}
