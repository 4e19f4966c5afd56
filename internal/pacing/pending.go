package pacing

import "time"

// Pace of the records. All routers that heard of a limit want it recorded; they write in
// rank, and whoever sees the record of another one writes none.
const (
	// writeStep is the time between two routers in rank, and writeLast the longest wait.
	writeStep = 100 * time.Millisecond
	writeLast = 3 * time.Second
	// confirmEvery is how often a limit that is still named is recorded again.
	confirmEvery = 10 * time.Second
	// retryFirst is the wait after a write whose record isn't seen; it doubles up to retryMost.
	retryFirst = 2 * time.Second
	retryMost  = 32 * time.Second
	// unsurePoll is how often a router that doesn't know its rank looks again.
	unsurePoll = 500 * time.Millisecond
)

// pending is a record to be written.
type pending struct {
	// since is when it was first wanted; zero: none is.
	since time.Time
	tried time.Time
	tries int
}

// Wake is sent to when there may be another record to write.
func (l *Limits) Wake() <-chan struct{} {
	return l.wake
}

func (l *Limits) signal() {
	select {
	case l.wake <- struct{}{}:
	default: // one is due already
	}
}

// NextWrite returns a record that is due to be written, or nil and the time after which to ask
// again; zero: not before Wake. place tells this router's rank for a server.
func (l *Limits) NextWrite(place func(start string) SenderRank) (*Record, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	wait := time.Duration(0)
	for _, start := range l.starts() {
		known := l.known[start]
		due, wanted := known.due(now, place)
		if !wanted {
			continue
		}
		if left := due.Sub(now); left > 0 {
			if wait == 0 || left < wait {
				wait = left
			}
			continue
		}
		known.pending.tried = now
		known.pending.tries++
		return &Record{Incarnation: start, PerSecond: known.perSecond, Ended: known.over}, 0
	}
	return nil, wait
}

// due is when this router writes the record, if it wants one.
func (k *limit) due(now time.Time, place func(start string) SenderRank) (due time.Time, wanted bool) {
	if !k.wantsRecord(now) {
		k.pending = pending{}
		if k.wantsConfirming() {
			return k.recorded.Add(confirmEvery), true
		}
		return time.Time{}, false
	}
	at := place(k.start)
	if !at.Valid {
		k.pending.since = now
		return now.Add(unsurePoll), true
	}
	if k.pending.since.IsZero() {
		k.pending.since = now
	}
	due = k.pending.since.Add(min(time.Duration(at.Position)*writeStep, writeLast))
	if k.pending.tries > 0 {
		retry := min(retryFirst<<min(k.pending.tries-1, 10), retryMost)
		if again := k.pending.tried.Add(retry); again.After(due) {
			due = again
		}
	}
	return due, true
}

// wantsRecord says whether the record should say something else than it does, or is old.
func (k *limit) wantsRecord(now time.Time) bool {
	recorded := !k.recorded.IsZero()
	if k.over {
		return k.endedHere && recorded && !k.record.Ended
	}
	if k.heard.IsZero() {
		return false
	}
	return !recorded || k.record.Ended || !isSameRate(k.record.PerSecond, k.perSecond) ||
		k.wantsConfirming() && now.Sub(k.recorded) >= confirmEvery
}

// wantsConfirming says whether the limit was named to this router after it was recorded.
func (k *limit) wantsConfirming() bool {
	return !k.over && !k.recorded.IsZero() && k.heard.After(k.recorded)
}
