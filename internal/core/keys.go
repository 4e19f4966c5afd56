package core

import (
	"log/slog"
	"time"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/bill"
	"chicorytiller.example/chicorytiller/internal/dedup"
	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/id"
	"chicorytiller.example/chicorytiller/internal/platform"
	"chicorytiller.example/chicorytiller/internal/settle"
)

// answerBytesOverhead is counted for each kept answer beside its text.
const answerBytesOverhead = 256

// waiter waits for the answer of a key that runs at this router: a caller (an
// Admit) or another router (a PeerCall).
type waiter struct {
	request *request // a caller's, or nil
	peer    Ticket
	until   time.Time
}

// admitKey finds out whether the key of a request was served before: first here,
// then at the key's home routers.
func (c *Core) admitKey(r *request) {
	status, err := c.table.Begin(c.now, r.key, r.id, r.req.BodyHash)
	if err != nil {
		c.refuse(r, &Refusal{Cause: CauseKeyReused, Outcome: OutcomeNotRun, Detail: "the idempotency key was used with another body"})
		return
	}
	switch {
	case status.State == dedup.StateNew:
		r.phase = phaseKey
		c.requests[r.id] = r
		if known, found := c.repeats[r.key]; found {
			c.repeatFor(r, known.bill)
			return
		}
		if r.req.NonIdempotent {
			// The durable claim finds out about earlier runs.
			c.enter(r)
			return
		}
		c.registerKey(r)
	case status.State == dedup.StateInProgress:
		c.table.Wait(r.key)
		c.keyWaiters[r.key] = append(c.keyWaiters[r.key], waiter{request: r, until: r.req.Deadline})
	case status.Kept:
		c.replay(r, status.Answer)
	default:
		c.repeatBilled(r)
	}
}

// replay answers a request from the answer that an earlier one got.
func (c *Core) replay(r *request, answer Answer) {
	c.emit(event.RequestReplayed, slog.String(event.KeyRequest, string(r.id)), slog.String(event.KeyAccount, string(r.req.Account)))
	c.do(AdmitReply{Ticket: r.ticket, Admission: Admission{Request: r.id, Replay: &answer}})
}

// repeatBilled runs a request again that was billed here, whose answer is no
// longer kept. Its bill stands, so this run draws on nothing.
func (c *Core) repeatBilled(r *request) {
	earlier, _, found := c.book.Find(r.id)
	if !found {
		earlier = bill.Bill{Request: r.id, Budget: r.budget}
	}
	if r.req.NonIdempotent {
		c.refuse(r, &Refusal{Cause: CauseInProgress, Outcome: OutcomeUnknown, Detail: "the call ran; its answer is no longer kept"})
		return
	}
	r.earlier = &earlier
	c.enter(r)
}

// servedElsewhere deals with a key that another router serves or served.
func (c *Core) servedElsewhere(r *request, entry dedup.Entry) {
	if entry.BodyHash != r.req.BodyHash {
		c.endKeyed(r, &Refusal{Cause: CauseKeyReused, Outcome: OutcomeNotRun, Detail: "the idempotency key was used with another body"})
		return
	}
	if entry.Serving == c.self {
		// An earlier admission here; the table would know it if it still ran.
		c.supersede(r, entry)
		return
	}
	serving, alive := c.alivePeer(entry.Serving)
	if !alive {
		c.servedByLost(r, entry)
		return
	}
	callPeer(c, serving, AwaitAnswerMsg{Key: r.key}, func(reply AwaitAnswerReply, err error) {
		if err != nil {
			c.servedByLost(r, entry)
			return
		}
		c.answerElsewhere(r, entry, reply)
	})
}

func (c *Core) answerElsewhere(r *request, entry dedup.Entry, reply AwaitAnswerReply) {
	switch reply.State {
	case AnswerDone:
		c.replayKeyed(r, reply.Answer)
	case AnswerBilled:
		c.repeatFor(r, reply.Bill)
	case AnswerNone:
		c.supersede(r, entry)
	default:
		c.endKeyed(r, inProgress("the request runs at another router"))
	}
}

func inProgress(detail string) *Refusal {
	return &Refusal{Cause: CauseInProgress, Outcome: OutcomeUnknown, RetryAfter: retryInProgress, Detail: detail}
}

// servedByLost deals with a key whose serving router can't be reached. Only when
// the durable record says that it is being retired can it take no other witness;
// then its witness's word on the key is final. Until then the caller is asked to
// come back: running the request now could bill it twice, here and there.
func (c *Core) servedByLost(r *request, entry dedup.Entry) {
	c.readRecord(entry.Serving.VM, func(record *settle.RouterRecord, _ platform.Revision, err error) {
		if err != nil {
			c.endKeyed(r, inProgress("the router that served the request can't be reached, nor its record"))
			return
		}
		c.servedByRecord(r, entry, record)
	})
}

func (c *Core) servedByRecord(r *request, entry dedup.Entry, record *settle.RouterRecord) {
	t := record.Tenure(entry.Serving.Incarnation)
	if t == nil {
		// Pruned: it was retired longer than the retention ago.
		c.supersede(r, entry)
		return
	}
	if t.State == settle.StateActive {
		c.endKeyed(r, inProgress("the router that served the request can't be reached; its bills are being settled"))
		return
	}
	// A router that left as planned was not sealed, but bills nothing any more.
	ended := t.State == settle.StateRetired
	c.claimFromWitness(r, entry, t.Witness, ended)
}

// claimFromWitness asks the witness of a router that is retiring for the key's bill.
// Ended says that the router has retired: it makes no further bill.
func (c *Core) claimFromWitness(r *request, entry dedup.Entry, witness id.Router, ended bool) {
	then := func(reply ClaimKeyReply, err error) {
		switch {
		case err != nil || reply.Claim.Outcome == bill.ClaimUnknown || !reply.Claim.Final && !ended:
			c.endKeyed(r, &Refusal{Cause: CauseClaimUnknown, Outcome: OutcomeUnknown, RetryAfter: retryInProgress,
				Detail: "whether the earlier run was billed can't be found out now"})
		case reply.Claim.Outcome == bill.ClaimBilled:
			c.repeatFor(r, reply.Claim.Bill)
		default:
			c.supersede(r, entry)
		}
	}
	if witness == c.self {
		then(ClaimKeyReply{Claim: c.witness.ClaimKey(c.now, entry.Serving, r.key)}, nil)
		return
	}
	peer, found := c.alivePeer(witness)
	if !found {
		then(ClaimKeyReply{}, errors.New("the witness is not reachable"))
		return
	}
	callPeer(c, peer, ClaimKeyMsg{Router: entry.Serving, Key: r.key}, then)
}

// repeat is a bill that another router made for a key, as this one found out.
type repeat struct {
	bill bill.Bill
	at   time.Time
}

// repeatFor runs a request again whose bill another router made.
//
// Failure: the second run breaks off, a third router asks this one, hears that
// nothing is known here any more, runs the request and bills it again. So the bill
// is remembered, and told to whoever asks.
func (c *Core) repeatFor(r *request, earlier bill.Bill) {
	c.repeats[r.key] = repeat{bill: earlier, at: c.now}
	if r.req.NonIdempotent {
		c.endKeyed(r, &Refusal{Cause: CauseInProgress, Outcome: OutcomeUnknown, Detail: "the call ran; its answer is lost"})
		return
	}
	r.earlier = &earlier
	c.enter(r)
}

// endKeyed refuses a keyed request that has not entered.
func (c *Core) endKeyed(r *request, refusal *Refusal) {
	c.end(r)
	c.refuse(r, refusal)
}

// keyEnded forgets the key of a request that ended without an answer, and lets
// one of those that wait for it run in its place.
func (c *Core) keyEnded(r *request) {
	if r.key == "" || !c.table.Fail(r.key, r.id) {
		return
	}
	c.wakeWaiters(r.key, nil)
}

// keyFinished keeps the answer for retries and gives it to those that wait.
func (c *Core) keyFinished(r *request) {
	if r.key == "" {
		return
	}
	answer := r.done.Answer
	c.table.Finish(c.now, r.key, r.id, answer, len(answer.Content)+answerBytesOverhead)
	c.wakeWaiters(r.key, &answer)
}

// wakeWaiters answers those that wait for a key; without an answer they are
// admitted anew, and the first of them runs the request.
func (c *Core) wakeWaiters(key dedup.Key, answer *Answer) {
	waiting := c.keyWaiters[key]
	delete(c.keyWaiters, key)
	for _, w := range waiting {
		switch {
		case w.request == nil && answer != nil:
			c.do(PeerReply{Ticket: w.peer, Msg: AwaitAnswerReply{State: AnswerDone, Answer: *answer}})
		case w.request == nil:
			c.do(PeerReply{Ticket: w.peer, Msg: AwaitAnswerReply{State: AnswerNone}})
		case answer != nil:
			c.replay(w.request, *answer)
		default:
			c.admitKey(w.request)
		}
	}
}

func (c *Core) expireRepeats() {
	for key, known := range c.repeats {
		if c.now.Sub(known.at) >= c.config.KeyRetention {
			delete(c.repeats, key)
		}
	}
}

func (c *Core) expireWaiters() {
	for _, key := range sortedKeys(c.keyWaiters) {
		waiting := c.keyWaiters[key]
		kept := waiting[:0]
		for _, w := range waiting {
			if !c.pastDeadline(w.until) {
				kept = append(kept, w)
				continue
			}
			c.table.Leave(key)
			if w.request == nil {
				c.do(PeerReply{Ticket: w.peer, Msg: AwaitAnswerReply{State: AnswerInProgress}})
				continue
			}
			c.refuse(w.request, inProgress("the request still runs"))
		}
		c.keyWaiters[key] = kept
		if len(kept) == 0 {
			delete(c.keyWaiters, key)
		}
	}
}
