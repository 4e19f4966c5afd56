// Package slowstart bounds what backend servers that started a moment ago are sent, over
// all routers together: a cold server crashes under the rate that it bears once it is warm.
package slowstart

import (
	"sync"
	"time"

	"chicorytiller.example/chicorytiller/internal/fleet"
)

const (
	// window is the time in which a cold server's requests are counted.
	window = time.Second
	// share is the part of the rate that the one sender of a server uses. While the sender
	// changes there may be two for some seconds; together they stay below one and a half
	// times the rate.
	share = 0.7
)

// Limiter decides whether this router may send a request to a cold server. Each cold server
// has one sender among the routers, and no other router sends it anything, so the bound
// holds without any talk between them. It is safe for concurrent use.
type Limiter struct {
	// Rate is the requests a second that a cold server of a service bears; 0: no bound.
	Rate func(service string) float64
	// Sender says whether this router is the one that may send to a server, by its start. It
	// must be false if the router can't be sure of that.
	Sender func(start string) bool
	// Now is the clock.
	Now func() time.Time

	mu   sync.Mutex
	sent map[string][]time.Time // within the window, by start of the server
}

// Bounded says whether a server bears few requests now.
func (l *Limiter) Bounded(s *fleet.Server) bool {
	return s.ColdFor(l.Now()) > 0 && l.Rate(s.Service) > 0
}

// Room says whether Take would allow a request to a cold server.
func (l *Limiter) Room(s *fleet.Server) bool {
	if !l.Sender(s.Start) {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.room(s)
}

// Take asks for one request to a cold server. It is counted if it is allowed.
func (l *Limiter) Take(s *fleet.Server) bool {
	if !l.Sender(s.Start) {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.room(s) {
		return false
	}
	l.sent[s.Start] = append(l.sent[s.Start], l.Now())
	return true
}

// room counts what was sent within the window; the limiter is locked.
func (l *Limiter) room(s *fleet.Server) bool {
	now := l.Now()
	if l.sent == nil {
		l.sent = make(map[string][]time.Time)
	}
	recent := l.sent[s.Start]
	for len(recent) > 0 && now.Sub(recent[0]) >= window {
		recent = recent[1:]
	}
	if len(recent) == 0 {
		delete(l.sent, s.Start) // nothing is kept of servers that got warm or left
	} else {
		l.sent[s.Start] = recent
	}
	return float64(len(recent)+1) <= share*l.Rate(s.Service)
}
