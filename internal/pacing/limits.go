// Package pacing bounds what backend servers are sent that bear fewer requests than they
// would get, over all routers together.
package pacing

import (
	"log/slog"
	"sync"
	"time"

	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/fleet"
)

// Limits is what this router knows of the limits that backend servers name in their
// answers. It is safe for concurrent use.
type Limits struct {
	log *event.Log
	now func() time.Time

	mu    sync.Mutex
	named map[string]*limit // by start of the server
}

// limit is one server's.
type limit struct {
	perSecond float64
	// heard is when an answer last named it.
	heard time.Time
}

// NewLimits makes an empty set. A nil now means time.Now.
func NewLimits(log *event.Log, now func() time.Time) *Limits {
	if now == nil {
		now = time.Now
	}
	return &Limits{log: log, now: now, named: make(map[string]*limit)}
}

// Answered takes what an answer to a request says, and when that request was sent.
func (l *Limits) Answered(s *fleet.Server, said fleet.RateLimit, sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.named[s.Start]
	switch {
	case said.State == fleet.LimitNamed:
		l.takeNamed(s, known, said.PerSecond)
	case said.State == fleet.LimitAbsent && known != nil && sent.After(known.heard):
		delete(l.named, s.Start)
		l.log.Emit(event.BackendUnlimited, slog.String(event.KeyBackend, s.ID), slog.Int64("heard_ms", l.now().Sub(known.heard).Milliseconds()))
	}
}

func (l *Limits) takeNamed(s *fleet.Server, known *limit, perSecond float64) {
	if known == nil || known.perSecond != perSecond {
		l.log.Emit(event.BackendLimited, slog.String(event.KeyBackend, s.ID), slog.Float64("per_second", perSecond))
	}
	l.named[s.Start] = &limit{perSecond: perSecond, heard: l.now()}
}
