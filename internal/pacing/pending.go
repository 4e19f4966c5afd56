package pacing

import "time"

// Pace of the records. All routers that heard of a limit want it recorded; they write in
// rank, and whoever sees the record of another one writes none.
const (
	// writeStagger is the time between two routers in rank, and writeLast the longest wait.
	writeStagger  = 100 * time.Millisecond
	maxWriteDelay = 3 * time.Second
	// refreshInterval is how often a limit that is still named is recorded again.
	refreshInterval = 10 * time.Second
	// initialRetryDelay is the wait after a write whose record isn't seen; it doubles up to retryMost.
	initialRetryDelay = 2 * time.Second
	maxRetryDelay     = 32 * time.Second
	// rankPollInterval is how often a router that doesn't know its rank looks again.
	rankPollInterval = 500 * time.Millisecond
)

// pending is a record to be written.
type pending struct {
	// since is when it was first wanted; zero: none is.
	since       time.Time
	lastAttempt time.Time
	attempts    int
}

// Wake is sent to when there may be another record to write.
func (l *Limits) Wake() <-chan struct{} {
	return l.wake
}

func (l *Limits) notify() {
	select {
	case l.wake <- struct{}{}:
	default: // one is due already
	}
}

// NextWrite returns a record that is due to be written, or nil and the time after which to ask
// again; zero: not before Wake. place tells this router's rank for a server.
func (l *Limits) NextWrite(senderRank func(start string) SenderRank) (*Record, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	wait := time.Duration(0)
	for _, start := range l.starts() {
		known := l.known[start]
		due, needed := known.due(now, senderRank)
		if !needed {
			continue
		}
		if remaining := due.Sub(now); remaining > 0 {
			if wait == 0 || remaining < wait {
				wait = remaining
			}
			continue
		}
		known.pending.lastAttempt = now
		known.pending.attempts++
		return &Record{Incarnation: start, PerSecond: known.perSecond, Ended: known.ended}, 0
	}
	return nil, wait
}

// due is when this router writes the record, if it wants one.
func (k *limit) due(now time.Time, senderRank func(start string) SenderRank) (due time.Time, needed bool) {
	if !k.needsWrite(now) {
		k.pending = pending{}
		if k.needsRefresh() {
			return k.recorded.Add(refreshInterval), true
		}
		return time.Time{}, false
	}
	rank := senderRank(k.start)
	if !rank.Valid {
		k.pending.since = now
		return now.Add(rankPollInterval), true
	}
	if k.pending.since.IsZero() {
		k.pending.since = now
	}
	due = k.pending.since.Add(min(time.Duration(rank.Position)*writeStagger, maxWriteDelay))
	if k.pending.attempts > 0 {
		retry := min(initialRetryDelay<<min(k.pending.attempts-1, 10), maxRetryDelay)
		if retryAt := k.pending.lastAttempt.Add(retry); retryAt.After(due) {
			due = retryAt
		}
	}
	return due, true
}

// needsWrite says whether the record should say something else than it does, or is old.
func (k *limit) needsWrite(now time.Time) bool {
	recorded := !k.recorded.IsZero()
	if k.ended {
		return k.endedLocally && recorded && !k.record.Ended
	}
	if k.reported.IsZero() {
		return false
	}
	return !recorded || k.record.Ended || !ratesEqual(k.record.PerSecond, k.perSecond) ||
		k.needsRefresh() && now.Sub(k.recorded) >= refreshInterval
}

// needsRefresh says whether the limit was named to this router after it was recorded.
func (k *limit) needsRefresh() bool {
	return !k.ended && !k.recorded.IsZero() && k.reported.After(k.recorded)
}
