// Package pacing limits the request rate of all routers together to backend servers that
// can't take their normal load: those that are cold (just started) and those that announce a
// rate limit in their responses. For each such server all routers are ranked; only the first
// few send to it, each a share of the rate, and the others send nothing. The rate therefore
// holds without coordination between the routers on each request.
package pacing

import (
	"math"
	"sync"
	"time"

	"chicorytiller.example/chicorytiller/internal/fleet"
)

const (
	// rampDuration is how long a new sender to a rate-limited server is held to rampFraction
	// of its share. It is longer than a replaced sender takes to learn that it must stop, so
	// that the two together stay below 1.5 times the limit.
	rampDuration = 3500 * time.Millisecond
	rampFraction = 0.5
	// The number of senders to a rate-limited server is at most minSenders plus sendersPerRPS
	// for each request per second of the limit. Each sender's bucket may hold one token, and a
	// server tolerates five requests beyond 1.5 times its limit.
	minSenders    = 3
	sendersPerRPS = 0.25
	// minSenderRate is the minimum rate of each sender, in requests per second, if there is
	// more than one. A lower rate would make a sender wait several seconds for each request.
	minSenderRate = 0.4
	// rotationInterval is the time without a new record of the limit after which the next
	// routers in rank become the senders: a sender that gets no requests from callers never
	// learns that the limit has ended.
	rotationInterval = 25 * time.Second
	// minProbeRate is the minimum rate, in requests per second, at which a server whose limit
	// is zero or close to it is probed for a change.
	minProbeRate = 0.1
	// probeInterval is how often a sender prefers a rate-limited server over all others, so
	// that the end of the limit is noticed.
	probeInterval = time.Second
	// rankCacheTTL is how long a rank is cached; each request looks up the ranks for all
	// servers.
	rankCacheTTL = 50 * time.Millisecond
	// maxDelay bounds the result of Delay for rate-limited servers.
	maxDelay = 10 * time.Second
)

// SenderRank is this router's rank among all routers for sending to one server.
type SenderRank struct {
	Position int // 0 is the first
	Total    int // number of ranked routers
	// Valid is set if the rank can be relied on: this router's list of routers is recent, and
	// this router has been in it long enough to be in the lists of all others.
	Valid bool
}

// Limiter decides whether this router may send a request to a paced server, which is one
// that is cold or announces a rate limit. It is safe for concurrent use.
type Limiter struct {
	// ColdRate returns the requests per second that a cold server of a service can take; 0
	// means no limit.
	ColdRate func(service string) float64
	// SenderRank returns this router's rank for a server.
	SenderRank func(incarnation string) SenderRank
	// Limits are the rate limits that servers announced.
	Limits *AnnouncedRates
	Now    func() time.Time

	mu        sync.Mutex
	coldSends map[string][]time.Time // requests within coldWindow, by incarnation
	buckets   map[string]*bucket     // of rate-limited servers, by incarnation
	ranks     map[string]cachedRank  // by incarnation
}

type cachedRank struct {
	SenderRank
	fetchedAt time.Time
}

// Paced reports whether a server is cold or announces a rate limit.
func (l *Limiter) Paced(s *fleet.Server) bool {
	if _, limited := l.Limits.Lookup(s.Incarnation); limited {
		return true
	}
	return l.isCold(s)
}

// CanAcquire reports whether TryAcquire would allow a request to a paced server.
func (l *Limiter) CanAcquire(s *fleet.Server) bool {
	return l.allow(s, false)
}

// TryAcquire reports whether a request to a paced server may be sent now, and counts it if so.
func (l *Limiter) TryAcquire(s *fleet.Server) bool {
	return l.allow(s, true)
}

// allow reports whether a request may be sent now. If consume is set, an allowed request is
// counted.
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
		l.coldSends[s.Incarnation] = append(l.coldSends[s.Incarnation], now)
	}
	if consume && limited {
		b.tokens--
		b.lastUse = now
	}
	return true
}

// ProbeDue reports whether the next request should go to a rate-limited server, to learn
// whether the limit still holds.
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

// Delay returns the time after which another request to a paced server makes sense.
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

// rank returns this router's rank, cached for rankCacheTTL. l.mu must be held.
func (l *Limiter) rank(incarnation string, now time.Time) SenderRank {
	cached, found := l.ranks[incarnation]
	if found && now.Sub(cached.fetchedAt) < rankCacheTTL {
		return cached.SenderRank
	}
	if l.ranks == nil || len(l.ranks) >= maxTrackedSubjects {
		l.ranks = make(map[string]cachedRank)
	}
	cached = cachedRank{SenderRank: l.SenderRank(incarnation), fetchedAt: now}
	l.ranks[incarnation] = cached
	return cached.SenderRank
}

// senders returns how many routers send to a server with a limit, each an equal share of it.
// With more senders, more callers reach a router that may send. The number doesn't grow with
// the fleet, since each sender's bucket may hold one token, and the requests on all these tokens
// together must stay within what a server tolerates beyond its limit.
func senders(perSecond float64) int {
	maxSenders := minSenders + sendersPerRPS*perSecond
	return max(1, int(math.Floor(min(maxSenders, perSecond/minSenderRate))))
}

// isSender reports whether this router is one of the senders to a rate-limited server. There
// are none until the limit is recorded in the store: the senders rotate by the age of the
// record, so each router needs it to know the current ones.
func (l *Limiter) isSender(limit Rate, rank SenderRank, now time.Time) bool {
	if !rank.Valid || limit.RecordedAt.IsZero() {
		return false
	}
	n := senders(limit.PerSecond)
	rotation := int(now.Sub(limit.RecordedAt) / rotationInterval)
	firstPosition := rotation * n % rank.Total
	return (rank.Position-firstPosition+rank.Total)%rank.Total < n
}

// bucket returns the token bucket of a rate-limited server, refilled up to now, or nil if this
// router isn't a sender. l.mu must be held.
func (l *Limiter) bucket(incarnation string, limit Rate, rank SenderRank, now time.Time) *bucket {
	if !l.isSender(limit, rank, now) {
		delete(l.buckets, incarnation)
		return nil
	}
	b := l.buckets[incarnation]
	if b == nil {
		l.pruneBuckets()
		b = &bucket{lastRefill: now, senderSince: now}
		l.buckets[incarnation] = b
	}
	n := min(senders(limit.PerSecond), rank.Total)
	b.refill(max(limit.PerSecond, minProbeRate)/float64(n), now)
	return b
}

// pruneBuckets removes the buckets of servers that are no longer rate-limited.
func (l *Limiter) pruneBuckets() {
	if l.buckets == nil {
		l.buckets = make(map[string]*bucket)
	}
	for incarnation := range l.buckets {
		if _, limited := l.Limits.Lookup(incarnation); !limited {
			delete(l.buckets, incarnation)
		}
	}
}

// bucket is a token bucket with a capacity of one request. It starts empty, since the
// previous sender may have just used its own token.
type bucket struct {
	tokens      float64
	lastRefill  time.Time
	senderSince time.Time // when this router became a sender
	lastUse     time.Time // zero if never
}

func (b *bucket) refill(perSecond float64, now time.Time) {
	if now.Sub(b.senderSince) < rampDuration {
		perSecond *= rampFraction
	}
	b.tokens = min(1, b.tokens+perSecond*now.Sub(b.lastRefill).Seconds())
	b.lastRefill = now
}
