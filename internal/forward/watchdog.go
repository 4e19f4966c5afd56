package forward

import (
	"context"
	"sync/atomic"
	"time"
)

// Patience with a silent server, before the request goes on at another one.
const (
	// firstWaits is how many times the route's goal a server may take to begin.
	// A queue makes a sound server late by about the goal; one that has hung
	// never begins, and callers leave at four times the goal.
	firstWaits = 2
	// gapWaits is how many times the route's gap goal a stream may pause.
	gapWaits = 2.5
	// leastFirst and leastGap are used where the route states no goal.
	leastFirst = 400 * time.Millisecond
	leastGap   = 1 * time.Second
)

// watchdog ends an attempt whose server is silent, if the request may then be sent
// to another. Without it a server that hangs holds a request until its deadline
// although its connection is sound.
type watchdog struct {
	parent context.Context // the task's
	ctx    context.Context // the attempt's
	cancel context.CancelFunc
	timer  *time.Timer // nil if the request can't be repeated
	gap    time.Duration
	ended  atomic.Bool
}

// watch starts the watchdog of the next attempt.
func (t *task) watch(parent context.Context) *watchdog {
	w := &watchdog{parent: parent}
	w.ctx, w.cancel = context.WithCancel(parent)
	route := t.r.Route
	if !route.Repeatable() || t.sends+1 >= route.Attempts {
		return w
	}
	w.gap = max(leastGap, time.Duration(gapWaits*float64(route.GapGoal)))
	first := max(leastFirst, firstWaits*route.Goal)
	retries, service, metrics := t.f.Retries, t.r.Service, t.f.Metrics
	w.timer = time.AfterFunc(first, func() {
		// Only a repeat that is allowed makes it right to give this attempt up.
		if !retries.TryAcquire(service) {
			return
		}
		metrics.Retried("stalled")
		w.ended.Store(true)
		w.cancel()
	})
	return w
}

// progress notes that the server sent something.
func (w *watchdog) progress() {
	if w.timer != nil {
		w.timer.Reset(w.gap)
	}
}

// fired says whether the watchdog ended the attempt.
func (w *watchdog) fired() bool {
	return w.ended.Load()
}

func (w *watchdog) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
	w.cancel()
}
