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
	// rampTime is how long a new sender to a limited server sends at rampPart of its rate:
	// longer than a router that doesn't know yet that it is none any more goes on sending.
	// Together they stay below one and a half times the limit.
	rampTime = 3500 * time.Millisecond
	rampPart = 0.5
	// sendersLeast and sendersPerRate are how many routers send to a limited server, and how
	// many more for each request a second. Each may have one request saved up, and five may
	// come beyond one and a half times the limit.
	sendersLeast   = 3
	sendersPerRate = 0.25
	// senderRate is the least rate of a sender, where there is more than one: with less it
	// waits for seconds until it may send at all.
	senderRate = 0.4
	// turnLength is how long the first senders in rank may leave a limit unconfirmed before
	// the next in rank stand in: a sender without callers never hears of the limit's end.
	turnLength = 25 * time.Second
	// leastPerSecond is the rate at which a server that takes nothing, or next to nothing,
	// is asked whether it still does.
	leastPerSecond = 0.1
	// askEvery is how often a sender's request goes to a limited server whatever else speaks
	// for another one, so that the end of the limit is heard.
	askEvery = time.Second
	// placeKept is how long a rank is used again: each request looks at all servers.
	placeKept = 50 * time.Millisecond
	// waitMost bounds the time after which callers are told to come again.
	waitMost = 10 * time.Second
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
	places  map[string]placeAt     // of late, by start
}

// placeAt is a rank and when it was looked up.
type placeAt struct {
	SenderRank
	at time.Time
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
	return l.permit(s, false)
}

// Take asks for one request to a bounded server. It is counted if it is allowed.
func (l *Limiter) TryAcquire(s *fleet.Server) bool {
	return l.permit(s, true)
}

// permit says whether a request is allowed, and counts it if it is to be taken.
func (l *Limiter) permit(s *fleet.Server, take bool) bool {
	now, cold := l.Now(), l.isCold(s)
	limit, limited := l.Limits.Lookup(s.Incarnation)
	l.mu.Lock()
	defer l.mu.Unlock()
	place := l.place(s.Incarnation, now)
	if cold && !(place.Valid && place.Position == 0 && l.coldRoom(s, now)) {
		return false
	}
	var b *bucket
	if limited {
		b = l.bucket(s.Incarnation, limit, place, now)
		if b == nil || b.tokens < 1 {
			return false
		}
	}
	if take && cold {
		l.cold[s.Incarnation] = append(l.cold[s.Incarnation], now)
	}
	if take && limited {
		b.tokens--
		b.taken = now
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
	b := l.bucket(s.Incarnation, limit, l.place(s.Incarnation, now), now)
	return b != nil && b.tokens >= 1 && now.Sub(b.taken) >= askEvery
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
	if b := l.bucket(s.Incarnation, limit, l.place(s.Incarnation, now), now); b != nil {
		missing = max(0, 1-b.tokens)
	}
	next := time.Duration(missing / max(limit.PerSecond, leastPerSecond) * float64(time.Second))
	return max(wait, min(next, waitMost))
}

// place is this router's rank as of a moment ago; the limiter is locked.
func (l *Limiter) place(start string, now time.Time) SenderRank {
	known, found := l.places[start]
	if found && now.Sub(known.at) < placeKept {
		return known.SenderRank
	}
	if l.places == nil || len(l.places) >= limitsMost {
		l.places = make(map[string]placeAt)
	}
	known = placeAt{SenderRank: l.SenderRank(start), at: now}
	l.places[start] = known
	return known.SenderRank
}

// senders is how many routers send to a server with a limit, each its part of the limit. With
// more of them more callers find one that may send; with a bounded number the requests that
// each may have saved up stay below what is allowed beside the limit, whatever the fleet.
func senders(perSecond float64) int {
	most := sendersLeast + sendersPerRate*perSecond
	return max(1, int(math.Floor(min(most, perSecond/senderRate))))
}

// isSender says whether this router is one of those that send to a limited server. It never
// is before the limit is recorded, since the routers take turns by the age of the record.
func (l *Limiter) isSender(limit Limit, place SenderRank, now time.Time) bool {
	if !place.Valid || limit.RecordedAt.IsZero() {
		return false
	}
	n := senders(limit.PerSecond)
	turn := int(now.Sub(limit.RecordedAt) / turnLength)
	first := turn * n % place.Total
	return (place.Position-first+place.Total)%place.Total < n
}

// bucket returns the allowance of a limited server as of now; nil: this router sends it
// nothing. The limiter is locked.
func (l *Limiter) bucket(start string, limit Limit, place SenderRank, now time.Time) *bucket {
	if !l.isSender(limit, place, now) {
		delete(l.buckets, start)
		return nil
	}
	b := l.buckets[start]
	if b == nil {
		l.forgetBuckets()
		b = &bucket{at: now, since: now}
		l.buckets[start] = b
	}
	n := min(senders(limit.PerSecond), place.Total)
	b.refill(max(limit.PerSecond, leastPerSecond)/float64(n), now)
	return b
}

// forgetBuckets drops those of servers that are not limited any more.
func (l *Limiter) forgetBuckets() {
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
	tokens float64
	at     time.Time
	since  time.Time // when this router became a sender
	taken  time.Time // when it was last used; zero: never
}

func (b *bucket) refill(perSecond float64, now time.Time) {
	if now.Sub(b.since) < rampTime {
		perSecond *= rampPart
	}
	b.tokens = min(1, b.tokens+perSecond*now.Sub(b.at).Seconds())
	b.at = now
}
