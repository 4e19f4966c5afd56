package pacing

import (
	"time"

	"chicorytiller.example/chicorytiller/internal/fleet"
)

// coldRateFraction is the fraction of a cold server's rate that its only sender uses. For a
// few seconds after a change of sender there may be two; together they stay below 1.5 times
// the rate.
const coldRateFraction = 0.7

// coldWindow is the sliding window over which requests to a cold server are counted.
const coldWindow = time.Second

// isCold reports whether a server started so recently that it would crash under the request
// rate that it handles once it is warm.
func (l *Limiter) isCold(s *fleet.Server) bool {
	return s.ColdFor(l.Now()) > 0 && l.ColdRate(s.Service) > 0
}

// hasColdCapacity reports whether the rate of a cold server allows another request within
// coldWindow. l.mu must be held.
func (l *Limiter) hasColdCapacity(s *fleet.Server, now time.Time) bool {
	if l.coldSends == nil {
		l.coldSends = make(map[string][]time.Time)
	}
	recent := l.coldSends[s.Incarnation]
	for len(recent) > 0 && now.Sub(recent[0]) >= coldWindow {
		recent = recent[1:]
	}
	if len(recent) == 0 {
		delete(l.coldSends, s.Incarnation) // frees the entries of servers that have warmed up or left
	} else {
		l.coldSends[s.Incarnation] = recent
	}
	return float64(len(recent)+1) <= coldRateFraction*l.ColdRate(s.Service)
}
