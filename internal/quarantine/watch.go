package quarantine

import "slices"

// watch is a request that waits for the first event of its answer.
type watch struct {
	features []Feature
	cancel   func()
}

// Watch calls cancel once one of the features is held back, until stop is called.
func (q *Quarantine) Watch(features []Feature, cancel func()) (stop func()) {
	w := &watch{features: features, cancel: cancel}
	q.mu.Lock()
	defer q.unlock()
	q.watches[w] = struct{}{}
	return func() {
		q.mu.Lock()
		defer q.unlock()
		delete(q.watches, w)
	}
}

// cancelHeld cancels the watched requests that are held back.
func (q *Quarantine) cancelHeld() {
	for w := range q.watches {
		if slices.ContainsFunc(w.features, func(f Feature) bool { _, held := q.held[f]; return held }) {
			q.cancelled = append(q.cancelled, w)
			delete(q.watches, w)
		}
	}
}

// trialFactor is by how much longer a trial has to wait for each crash beyond just enough evidence. Most
// features that crash servers have crashed more of them by the time all routers know.
const trialFactor = 6

// TryAgain reports whether one request with a feature that is held back should be sent, to find out
// whether the feature was blamed wrongly. isElected reports whether this is the one router of the fleet
// that may.
func (q *Quarantine) TryAgain(feature Feature, isElected func() bool) bool {
	q.mu.Lock()
	defer q.unlock()
	q.judgeIfDue()
	blame, found := q.held[feature]
	delay := rules[feature.Kind].trialDelay
	if !found || delay == 0 {
		return false
	}
	for range len(blame.Servers) - rules[feature.Kind].servers {
		delay *= trialFactor
	}
	now := q.now()
	since := q.lastCrash(blame)
	if tried := q.trials[feature]; tried.After(since) {
		since = tried
	}
	if delay > SuspectTTL || now.Sub(since) < delay || !isElected() {
		return false
	}
	q.trials[feature] = now
	return true
}
