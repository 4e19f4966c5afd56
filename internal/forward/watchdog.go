package forward

import (
	"context"
	"sync/atomic"
	"time"

	"chicorytiller.example/chicorytiller/internal/quarantine"
)

// Timeouts of a silent server, after which the request is sent to another one.
const (
	// startFactor times the route's latency goal is how long a server may take to send the first
	// event of a stream, or all of a buffered answer. A healthy server with a queue is late by
	// about the goal, one that hangs never answers, and callers disconnect at four times the goal.
	startFactor = 2
	// gapFactor times the route's gap goal is how long a stream may pause between events.
	gapFactor = 2.5
	// minStartTimeout and minGapTimeout are lower bounds of these timeouts, used also where the
	// route states no goal.
	minStartTimeout = 400 * time.Millisecond
	minGapTimeout   = 1 * time.Second
)

// watchdog cancels an attempt whose server is silent, if the request may then be sent to another
// server. Without it, a server that hangs with its connection intact would hold the request until
// its deadline.
type watchdog struct {
	parent     context.Context // of the task
	ctx        context.Context // of the attempt
	cancel     context.CancelFunc
	timer      *time.Timer // nil if the request can't be retried
	gapTimeout time.Duration
	expired    atomic.Bool
	heldBack   atomic.Bool
	// stopHolding ends the effect of holdOn.
	stopHolding func()
}

// watch starts a watchdog for the next attempt.
func (t *task) watch(parent context.Context) *watchdog {
	w := &watchdog{parent: parent, stopHolding: func() {}}
	w.ctx, w.cancel = context.WithCancel(parent)
	route := t.r.Route
	if !route.Retryable() || t.sends+1 >= route.MaxAttempts {
		return w
	}
	w.gapTimeout = max(minGapTimeout, time.Duration(gapFactor*float64(route.GapGoal)))
	startTimeout := max(minStartTimeout, startFactor*route.LatencyGoal)
	retries, service, metrics := t.f.Retries, t.r.Service, t.f.Metrics
	w.timer = time.AfterFunc(startTimeout, func() {
		// Cancel the attempt only if the request may be retried.
		if !retries.TryAcquire(service) {
			return
		}
		metrics.Retried("stalled")
		w.expired.Store(true)
		w.cancel()
	})
	return w
}

// progress restarts the timeout after the server sent an event.
func (w *watchdog) progress() {
	if w.timer != nil {
		w.timer.Reset(w.gapTimeout)
	}
}

// pause stops the timeout until the next call of progress.
func (w *watchdog) pause() {
	if w.timer != nil {
		w.timer.Stop()
	}
}

// end stops the timeout for good, for an answer that can't be retried any more.
func (w *watchdog) end() {
	w.pause()
	w.timer = nil
}

// hasExpired reports whether the watchdog cancelled the attempt.
func (w *watchdog) hasExpired() bool {
	return w.expired.Load()
}

// holdOn cancels the attempt once one of its features is known to crash servers: until its server begins
// to answer, a crash can be averted.
func (w *watchdog) holdOn(q *quarantine.Quarantine, features []quarantine.Feature) {
	w.stopHolding = q.Watch(features, func() {
		w.heldBack.Store(true)
		w.cancel()
	})
}

// isHeldBack reports whether holdOn cancelled the attempt.
func (w *watchdog) isHeldBack() bool {
	return w.heldBack.Load()
}

func (w *watchdog) stop() {
	w.stopHolding()
	if w.timer != nil {
		w.timer.Stop()
	}
	w.cancel()
}
