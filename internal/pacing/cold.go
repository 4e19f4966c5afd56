package pacing

import (
	"time"

	"chicorytiller.example/chicorytiller/internal/fleet"
)

// coldRateFraction is the part of a cold server's rate that its sender uses. While the sender changes
// there may be two for some seconds; together they stay below one and a half times the rate.
const coldRateFraction = 0.7

// coldWindow is the time in which a cold server's requests are counted.
const coldWindow = time.Second

// isCold says whether a server started a moment ago, so that it crashes under the rate that
// it bears once it is warm.
func (l *Limiter) isCold(s *fleet.Server) bool {
	return s.ColdFor(l.Now()) > 0 && l.ColdRate(s.Service) > 0
}

// hasColdCapacity counts what was sent to a cold server within the window; the limiter is locked.
func (l *Limiter) hasColdCapacity(s *fleet.Server, now time.Time) bool {
	if l.cold == nil {
		l.cold = make(map[string][]time.Time)
	}
	recent := l.cold[s.Incarnation]
	for len(recent) > 0 && now.Sub(recent[0]) >= coldWindow {
		recent = recent[1:]
	}
	if len(recent) == 0 {
		delete(l.cold, s.Incarnation) // nothing is kept of servers that got warm or left
	} else {
		l.cold[s.Incarnation] = recent
	}
	return float64(len(recent)+1) <= coldRateFraction*l.ColdRate(s.Service)
}
