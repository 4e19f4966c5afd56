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

	mu       sync.Mutex
	suspects map[uint64]*suspect
}

// suspect is one content and how many servers broke while they ran it.
type suspect struct {
	crashes   int
	lastCrash time.Time
}

// Limits of the quarantine.
const (
	// crashThreshold is how many broken servers bring a content into quarantine. One
	// break may be the network's doing; a second for the same content seldom is.
	crashThreshold = 2
	// suspectTTL is how long a content is remembered after its last break:
	// longer than the pause between a caller's tries.
	suspectTTL = 5 * time.Minute
	// maxSuspects bounds the memory; a mass break of connections fills it with
	// innocent contents, of which the oldest go first.
	maxSuspects = 4096
)

// NewQuarantine makes an empty quarantine. A nil now means time.Now.
func NewQuarantine(now func() time.Time) *Quarantine {
	if now == nil {
		now = time.Now
	}
	return &Quarantine{now: now, suspects: make(map[uint64]*suspect)}
}

// RecordCrash notes that a server broke while it ran the content, here or (as told by
// another router) elsewhere. It returns how many did.
func (q *Quarantine) RecordCrash(hash uint64) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	s := q.suspects[hash]
	if s == nil {
		q.evictOldest(now)
		s = &suspect{}
		q.suspects[hash] = s
	}
	s.crashes++
	s.lastCrash = now
	return s.crashes
}

// Insert brings a content into quarantine at once, on another router's word.
func (q *Quarantine) Insert(hash uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	q.evictOldest(now)
	q.suspects[hash] = &suspect{crashes: crashThreshold, lastCrash: now}
}

// Contains says whether the content must not be sent to a server any more.
func (q *Quarantine) Contains(hash uint64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.suspects[hash]
	return s != nil && s.crashes >= crashThreshold && q.now().Sub(s.lastCrash) < suspectTTL
}

// RecordSuccess notes that a server answered the content whole.
func (q *Quarantine) RecordSuccess(hash uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.suspects, hash)
}

// StartsQuarantine says whether a count of breaks is the one that starts the quarantine.
func StartsQuarantine(crashes int) bool {
	return crashes == crashThreshold
}

func (q *Quarantine) evictOldest(now time.Time) {
	if len(q.suspects) < maxSuspects {
		return
	}
	var oldest uint64
	earliest := now
	for hash, s := range q.suspects {
		if !s.lastCrash.After(earliest) {
			oldest, earliest = hash, s.lastCrash
		}
	}
	delete(q.suspects, oldest)
}
