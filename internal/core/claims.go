package core

import (
	"chicorytiller.example/chicorytiller/internal/claim"
	"chicorytiller.example/chicorytiller/internal/dedup"
)

// claims is the state of the claims of calls that must run at most once: one
// commit for each shard is under way, the rest waits and goes with the next one.
type claims struct {
	waiting map[int][]claimOp
	busy    map[int]bool
	// unrun are claims of this router whose call surely was not dispatched.
	unrun map[dedup.Key]dedup.Owner
}

// claimOp is an operation and what to do once it is durable. Then may be nil.
type claimOp struct {
	op   claim.Op
	then func(entry claim.Entry, found bool, err error)
}

func newClaims() claims {
	return claims{
		waiting: make(map[int][]claimOp),
		busy:    make(map[int]bool),
		unrun:   make(map[dedup.Key]dedup.Owner),
	}
}

// claimDo adds an operation to the next commit of its shard.
func (c *Core) claimDo(op claim.Op, then func(claim.Entry, bool, error)) {
	shard := claim.ShardOf(op.KeyOf(), c.config.ClaimShards)
	c.claims.waiting[shard] = append(c.claims.waiting[shard], claimOp{op: op, then: then})
}

// pumpClaims commits the operations that wait.
func (c *Core) pumpClaims() {
	for _, shard := range sortedKeys(c.claims.waiting) {
		if c.claims.busy[shard] {
			continue
		}
		waiting := c.claims.waiting[shard]
		delete(c.claims.waiting, shard)
		c.commitClaims(shard, waiting)
	}
}

func (c *Core) commitClaims(shard int, batch []claimOp) {
	c.claims.busy[shard] = true
	ops := make([]claim.Op, len(batch))
	for i, b := range batch {
		ops[i] = b.op
	}
	call := c.newCall(func(value any, err error) {
		delete(c.claims.busy, shard)
		entries, _ := value.(map[dedup.Key]claim.Entry)
		for _, b := range batch {
			if b.then == nil {
				continue
			}
			entry, found := entries[b.op.KeyOf()]
			b.then(entry, found, err)
		}
	})
	c.do(CommitClaims{Call: call, Shard: shard, Ops: ops})
}

// claim makes a request's key durably this admission's own before it is dispatched.
func (c *Core) claim(r *request) {
	r.phase = phaseClaiming
	op := claim.Claim{Key: r.key, Owner: r.owner, BodyHash: r.req.BodyHash, At: c.now}
	c.claimDo(op, func(entry claim.Entry, found bool, err error) { c.claimLanded(r, entry, found, err) })
}

// claimLanded goes on once it is known whose the claim is.
func (c *Core) claimLanded(r *request, entry claim.Entry, found bool, err error) {
	if r.phase != phaseClaiming {
		return
	}
	if err != nil || !found {
		// Whether or not the claim was written, this admission ends here and
		// nothing was dispatched under it: 'not run' is true of this call. Of the
		// whole request it isn't known, and refuse says so.
		c.claims.unrun[r.key] = r.owner
		c.claimDo(claim.Release{Key: r.key, Owner: r.owner}, nil)
		c.endKeyed(r, &Refusal{Cause: CauseClaimUnknown, Outcome: OutcomeNotRun, RetryAfter: retryOutage,
			Detail: "the platform's service can't be reached, so that it can't be made sure that this call runs at most once"})
		return
	}
	if entry.Owner == r.owner {
		c.claimWon(r)
		return
	}
	c.claimHeld(r, entry)
}

func (c *Core) claimWon(r *request) {
	if c.stage == stageFenced || c.pastDeadline(r.req.Deadline) {
		c.claimDo(claim.Release{Key: r.key, Owner: r.owner}, nil)
		c.endKeyed(r, &Refusal{Cause: CauseDeadline, Outcome: OutcomeNotRun, RetryAfter: retrySoon, Detail: "the deadline passed before the call could be claimed"})
		return
	}
	delete(c.claims.unrun, r.key)
	r.claimed = true
	r.fresh = true
	c.dispatch(r)
}

// claimHeld deals with a key that another admission has claimed.
func (c *Core) claimHeld(r *request, entry claim.Entry) {
	switch {
	case entry.BodyHash != r.req.BodyHash:
		c.endKeyed(r, &Refusal{Cause: CauseKeyReused, Outcome: OutcomeNotRun, Detail: "the idempotency key was used with another body"})
	case entry.Done && entry.Answer != nil:
		answer := Answer{Status: entry.Answer.Status, ContentType: entry.Answer.ContentType, Content: entry.Answer.Body}
		c.replayKeyed(r, answer)
	case entry.Done:
		c.endKeyed(r, alreadyRan("the call ran; its answer is no longer kept"))
	case entry.Owner.Router == c.self:
		c.claimHeldHere(r, entry)
	default:
		c.claimHeldElsewhere(r, entry)
	}
}

// alreadyRan refuses the repeat of a call that may not be repeated. No time to
// come back is given: asking again does not help.
func alreadyRan(detail string) *Refusal {
	return &Refusal{Cause: CauseInProgress, Outcome: OutcomeUnknown, Detail: detail}
}

// claimHeldHere deals with a claim of an earlier admission at this router. It is
// no longer in progress, or the table would have said so.
func (c *Core) claimHeldHere(r *request, entry claim.Entry) {
	if c.claims.unrun[r.key] != entry.Owner {
		c.endKeyed(r, alreadyRan("the call was dispatched before; it may have run"))
		return
	}
	c.claimTakeover(r, entry)
}

// claimHeldElsewhere asks the router that claimed the key what became of it.
func (c *Core) claimHeldElsewhere(r *request, entry claim.Entry) {
	owner, alive := c.alivePeer(entry.Owner.Router)
	if !alive {
		c.endKeyed(r, alreadyRan("the router that had the call is gone; the call may have run"))
		return
	}
	callPeer(c, owner, AwaitAnswerMsg{Key: r.key, Claim: entry.Owner}, func(reply AwaitAnswerReply, err error) {
		switch {
		case err != nil || reply.State == AnswerInProgress:
			c.endKeyed(r, inProgress("the call is with another router"))
		case reply.State == AnswerDone:
			c.replayKeyed(r, reply.Answer)
		case reply.State == AnswerNone && reply.Unrun:
			c.claimTakeover(r, entry)
		default:
			c.endKeyed(r, alreadyRan("the call was dispatched before; it may have run"))
		}
	})
}

// claimTakeover takes a claim whose owner says that it was never dispatched.
func (c *Core) claimTakeover(r *request, entry claim.Entry) {
	op := claim.Takeover{Key: r.key, Old: entry.Owner, New: r.owner, At: c.now}
	c.claimDo(op, func(entry claim.Entry, found bool, err error) {
		if err == nil && found && entry.Owner != r.owner {
			c.endKeyed(r, inProgress("another router took the call over"))
			return
		}
		c.claimLanded(r, entry, found, err)
	})
}

// replayKeyed answers a request that had begun from the answer of an earlier run.
func (c *Core) replayKeyed(r *request, answer Answer) {
	c.table.Fail(r.key, r.id)
	c.end(r)
	c.replay(r, answer)
	c.wakeWaiters(r.key, &answer)
}

// claimFinished keeps the answer of a call with its claim.
func (c *Core) claimFinished(r *request) {
	if !r.claimed {
		return
	}
	answer := r.done.Answer
	c.claimDo(claim.Finish{Key: r.key, Owner: r.owner, Answer: &claim.Answer{
		Status: answer.Status, ContentType: answer.ContentType, Body: answer.Content,
	}}, nil)
}

// claimAbandoned gives up the claim of a call that surely was not run; any other
// stays, so that the call never runs again.
func (c *Core) claimAbandoned(r *request) {
	if !r.claimed || r.mayHaveRun {
		return
	}
	c.claims.unrun[r.key] = r.owner
	c.claimDo(claim.Release{Key: r.key, Owner: r.owner}, nil)
}

// maxUnrun bounds the memory of unrun claims: their release is on its way, or was
// lost in an outage, after which the claim is as good as run.
const maxUnrun = 10_000

func (c *Core) forgetUnrun() {
	if len(c.claims.unrun) > maxUnrun {
		c.claims.unrun = make(map[dedup.Key]dedup.Owner)
	}
}
