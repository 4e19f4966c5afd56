package retry

import (
	"sync"
	"time"
)

// Quarantine knows requests that break the servers which run them, by a hash of
// their content, so that a caller's next try is refused before it breaks another.
// It is safe for concurrent use.
type Quarantine struct {
	now func() time.Time

	mu     sync.Mutex
	broken map[uint64]*suspect
}

// suspect is one content and how many servers broke while they ran it.
type suspect struct {
	count int
	last  time.Time
}

// Limits of the quarantine.
const (
	// breaksMost is how many broken servers bring a content into quarantine. One
	// break may be the network's doing; a second for the same content seldom is.
	breaksMost = 2
	// suspectKept is how long a content is remembered after its last break:
	// longer than the pause between a caller's tries.
	suspectKept = 5 * time.Minute
	// suspectsMost bounds the memory; a mass break of connections fills it with
	// innocent contents, of which the oldest go first.
	suspectsMost = 4096
)

// NewQuarantine makes an empty quarantine. A nil now means time.Now.
func NewQuarantine(now func() time.Time) *Quarantine {
	if now == nil {
		now = time.Now
	}
	return &Quarantine{now: now, broken: make(map[uint64]*suspect)}
}

// RecordCrash notes that a server broke while it ran the content, here or (as told by
// another router) elsewhere. It returns how many did.
func (q *Quarantine) RecordCrash(content uint64) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	s := q.broken[content]
	if s == nil {
		q.makeRoom(now)
		s = &suspect{}
		q.broken[content] = s
	}
	s.count++
	s.last = now
	return s.count
}

// Insert brings a content into quarantine at once, on another router's word.
func (q *Quarantine) Insert(content uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	q.makeRoom(now)
	q.broken[content] = &suspect{count: breaksMost, last: now}
}

// Contains says whether the content must not be sent to a server any more.
func (q *Quarantine) Contains(content uint64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.broken[content]
	return s != nil && s.count >= breaksMost && q.now().Sub(s.last) < suspectKept
}

// RecordSuccess notes that a server answered the content whole.
func (q *Quarantine) RecordSuccess(content uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.broken, content)
}

// StartsQuarantine says whether a count of breaks is the one that starts the quarantine.
func StartsQuarantine(count int) bool {
	return count == breaksMost
}

func (q *Quarantine) makeRoom(now time.Time) {
	if len(q.broken) < suspectsMost {
		return
	}
	var oldest uint64
	first := now
	for content, s := range q.broken {
		if !s.last.After(first) {
			oldest, first = content, s.last
		}
	}
	delete(q.broken, oldest)
}
