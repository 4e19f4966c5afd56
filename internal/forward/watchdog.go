package forward

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"chicorytiller.example/chicorytiller/internal/quarantine"
)

// Times after which a request is offered to another server because the one that runs it is silent.
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
	// offerInterval is the time to the next offer if there was no server for one. It doubles with each
	// server that rejects an offer, up to maxOfferInterval.
	offerInterval    = 250 * time.Millisecond
	maxOfferInterval = 2 * time.Second
)

// watchdog offers a request to another server while the one that runs it is silent, and cancels the attempt
// once another one has taken the request. Without it, a server that hangs with its connection intact would hold
// the request until its deadline. A server that is only slow keeps the request as long as no other takes it.
type watchdog struct {
	parent     context.Context // of the task
	cancel     context.CancelFunc
	gapTimeout time.Duration
	heldBack   atomic.Bool
	// stopHolding ends the effect of holdOn.
	stopHolding func()

	mu    sync.Mutex
	timer *time.Timer // nil if the request can't be retried
	// timeout is how long the server may be silent from silentSince on.
	silentSince time.Time
	timeout     time.Duration
	interval    time.Duration // to the next offer
	// paused is set while the server's silence doesn't count. The task's fields change only then.
	paused bool
	// begun is set once the head of the answer has come.
	begun bool
	// expired is set if the attempt was given up before another server had taken the request.
	expired bool
	// ended is set once the attempt has ended, or can't be given up any more.
	ended bool
	// offered is the attempt at another server that has not been taken yet; nil: none.
	offered *exchange
	// replacement is the attempt for which this one was given up; nil: none.
	replacement *exchange
	// ran is the number of offers that servers may have run and for which the attempt was not given up.
	ran int
	// maxOffers is how many of them there may be.
	maxOffers int
}

// watch starts a watchdog for an exchange that is about to begin or, after an offer, has begun.
func (t *task) watch(parent context.Context, x *exchange) *watchdog {
	w := &watchdog{parent: parent, cancel: x.cancel, stopHolding: func() {}}
	route := t.r.Route
	if !route.Retryable() || t.sends+1 >= route.MaxAttempts {
		return w
	}
	w.maxOffers = route.MaxAttempts - t.sends - 1
	w.gapTimeout = max(minGapTimeout, time.Duration(gapFactor*float64(route.GapGoal)))
	w.silentSince, w.timeout, w.interval = x.sentAt, max(minStartTimeout, startFactor*route.LatencyGoal), offerInterval
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(time.Until(w.silentSince.Add(w.timeout)), func() { t.offerRequest(w) })
	return w
}

// progress restarts the timeout after the server sent an event.
func (w *watchdog) progress() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silentSince, w.timeout, w.interval = time.Now(), w.gapTimeout, offerInterval
	w.startTimer()
}

// resume goes on with the timeout after hold.
func (w *watchdog) resume() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.startTimer()
}

// startTimer lets the timeout run. The caller holds mu.
func (w *watchdog) startTimer() {
	w.paused = false
	if w.timer != nil && !w.ended && !w.isGivenUp() {
		w.timer.Reset(time.Until(w.silentSince.Add(w.timeout)))
	}
}

// hold stops the timeout until the next call of resume, while the task changes. An offer that has been sent may still be
// taken. It returns false if the attempt was given up for another one.
func (w *watchdog) hold() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.paused, w.begun = true, true
	if w.timer != nil {
		w.timer.Stop()
	}
	return !w.isGivenUp()
}

// pause stops the timeout until the next call of progress, and withdraws an offer that no server has taken yet. It
// returns false if the attempt was given up for another one: what came of its answer must not be relayed.
func (w *watchdog) pause() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stopTimer()
}

// end is pause for good, for an answer that can't be retried any more.
func (w *watchdog) end() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	return w.stopTimer()
}

// stopTimer implements pause. The caller holds mu.
func (w *watchdog) stopTimer() bool {
	if w.isGivenUp() {
		return false
	}
	w.paused = true
	if w.timer != nil {
		w.timer.Stop()
	}
	if w.offered != nil {
		w.offered.cancel()
		w.offered = nil
	}
	return true
}

// isSilent reports whether the server is still silent. If not, a call of offerRequest has come too late. The caller
// holds mu.
func (w *watchdog) isSilent() bool {
	return !w.ended && !w.paused && w.offered == nil && !w.isGivenUp() && time.Since(w.silentSince) >= w.timeout
}

// offerLater makes the next offer due after the interval, which doubles if a server has rejected the last one.
func (w *watchdog) offerLater(rejected bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.isSilent() {
		return
	}
	w.timer.Reset(w.interval)
	if rejected {
		w.interval = min(2*w.interval, maxOfferInterval)
	}
}

// beginOffer notes that the request is offered, unless its server has sent something since the time given or the
// attempt has ended.
func (w *watchdog) beginOffer(x *exchange, silentSince time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.isSilent() || w.silentSince != silentSince || w.ran >= w.maxOffers {
		return false
	}
	w.offered = x
	return true
}

// endOffer notes that the offer was not taken.
func (w *watchdog) endOffer(x *exchange) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.offered == x {
		w.offered = nil
	}
}

// replaceBy cancels the attempt, since another server has taken the request. It returns false if the offer was
// withdrawn, or if it has done so before.
func (w *watchdog) replaceBy(x *exchange) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.offered != x {
		return false
	}
	w.offered, w.replacement = nil, x
	w.uncount(x) // it is an attempt of its own from now on
	w.cancel()
	return true
}

// isReplacedBy reports whether the attempt was given up for the other one.
func (w *watchdog) isReplacedBy(x *exchange) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.replacement == x
}

// countOffer counts an offer, which its server may run from now on.
func (w *watchdog) countOffer(x *exchange) {
	w.mu.Lock()
	defer w.mu.Unlock()
	x.counted = true
	w.ran++
}

// uncountOffer takes back the count of an offer that its server surely has not run.
func (w *watchdog) uncountOffer(x *exchange) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.uncount(x)
}

// uncount implements uncountOffer. The caller holds mu.
func (w *watchdog) uncount(x *exchange) {
	if x.counted {
		x.counted = false
		w.ran--
	}
}

// hasExpired reports whether the watchdog cancelled the attempt.
func (w *watchdog) hasExpired() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.isGivenUp()
}

// isGivenUp reports whether the watchdog cancelled the attempt. The caller holds mu.
func (w *watchdog) isGivenUp() bool {
	return w.replacement != nil || w.expired
}

// expire gives the attempt up, unless its server has sent something since the time given.
func (w *watchdog) expire(silentSince time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.isSilent() || w.silentSince != silentSince {
		return false
	}
	w.expired = true
	w.cancel()
	return true
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

// stop ends the watch. It returns the attempt for which the watched one was given up, or nil, and the number of other
// offers that servers may have run.
func (w *watchdog) stop() (replacement *exchange, ran int) {
	w.stopHolding()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	w.stopTimer()
	return w.replacement, w.ran
}
