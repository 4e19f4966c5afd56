package retry

import (
	"sync"
	"time"
)

// Quarantine tracks requests that crash the servers which run them, by a hash of their
// content, so that a caller's next attempt is refused before it crashes another server.
// It is safe for concurrent use.
type Quarantine struct {
	now func() time.Time

	mu       sync.Mutex
	suspects map[uint64]*suspect
}

// suspect counts the servers that crashed while running requests with one hash.
type suspect struct {
	crashes   int
	lastCrash time.Time
}

const (
	// crashThreshold is the number of crashes after which a request is quarantined. A single
	// broken connection may be a network fault; a second one for the same content seldom is.
	crashThreshold = 2
	// suspectTTL is how long a quarantine lasts after the last crash: longer than callers wait
	// between attempts.
	suspectTTL = 5 * time.Minute
	// maxSuspects bounds the memory used. If many connections break at once, it fills with
	// harmless requests, of which the oldest are evicted first.
	maxSuspects = 4096
)

// NewQuarantine returns an empty quarantine. A nil now means time.Now.
func NewQuarantine(now func() time.Time) *Quarantine {
	if now == nil {
		now = time.Now
	}
	return &Quarantine{now: now, suspects: make(map[uint64]*suspect)}
}

// RecordCrash records that a server crashed while it ran the request, and returns the number of
// crashes so far.
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

// Insert quarantines a request at once, because another router reported it.
func (q *Quarantine) Insert(hash uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	q.evictOldest(now)
	q.suspects[hash] = &suspect{crashes: crashThreshold, lastCrash: now}
}

// Contains reports whether the request is quarantined and must not be sent to a server.
func (q *Quarantine) Contains(hash uint64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.suspects[hash]
	return s != nil && s.crashes >= crashThreshold && q.now().Sub(s.lastCrash) < suspectTTL
}

// RecordSuccess records a complete response, which clears the request of suspicion.
func (q *Quarantine) RecordSuccess(hash uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.suspects, hash)
}

// StartsQuarantine reports whether a count of crashes is the one that starts the quarantine.
func StartsQuarantine(crashes int) bool {
	return crashes == crashThreshold
}

// evictOldest makes room for another suspect: it removes the one with the oldest crash if there are
// maxSuspects.
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
