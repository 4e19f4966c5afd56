package forward

import (
	"context"
	"sync/atomic"
	"time"
)

// Patience with a silent server, before the request goes on at another one.
const (
	// firstByteFactor is how many times the route's goal a server may take to begin.
	// A queue makes a sound server late by about the goal; one that has hung
	// never begins, and callers leave at four times the goal.
	firstByteFactor = 2
	// gapFactor is how many times the route's gap goal a stream may pause.
	gapFactor = 2.5
	// minFirstByteTimeout and leastGap are used where the route states no goal.
	minFirstByteTimeout = 400 * time.Millisecond
	minGapTimeout       = 1 * time.Second
)

// watchdog ends an attempt whose server is silent, if the request may then be sent
// to another. Without it a server that hangs holds a request until its deadline
// although its connection is sound.
type watchdog struct {
	parent     context.Context // the task's
	ctx        context.Context // the attempt's
	cancel     context.CancelFunc
	timer      *time.Timer // nil if the request can't be repeated
	gapTimeout time.Duration
	expired    atomic.Bool
}

// watch starts the watchdog of the next attempt.
func (t *task) watch(parent context.Context) *watchdog {
	w := &watchdog{parent: parent}
	w.ctx, w.cancel = context.WithCancel(parent)
	route := t.r.Route
	if !route.Repeatable() || t.sends+1 >= route.Attempts {
		return w
	}
	w.gapTimeout = max(minGapTimeout, time.Duration(gapFactor*float64(route.GapGoal)))
	firstByteTimeout := max(minFirstByteTimeout, firstByteFactor*route.Goal)
	retries, service, metrics := t.f.Retries, t.r.Service, t.f.Metrics
	w.timer = time.AfterFunc(firstByteTimeout, func() {
		// Only a repeat that is allowed makes it right to give this attempt up.
		if !retries.TryAcquire(service) {
			return
		}
		metrics.Retried("stalled")
		w.expired.Store(true)
		w.cancel()
	})
	return w
}

// progress notes that the server sent something.
func (w *watchdog) progress() {
	if w.timer != nil {
		w.timer.Reset(w.gapTimeout)
	}
}

// hasExpired says whether the watchdog ended the attempt.
func (w *watchdog) hasExpired() bool {
	return w.expired.Load()
}

func (w *watchdog) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
	w.cancel()
}
