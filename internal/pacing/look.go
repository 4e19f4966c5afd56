package pacing

import (
	"maps"
	"slices"
)

// Copy returns a limiter in the same state. Nothing that is asked of it, or taken from it, changes this one.
func (l *Limiter) Copy() *Limiter {
	c := &Limiter{ColdRate: l.ColdRate, SenderRank: l.SenderRank, Limits: l.Limits, Now: l.Now}
	l.mu.Lock()
	defer l.mu.Unlock()
	c.ranks, c.coldSends = maps.Clone(l.ranks), maps.Clone(l.coldSends)
	for incarnation, sends := range c.coldSends {
		c.coldSends[incarnation] = slices.Clone(sends)
	}
	c.buckets = make(map[string]*bucket, len(l.buckets))
	for incarnation, b := range l.buckets {
		copied := *b
		c.buckets[incarnation] = &copied
	}
	return c
}
