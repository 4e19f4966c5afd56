package escrow

import "time"

// queue orders the requests that wait for tokens of one account during an outage of the store,
// when few tokens may be spent. Without it each request would take a part of these few, none
// would get enough, and all would be refused.
type queue struct {
	waiters []waiter
}

// waiter is one request in a queue. It retries until it is admitted.
type waiter struct {
	id       string
	tokens   int64
	lastSeen time.Duration // time of the last attempt, on the steady clock
}

// waiterTimeout is how long a waiter keeps its place after its last attempt. It covers several
// retry intervals and the round trip to this router.
const waiterTimeout = 400 * time.Millisecond

// admit reports whether a request may take all its tokens now, which requires that the requests
// ahead of it can be served too. If not, the request joins the queue or keeps its place in it.
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

// queuedTokens returns the number of tokens that the queued requests wait for.
func (q *queue) queuedTokens(now time.Duration) int64 {
	q.dropExpired(now)
	sum := int64(0)
	for _, w := range q.waiters {
		sum += w.tokens
	}
	return sum
}

// dropExpired removes the waiters that have stopped retrying.
func (q *queue) dropExpired(now time.Duration) {
	kept := q.waiters[:0]
	for _, w := range q.waiters {
		if now-w.lastSeen <= waiterTimeout {
			kept = append(kept, w)
		}
	}
	q.waiters = kept
}
