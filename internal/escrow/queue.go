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
	id     string
	tokens int64
	seen   time.Duration // when it asked last, by the steady clock
}

// queueKept is how long a waiter that doesn't ask any more keeps its place: some of its
// pauses between two tries, with the round trip to this router.
const queueKept = 400 * time.Millisecond

// admits says whether a request may take its tokens now: all of them, and only if those
// who came before it can have theirs too. Else it has a place in the queue.
func (q *queue) admits(id string, tokens, available int64, now time.Duration) bool {
	q.drop(now)
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
		w.tokens, w.seen = tokens, now
		return false
	}
	if ahead+tokens <= available {
		return true
	}
	q.waiters = append(q.waiters, waiter{id: id, tokens: tokens, seen: now})
	return false
}

// wanted is the tokens that the queue waits for.
func (q *queue) wanted(now time.Duration) int64 {
	q.drop(now)
	sum := int64(0)
	for _, w := range q.waiters {
		sum += w.tokens
	}
	return sum
}

// drop forgets the waiters that have stopped asking.
func (q *queue) drop(now time.Duration) {
	kept := q.waiters[:0]
	for _, w := range q.waiters {
		if now-w.seen <= queueKept {
			kept = append(kept, w)
		}
	}
	q.waiters = kept
}
