package settle

import (
	"maps"
	"slices"
	"time"
)

// shardWork tracks which budget shards still hold grants of the target. It may
// start from nothing at any time, since RetireInShard is idempotent.
type shardWork struct {
	next    int // the lowest shard never sent
	total   int
	running map[int]shardOp
}

type shardOp struct {
	op      Op
	waiting bool // for retryAt, after a failure
	sentAt  time.Time
	retryAt time.Time
	backoff time.Duration
}

func (o shardOp) due(now time.Time) bool {
	if o.waiting {
		return !now.Before(o.retryAt)
	}
	return now.Sub(o.sentAt) >= opTimeout
}

func newShardWork(total int) shardWork {
	return shardWork{total: total, running: make(map[int]shardOp)}
}

func (w *shardWork) finished() bool {
	return w.next >= w.total && len(w.running) == 0
}

// due lists the shards to send now: those to retry, then new ones.
func (w *shardWork) due(now time.Time) []int {
	out := []int{}
	// Sorted, for equal inputs should give equal actions.
	for _, shard := range slices.Sorted(maps.Keys(w.running)) {
		if w.running[shard].due(now) {
			out = append(out, shard)
		}
	}
	for room := shardsAtOnce - len(w.running); room > 0 && w.next < w.total; room-- {
		out = append(out, w.next)
		w.next++
	}
	return out
}

func (w *shardWork) sent(now time.Time, shard int, op Op) {
	work := w.running[shard]
	work.op = op
	work.waiting = false
	work.sentAt = now
	w.running[shard] = work
}

// done notes an answer; false if it answers an attempt given up meanwhile. Such
// a late success is left to the repeated attempt to confirm.
func (w *shardWork) done(shard int, op Op) bool {
	work, found := w.running[shard]
	if !found || work.op != op {
		return false
	}
	delete(w.running, shard)
	return true
}

func (w *shardWork) failed(now time.Time, shard int, op Op) bool {
	work, found := w.running[shard]
	if !found || work.op != op || work.waiting {
		return false
	}
	work.backoff = min(max(2*work.backoff, firstBackoff), lastBackoff)
	work.waiting = true
	work.retryAt = now.Add(work.backoff)
	w.running[shard] = work
	return true
}
