package pacing

import "time"

// Every router to which a server announces a rate has to get it recorded. To avoid duplicate
// writes, each waits in proportion to its position in rank, and skips the write if another router's
// record arrives meanwhile.
const (
	// writeStagger is the additional wait per position in rank, up to maxWriteDelay.
	writeStagger  = 100 * time.Millisecond
	maxWriteDelay = 3 * time.Second
	// refreshInterval is how often a rate that is still announced is recorded again.
	refreshInterval = 10 * time.Second
	// initialRetryDelay is the wait after a write whose record hasn't arrived. It doubles with
	// each attempt, up to maxRetryDelay.
	initialRetryDelay = 2 * time.Second
	maxRetryDelay     = 32 * time.Second
	// rankPollInterval is how often a router without a valid rank checks it again.
	rankPollInterval = 500 * time.Millisecond
)

// pending is the state of a record to be written.
type pending struct {
	// since is when the write was first needed; zero if none is.
	since       time.Time
	lastAttempt time.Time
	attempts    int
}

// Wake returns a channel that receives a value when NextWrite may have a new result.
func (l *AnnouncedRates) Wake() <-chan struct{} {
	return l.wake
}

func (l *AnnouncedRates) notify() {
	select {
	case l.wake <- struct{}{}:
	default: // a wake-up is already pending
	}
}

// NextWrite returns a record that is due to be written, or nil and the time after which to call
// it again; zero means not before Wake. senderRank returns this router's rank for a subject.
func (l *AnnouncedRates) NextWrite(senderRank func(subject string) SenderRank) (*Record, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	wait := time.Duration(0)
	for _, subject := range l.subjects() {
		known := l.rates[subject]
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
		return &Record{Subject: subject, PerSecond: known.perSecond, Ended: known.ended}, 0
	}
	return nil, wait
}

// due returns when this router has to write the record, and whether a write is needed at all.
func (e *entry) due(now time.Time, senderRank func(subject string) SenderRank) (due time.Time, needed bool) {
	if !e.needsWrite(now) {
		e.pending = pending{}
		if e.needsRefresh() {
			return e.recorded.Add(refreshInterval), true
		}
		return time.Time{}, false
	}
	rank := senderRank(e.subject)
	if !rank.Valid {
		e.pending.since = now
		return now.Add(rankPollInterval), true
	}
	if e.pending.since.IsZero() {
		e.pending.since = now
	}
	due = e.pending.since.Add(min(time.Duration(rank.Position)*writeStagger, maxWriteDelay))
	if e.pending.attempts > 0 {
		retry := min(initialRetryDelay<<min(e.pending.attempts-1, 10), maxRetryDelay)
		if retryAt := e.pending.lastAttempt.Add(retry); retryAt.After(due) {
			due = retryAt
		}
	}
	return due, true
}

// needsWrite reports whether the record is missing, wrong or due for a refresh.
func (e *entry) needsWrite(now time.Time) bool {
	recorded := !e.recorded.IsZero()
	if e.ended {
		return e.endedLocally && recorded && !e.record.Ended
	}
	if e.reported.IsZero() {
		return false
	}
	return !recorded || e.record.Ended || !ratesEqual(e.record.PerSecond, e.perSecond) ||
		e.needsRefresh() && now.Sub(e.recorded) >= refreshInterval
}

// needsRefresh reports whether the rate was announced to this router again after it was
// recorded.
func (e *entry) needsRefresh() bool {
	return !e.ended && !e.recorded.IsZero() && e.reported.After(e.recorded)
}
