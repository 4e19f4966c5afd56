package core

import (
	"time"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/budget"
	"chicorytiller.example/chicorytiller/internal/id"
	"chicorytiller.example/chicorytiller/internal/limit"
	"chicorytiller.example/chicorytiller/internal/member"
)

// enterLimits counts the request against its contract's rate and concurrency.
func (c *Core) enterLimits(r *request) *Refusal {
	verdict, wait := c.limits.Enter(c.now, r.contract, c.limitShare())
	switch verdict {
	case limit.OverRate:
		return &Refusal{Cause: CauseRateLimit, Outcome: OutcomeNotRun, RetryAfter: wait, Detail: "over the contract's rate"}
	case limit.OverConcurrency:
		return &Refusal{Cause: CauseConcurrency, Outcome: OutcomeNotRun, RetryAfter: wait, Detail: "over the contract's requests in flight"}
	}
	r.counted = true
	return nil
}

// learnUsage takes in what a heartbeat tells of client accounts. Sent is the round of
// the heartbeat that it answers; zero: it answers none.
func (c *Core) learnUsage(hb member.Heartbeat, sent limit.Round) {
	if hb.Sender.Router.VM == c.self.VM {
		return // a seed may be this router itself, which is no other that gives up a share
	}
	if sent == 0 {
		c.limits.Heard(hb.Sender.Router, hb.Usage)
		return
	}
	c.limits.Answered(hb.Sender.Router, hb.Usage, sent)
}

// limitShare is the part of a contract's rate and concurrency that each router has
// as long as it knows nothing of the others' demand. Package limit moves it.
func (c *Core) limitShare() float64 {
	serving := 1
	for _, p := range c.view.Alive() {
		if p.State == member.Serving {
			serving++
		}
	}
	return 1 / float64(serving)
}

// price is what the request may draw from its budget at most.
func (c *Core) price(r *request) id.Tokens {
	if r.req.Service == "" {
		return r.tokens()
	}
	return c.state.Services[r.req.Service].PricePerCall
}

// reserve sets the request's most expensive course aside before it is dispatched,
// so that what runs can always be paid.
func (c *Core) reserve(r *request) {
	price := c.price(r)
	if price == 0 {
		c.reservedNow(r)
		return
	}
	err := c.wallet.Reserve(c.now, r.budget, r.id, price)
	var need *budget.NeedDraw
	switch {
	case err == nil:
		r.reserved = price
		c.reservedNow(r)
	case errors.As(err, &need):
		c.park(r)
	default:
		c.end(r)
		c.refuse(r, budgetRefusal(err))
	}
}

// reservedNow goes on with a request whose money is set aside.
func (c *Core) reservedNow(r *request) {
	if r.req.NonIdempotent && !r.claimed {
		c.claim(r)
		return
	}
	c.dispatch(r)
}

// budgetRefusal tells the truth about a budget that can't pay.
func budgetRefusal(err error) *Refusal {
	var exhausted *budget.Exhausted
	if errors.As(err, &exhausted) {
		return &Refusal{Cause: CauseBudget, Outcome: OutcomeNotRun, RetryAfter: retryExhausted, Detail: exhausted.Error()}
	}
	return &Refusal{Cause: CauseBudgetUnknown, Outcome: OutcomeNotRun, RetryAfter: retryOutage, Detail: err.Error()}
}

// park lets a request wait for a draw. The number is bounded, so that an outage
// of the platform's service can't fill the memory with requests that wait for it.
func (c *Core) park(r *request) {
	if c.parkedCount >= c.config.ParkLimit {
		c.end(r)
		c.refuse(r, &Refusal{Cause: CauseOverload, Outcome: OutcomeNotRun, RetryAfter: retrySoon, Detail: "too many requests wait for budget"})
		return
	}
	r.phase = phaseParked
	if err, failing := c.money.failed[r.budget]; failing {
		// The last draw failed, and the next is put off. Waiting for it would only
		// bring the same refusal seconds later; the caller is told when to come back.
		c.end(r)
		c.refuse(r, budgetRefusal(err))
		c.probe(r.budget, c.price(r))
		return
	}
	c.parked[r.budget] = append(c.parked[r.budget], r)
	c.parkedCount++
}

// probe keeps one demand on a budget whose draws fail. Failure: all requests are
// refused at once, so that nothing wants a draw any more, none is tried, and the
// budget is never found to be reachable again.
func (c *Core) probe(b id.Budget, tokens id.Tokens) {
	request := id.Request("probe-" + b)
	c.wallet.Release(c.now, request)
	if c.wallet.Reserve(c.now, b, request, tokens) == nil {
		c.wallet.Release(c.now, request)
		delete(c.money.failed, b)
	}
}

// unpark tries the requests that wait for a budget again, oldest first.
func (c *Core) unpark(b id.Budget) {
	waiting := c.parked[b]
	delete(c.parked, b)
	c.parkedCount -= len(waiting)
	for _, r := range waiting {
		c.reserve(r)
	}
}

// refuseParked refuses all that wait for a budget that can't be reached. Waiting
// longer would only bring the refusal later: the caller is told when to come back.
func (c *Core) refuseParked(b id.Budget, cause error) {
	waiting := c.parked[b]
	delete(c.parked, b)
	c.parkedCount -= len(waiting)
	for _, r := range waiting {
		c.end(r)
		c.refuse(r, budgetRefusal(cause))
	}
}

// expireParked refuses requests whose window closed while they waited.
func (c *Core) expireParked() {
	for _, b := range sortedKeys(c.parked) {
		waiting := c.parked[b]
		kept := waiting[:0]
		for _, r := range waiting {
			if !c.pastDeadline(r.req.Deadline) {
				kept = append(kept, r)
				continue
			}
			c.parkedCount--
			c.end(r)
			c.refuse(r, &Refusal{Cause: CauseDeadline, Outcome: OutcomeNotRun, RetryAfter: retrySoon, Detail: "the deadline passed before the budget could be drawn on"})
		}
		c.parked[b] = kept
		if len(kept) == 0 {
			delete(c.parked, b)
		}
	}
}

// after is a moment from now, for the core's own retries.
func (c *Core) after(d time.Duration) time.Time {
	return c.now.Add(d)
}
