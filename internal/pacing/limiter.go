// Package pacing bounds what backend servers are sent that bear fewer requests than they
// would get, over all routers together: cold ones, and those that name a limit. A few
// routers in rank send to such a server and all others send it nothing, so the bound holds
// without any talk between them.
package pacing

import (
	"math"
	"sync"
	"time"

	"chicorytiller.example/chicorytiller/internal/fleet"
)

const (
	// rampDuration is how long a new sender to a limited server sends at rampPart of its rate:
	// longer than a router that doesn't know yet that it is none any more goes on sending.
	// Together they stay below one and a half times the limit.
	rampDuration = 3500 * time.Millisecond
	rampFraction = 0.5
	// minSenders and sendersPerRate are how many routers send to a limited server, and how
	// many more for each request a second. Each may have one request saved up, and five may
	// come beyond one and a half times the limit.
	minSenders    = 3
	sendersPerRPS = 0.25
	// minSenderRate is the least rate of a sender, where there is more than one: with less it
	// waits for seconds until it may send at all.
	minSenderRate = 0.4
	// rotationInterval is how long the first senders in rank may leave a limit unconfirmed before
	// the next in rank stand in: a sender without callers never hears of the limit's end.
	rotationInterval = 25 * time.Second
	// minProbeRate is the rate at which a server that takes nothing, or next to nothing,
	// is asked whether it still does.
	minProbeRate = 0.1
	// probeInterval is how often a sender's request goes to a limited server whatever else speaks
	// for another one, so that the end of the limit is heard.
	probeInterval = time.Second
	// rankCacheTTL is how long a rank is used again: each request looks at all servers.
	rankCacheTTL = 50 * time.Millisecond
	// maxDelay bounds the time after which callers are told to come again.
	maxDelay = 10 * time.Second
)

// SenderRank is where this router stands among all routers for a server.
type SenderRank struct {
	Position int // routers before it in rank
	Total    int // routers in rank
	// Valid: all other routers know this one, and this one them, as of late.
	Valid bool
}

// Limiter decides whether this router may send a request to a server that bears few. It is
// safe for concurrent use.
type Limiter struct {
	// ColdRate is the requests a second that a cold server of a service bears; 0: no bound.
	ColdRate func(service string) float64
	// SenderRank is this router's rank for a server, by the server's start.
	SenderRank func(start string) SenderRank
	// Limits are those that servers named.
	Limits *Limits
	// Now is the clock.
	Now func() time.Time

	mu      sync.Mutex
	cold    map[string][]time.Time // sent within the window, by start of the server
	buckets map[string]*bucket     // of limited servers, by start
	ranks   map[string]cachedRank  // of late, by start
}

// cachedRank is a rank and when it was looked up.
type cachedRank struct {
	SenderRank
	fetchedAt time.Time
}

// Bounded says whether a server bears few requests now.
func (l *Limiter) Paced(s *fleet.Server) bool {
	if _, limited := l.Limits.Lookup(s.Incarnation); limited {
		return true
	}
	return l.isCold(s)
}

// Room says whether Take would allow a request to a bounded server.
func (l *Limiter) CanAcquire(s *fleet.Server) bool {
	return l.allow(s, false)
}

// Take asks for one request to a bounded server. It is counted if it is allowed.
func (l *Limiter) TryAcquire(s *fleet.Server) bool {
	return l.allow(s, true)
}

// allow says whether a request is allowed, and counts it if it is to be taken.
func (l *Limiter) allow(s *fleet.Server, consume bool) bool {
	now, cold := l.Now(), l.isCold(s)
	limit, limited := l.Limits.Lookup(s.Incarnation)
	l.mu.Lock()
	defer l.mu.Unlock()
	rank := l.rank(s.Incarnation, now)
	if cold && !(rank.Valid && rank.Position == 0 && l.hasColdCapacity(s, now)) {
		return false
	}
	var b *bucket
	if limited {
		b = l.bucket(s.Incarnation, limit, rank, now)
		if b == nil || b.tokens < 1 {
			return false
		}
	}
	if consume && cold {
		l.cold[s.Incarnation] = append(l.cold[s.Incarnation], now)
	}
	if consume && limited {
		b.tokens--
		b.lastUse = now
	}
	return true
}

// Due says whether a limited server is to be asked for its limit by the next request that
// can go there.
func (l *Limiter) ProbeDue(s *fleet.Server) bool {
	limit, limited := l.Limits.Lookup(s.Incarnation)
	if !limited {
		return false
	}
	now := l.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.bucket(s.Incarnation, limit, l.rank(s.Incarnation, now), now)
	return b != nil && b.tokens >= 1 && now.Sub(b.lastUse) >= probeInterval
}

// Wait is the time after which another request to a bounded server makes sense.
func (l *Limiter) Delay(s *fleet.Server) time.Duration {
	now := l.Now()
	wait := time.Duration(0)
	if l.isCold(s) {
		wait = s.ColdFor(now)
	}
	limit, limited := l.Limits.Lookup(s.Incarnation)
	if !limited {
		return wait
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	missing := 1.0
	if b := l.bucket(s.Incarnation, limit, l.rank(s.Incarnation, now), now); b != nil {
		missing = max(0, 1-b.tokens)
	}
	untilToken := time.Duration(missing / max(limit.PerSecond, minProbeRate) * float64(time.Second))
	return max(wait, min(untilToken, maxDelay))
}

// rank is this router's rank as of a moment ago; the limiter is locked.
func (l *Limiter) rank(start string, now time.Time) SenderRank {
	known, found := l.ranks[start]
	if found && now.Sub(known.fetchedAt) < rankCacheTTL {
		return known.SenderRank
	}
	if l.ranks == nil || len(l.ranks) >= maxTrackedServers {
		l.ranks = make(map[string]cachedRank)
	}
	known = cachedRank{SenderRank: l.SenderRank(start), fetchedAt: now}
	l.ranks[start] = known
	return known.SenderRank
}

// senders is how many routers send to a server with a limit, each its part of the limit. With
// more of them more callers find one that may send; with a bounded number the requests that
// each may have saved up stay below what is allowed beside the limit, whatever the fleet.
func senders(perSecond float64) int {
	maxSenders := minSenders + sendersPerRPS*perSecond
	return max(1, int(math.Floor(min(maxSenders, perSecond/minSenderRate))))
}

// isSender says whether this router is one of those that send to a limited server. It never
// is before the limit is recorded, since the routers take turns by the age of the record.
func (l *Limiter) isSender(limit Limit, rank SenderRank, now time.Time) bool {
	if !rank.Valid || limit.RecordedAt.IsZero() {
		return false
	}
	n := senders(limit.PerSecond)
	rotation := int(now.Sub(limit.RecordedAt) / rotationInterval)
	firstPosition := rotation * n % rank.Total
	return (rank.Position-firstPosition+rank.Total)%rank.Total < n
}

// bucket returns the allowance of a limited server as of now; nil: this router sends it
// nothing. The limiter is locked.
func (l *Limiter) bucket(start string, limit Limit, rank SenderRank, now time.Time) *bucket {
	if !l.isSender(limit, rank, now) {
		delete(l.buckets, start)
		return nil
	}
	b := l.buckets[start]
	if b == nil {
		l.pruneBuckets()
		b = &bucket{lastRefill: now, senderSince: now}
		l.buckets[start] = b
	}
	n := min(senders(limit.PerSecond), rank.Total)
	b.refill(max(limit.PerSecond, minProbeRate)/float64(n), now)
	return b
}

// pruneBuckets drops those of servers that are not limited any more.
func (l *Limiter) pruneBuckets() {
	if l.buckets == nil {
		l.buckets = make(map[string]*bucket)
	}
	for start := range l.buckets {
		if _, limited := l.Limits.Lookup(start); !limited {
			delete(l.buckets, start)
		}
	}
}

// bucket is an allowance of one request at most that fills with time. It begins empty: the
// router that sent before may have used its own a moment ago.
type bucket struct {
	tokens      float64
	lastRefill  time.Time
	senderSince time.Time // when this router became a sender
	lastUse     time.Time // when it was last used; zero: never
}

func (b *bucket) refill(perSecond float64, now time.Time) {
	if now.Sub(b.senderSince) < rampDuration {
		perSecond *= rampFraction
	}
	b.tokens = min(1, b.tokens+perSecond*now.Sub(b.lastRefill).Seconds())
	b.lastRefill = now
}
