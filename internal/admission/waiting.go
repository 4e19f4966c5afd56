package admission

import (
	"math"
	"slices"
	"time"
)

// waitsInClass reports whether a request of the same class waits that comes before w.
func (g *Gate) waitsInClass(w *Waiter) bool {
	for _, other := range g.waiting {
		if compare(other, w) > 0 {
			return false
		}
		if other.class == w.class {
			return true
		}
	}
	return false
}

// expectedWait returns the time after which the obstacle is expected to be gone for the request.
func (g *Gate) expectedWait(w *Waiter, cause Cause, now time.Time) time.Duration {
	ahead, sameClass := 0, 0.0
	bound := g.binding(w.class, w.weight, now)
	for _, other := range g.waiting {
		if compare(other, w) > 0 {
			break
		}
		ahead++
		if other.class == w.class || bound.pool && other.class.pooled() == bound {
			sameClass += other.weight
		}
	}
	seconds := g.durations.seconds(0) / max(g.limiter.limit, minLimit) * float64(ahead)
	if cause == OverShare {
		used := g.admitted(bound, now) + sameClass
		seconds = max(seconds, window.Seconds()*math.Log(max(1, used/max(threshold(g.share(bound), w.weight), minLimit/100))))
	}
	return time.Duration(seconds * float64(time.Second))
}

// compare orders waiting requests: by level, then by deadline, then by work.
func compare(a, b *Waiter) int {
	if a.level != b.level {
		return a.level - b.level
	}
	if !a.Request.Deadline.Equal(b.Request.Deadline) {
		switch {
		case a.Request.Deadline.IsZero():
			return 1
		case b.Request.Deadline.IsZero():
			return -1
		}
		return a.Request.Deadline.Compare(b.Request.Deadline)
	}
	switch {
	case a.weight < b.weight:
		return -1
	case a.weight > b.weight:
		return 1
	}
	return 0
}

// enqueue lets a request wait. If the queue is too long, the wait of the last one in order ends.
func (g *Gate) enqueue(w *Waiter, now time.Time) {
	at, _ := slices.BinarySearchFunc(g.waiting, w, func(a, b *Waiter) int {
		if compare(a, b) <= 0 {
			return -1 // behind those that came before it
		}
		return 1
	})
	g.waiting = slices.Insert(g.waiting, at, w)
	if len(g.waiting) > maxWaiting {
		g.waiting[maxWaiting].Until = now
	}
}

// Next settles waiting requests that can be admitted, or that have waited long enough, and returns
// them.
func (g *Gate) Next(now time.Time) []*Waiter {
	if len(g.waiting) == 0 {
		return nil
	}
	if g.limiter.limited {
		g.refreshShares(now)
	}
	var settled []*Waiter
	rest := g.waiting[:0]
	for _, w := range g.waiting {
		cause := Cause("")
		if g.limiter.limited {
			cause = g.obstacle(w, now)
		}
		switch {
		case g.late(w, now):
			g.refuse(w, Late, now)
		case cause == "":
			g.admit(w, now)
		case !now.Before(w.Until):
			g.refuse(w, cause, now)
		default:
			rest = append(rest, w)
			continue
		}
		settled = append(settled, w)
	}
	clear(g.waiting[len(rest):])
	g.waiting = rest
	return settled
}

// Withdraw removes a waiting request whose caller disconnected.
func (g *Gate) Withdraw(w *Waiter) {
	if i := slices.Index(g.waiting, w); i >= 0 {
		g.waiting = slices.Delete(g.waiting, i, i+1)
	}
	w.Settled, w.Refusal = true, &Refusal{Cause: Abandoned}
}
