package escrow

import "time"

// line is the order in which requests that wait for one account's tokens get them while
// the store is away and little may be spent. Without it each takes a part of the little
// there is, none gets all it needs, and all are refused.
type line struct {
	waiters []waiter
}

// waiter is one request in a line. It asks again and again until it is served.
type waiter struct {
	ticket string
	tokens int64
	seen   time.Duration // when it asked last, by the steady clock
}

// lineKept is how long a waiter that doesn't ask any more keeps its place: some of its
// pauses between two tries, with the round trip to this router.
const lineKept = 400 * time.Millisecond

// admits says whether a request may take its tokens now: all of them, and only if those
// who came before it can have theirs too. Else it has a place in the line.
func (l *line) admits(ticket string, tokens, available int64, now time.Duration) bool {
	l.drop(now)
	ahead := int64(0)
	for i := range l.waiters {
		w := &l.waiters[i]
		if w.ticket != ticket {
			ahead += w.tokens
			continue
		}
		if ahead+tokens <= available {
			l.waiters = append(l.waiters[:i], l.waiters[i+1:]...)
			return true
		}
		w.tokens, w.seen = tokens, now
		return false
	}
	if ahead+tokens <= available {
		return true
	}
	l.waiters = append(l.waiters, waiter{ticket: ticket, tokens: tokens, seen: now})
	return false
}

// wanted is the tokens that the line waits for.
func (l *line) wanted(now time.Duration) int64 {
	l.drop(now)
	sum := int64(0)
	for _, w := range l.waiters {
		sum += w.tokens
	}
	return sum
}

// drop forgets the waiters that have stopped asking.
func (l *line) drop(now time.Duration) {
	kept := l.waiters[:0]
	for _, w := range l.waiters {
		if now-w.seen <= lineKept {
			kept = append(kept, w)
		}
	}
	l.waiters = kept
}
