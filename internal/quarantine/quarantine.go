// Package quarantine finds requests that crash the backend servers which run them, and holds back
// their repetitions. A caller may send each repetition to another router, so a router counts the
// crashes that all routers saw.
package quarantine

import (
	"slices"
	"sync"
	"time"

	"chicorytiller.example/chicorytiller/internal/fleet"
)

const (
	// crashThreshold is the number of servers that must have crashed while they ran the same
	// content. A single broken exchange may be a network fault; a second one, at another server,
	// seldom is.
	crashThreshold = 2
	// suspectTTL is how long a content is suspect after its last crash: longer than callers wait
	// between attempts.
	suspectTTL = 5 * time.Minute
	// maxSuspects bounds the memory used. If many connections break at once, it fills with
	// harmless requests, of which the oldest are evicted first.
	maxSuspects = 4096
	// maxPublished bounds the crashes that a router tells the others, and so the bytes that each
	// router gets when a fault breaks many exchanges everywhere.
	maxPublished = 16
)

// Crash is the end of an exchange with a server that may have crashed because of it.
type Crash struct {
	// Content is the hash of the request's content, the same for each repetition.
	Content uint64
	// Server is the incarnation of the server.
	Server string
}

// Quarantine counts crashes by content. It is safe for concurrent use.
type Quarantine struct {
	now func() time.Time

	mu       sync.Mutex
	suspects map[uint64]*suspect
	// published changes whenever the result of OwnCrashes may have changed.
	published uint64
	changed   chan struct{}
}

// suspect is a content of which at least one crash was seen or reported.
type suspect struct {
	crashes   map[string]*evidence // by incarnation of the server
	lastCrash time.Time
}

// evidence is what is known of one crash.
type evidence struct {
	learned time.Time
	// own is set if this router saw the crash itself.
	own bool
	// dismissed is set if the request did not crash the server. The evidence is kept so that
	// another router's report of it doesn't count.
	dismissed bool
	// confirmed is set if the server has ended.
	confirmed bool
}

// New returns an empty quarantine. A nil now means time.Now.
func New(now func() time.Time) *Quarantine {
	if now == nil {
		now = time.Now
	}
	return &Quarantine{now: now, suspects: make(map[uint64]*suspect), changed: make(chan struct{}, 1)}
}

// RecordCrash records that this router's exchange with a server broke off. It reports whether that
// quarantines the content.
func (q *Quarantine) RecordCrash(crash Crash) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	before := q.contains(crash.Content)
	found := q.add(crash)
	if !found.own {
		found.own = true
		q.notify()
	}
	return !before && q.contains(crash.Content)
}

// Merge adds the crashes that another router reports, and returns the contents which they
// quarantine.
func (q *Quarantine) Merge(crashes []Crash) []uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	var quarantined []uint64
	for _, crash := range crashes {
		before := q.contains(crash.Content)
		q.add(crash)
		if !before && q.contains(crash.Content) {
			quarantined = append(quarantined, crash.Content)
		}
	}
	return quarantined
}

// add returns the evidence of a crash, which is new unless it was known before.
func (q *Quarantine) add(crash Crash) *evidence {
	now := q.now()
	s := q.suspects[crash.Content]
	if s != nil && now.Sub(s.lastCrash) >= suspectTTL {
		s = nil
	}
	if s == nil {
		q.evictOldest(now)
		s = &suspect{crashes: make(map[string]*evidence)}
		q.suspects[crash.Content] = s
	}
	found := s.crashes[crash.Server]
	if found == nil {
		found = &evidence{learned: now}
		s.crashes[crash.Server] = found
		s.lastCrash = now
	}
	return found
}

// Contains reports whether the content is quarantined and must not be sent to a server.
func (q *Quarantine) Contains(content uint64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.contains(content)
}

// contains is Contains with q.mu held.
func (q *Quarantine) contains(content uint64) bool {
	s := q.suspects[content]
	return s != nil && len(s.servers()) >= crashThreshold && q.now().Sub(s.lastCrash) < suspectTTL
}

// Servers returns the incarnations of the servers that crashed while they ran the content, sorted.
func (q *Quarantine) Servers(content uint64) []string {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.suspects[content]
	if s == nil {
		return nil
	}
	return s.servers()
}

// Count returns the number of quarantined contents.
func (q *Quarantine) Count() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	count := 0
	for content := range q.suspects {
		if q.contains(content) {
			count++
		}
	}
	return count
}

func (s *suspect) servers() []string {
	servers := make([]string, 0, len(s.crashes))
	for server, found := range s.crashes {
		if !found.dismissed {
			servers = append(servers, server)
		}
	}
	slices.Sort(servers)
	return servers
}

// RecordSuccess records a complete answer, which clears the content of all crashes known so far.
func (q *Quarantine) RecordSuccess(content uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.suspects[content]
	if s == nil {
		return
	}
	for _, found := range s.crashes {
		q.dismiss(found)
	}
}

// DismissSurvived dismisses the crashes of servers that did not end, and returns the contents that
// are no longer quarantined. fateOf tells what became of a server after the given time.
func (q *Quarantine) DismissSurvived(fateOf func(server string, after time.Time) fleet.Fate) []uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	var released []uint64
	for content, s := range q.suspects {
		before := q.contains(content)
		for server, found := range s.crashes {
			q.judge(found, server, fateOf)
		}
		if before && !q.contains(content) {
			released = append(released, content)
		}
	}
	return released
}

// judge confirms or dismisses the evidence of a crash once the server's fate is known.
func (q *Quarantine) judge(found *evidence, server string, fateOf func(string, time.Time) fleet.Fate) {
	if found.dismissed || found.confirmed {
		return
	}
	switch fateOf(server, found.learned) {
	case fleet.FateSurvived:
		q.dismiss(found)
	case fleet.FateEnded:
		found.confirmed = true
	}
}

func (q *Quarantine) dismiss(found *evidence) {
	if found.dismissed {
		return
	}
	found.dismissed = true
	if found.own {
		q.notify()
	}
}

// OwnCrashes returns the latest crashes that this router saw itself, and the version of that list.
func (q *Quarantine) OwnCrashes() ([]Crash, uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	var crashes []Crash
	learned := make(map[Crash]time.Time)
	now := q.now()
	for content, s := range q.suspects {
		for server, found := range s.crashes {
			if !found.own || found.dismissed || now.Sub(found.learned) >= suspectTTL {
				continue
			}
			crash := Crash{Content: content, Server: server}
			crashes = append(crashes, crash)
			learned[crash] = found.learned
		}
	}
	slices.SortFunc(crashes, func(a, b Crash) int { return learned[b].Compare(learned[a]) })
	return crashes[:min(len(crashes), maxPublished)], q.published
}

// Changed returns a channel that receives a value when OwnCrashes may have a new result.
func (q *Quarantine) Changed() <-chan struct{} {
	return q.changed
}

func (q *Quarantine) notify() {
	q.published++
	select {
	case q.changed <- struct{}{}:
	default: // a value is already pending
	}
}

// evictOldest makes room for another suspect: it removes the one with the oldest crash if there are
// maxSuspects.
func (q *Quarantine) evictOldest(now time.Time) {
	if len(q.suspects) < maxSuspects {
		return
	}
	var oldest uint64
	earliest := now
	for content, s := range q.suspects {
		if !s.lastCrash.After(earliest) {
			oldest, earliest = content, s.lastCrash
		}
	}
	delete(q.suspects, oldest)
}
