package escrow

import "time"

// queue is the order in which requests that wait for one account's tokens get them while
// the store is away and little may be spent. Without it each takes a part of the little
// there is, none gets all it needs, and all are refused.
type queue struct {
	waiters []waiter
}

// waiter is one request in a queue. It asks again and again until it is served.
type waiter struct {
	id       string
	tokens   int64
	lastSeen time.Duration // when it asked last, by the steady clock
}

// waiterTimeout is how long a waiter that doesn't ask any more keeps its place: some of its
// pauses between two tries, with the round trip to this router.
const waiterTimeout = 400 * time.Millisecond

// admit says whether a request may take its tokens now: all of them, and only if those
// who came before it can have theirs too. Else it has a place in the queue.
func (q *queue) admit(id string, tokens, available int64, now time.Duration) bool {
	q.dropExpired(now)
	ahead := int64(0)
	for i := range q.waiters {
		w := &q.waiters[i]
		if w.id != id {
			ahead += w.tokens
			continue
		}
		if ahead+tokens <= available {
			q.waiters = append(q.waiters[:i], q.waiters[i+1:]...)
			return true
		}
		w.tokens, w.lastSeen = tokens, now
		return false
	}
	if ahead+tokens <= available {
		return true
	}
	q.waiters = append(q.waiters, waiter{id: id, tokens: tokens, lastSeen: now})
	return false
}

// waitingTokens is the tokens that the queue waits for.
func (q *queue) waitingTokens(now time.Duration) int64 {
	q.dropExpired(now)
	sum := int64(0)
	for _, w := range q.waiters {
		sum += w.tokens
	}
	return sum
}

// dropExpired forgets the waiters that have stopped asking.
func (q *queue) dropExpired(now time.Duration) {
	kept := q.waiters[:0]
	for _, w := range q.waiters {
		if now-w.lastSeen <= waiterTimeout {
			kept = append(kept, w)
		}
	}
	q.waiters = kept
}
