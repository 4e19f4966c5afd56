package core

import (
	"log/slog"
	"time"

	"chicorytiller.example/chicorytiller/internal/backend"
	"chicorytiller.example/chicorytiller/internal/bill"
	"chicorytiller.example/chicorytiller/internal/contract"
	"chicorytiller.example/chicorytiller/internal/dedup"
	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/id"
	"chicorytiller.example/chicorytiller/internal/route"
)

// phase is how far a request has come.
type phase int

const (
	phaseKey      phase = iota // asking whether its key has been served before
	phaseParked                // waiting for a draw on its budget
	phaseClaiming              // waiting for its durable claim
	phaseRunning               // dispatched
	phaseBilling               // whole answer there, waiting for the bill to be held
)

// request is one caller's request at this router.
type request struct {
	id       id.Request
	req      AdmitRequest
	contract *contract.Contract
	budget   id.Budget
	key      dedup.Key
	ticket   Ticket // of the Admit, then of the Finish
	phase    phase

	reserved id.Tokens
	// earlier is the bill of a run elsewhere: this run only brings the answer
	// again, draws on nothing and is not billed.
	earlier *bill.Bill

	attempts int
	current  Dispatch
	tried    map[id.Backend]bool
	done     Completion
	counted  bool // in limits
	// fresh: no earlier call under the key was dispatched anywhere. Without a key
	// there is none.
	fresh   bool
	pauses  int           // of this process when the request came
	came    time.Time     // when the request came
	claimed bool          // its durable claim is this admission's
	owner   dedup.Owner   // of its key or claim
	ended   []dedup.Owner // earlier admissions of its key that it takes over from
	// mayHaveRun: an attempt was dispatched that did not surely fail before it ran.
	mayHaveRun bool
	uncertain  bool // some failed attempt may have run
	answered   bool // a FinishReply is awaited; false when the caller has gone
}

// tokens is the work that the request brings to a backend server.
func (r *request) tokens() id.Tokens {
	return r.req.PromptTokens + r.req.MaxTokens
}

// wants describes the request to the Chooser.
func (r *request) wants() route.Wanted {
	return route.Wanted{Model: r.req.Model, Service: r.req.Service, Tokens: r.tokens(), Exclude: r.tried}
}

// admit begins the path of a request: checks, limits, key, budget, backend server.
func (c *Core) admit(ev Admit) {
	r := &request{
		req:    ev.Req,
		ticket: ev.Ticket,
		tried:  make(map[id.Backend]bool),
		pauses: c.pauses,
		came:   c.now,
	}
	if refusal := c.check(r); refusal != nil {
		c.refuse(r, refusal)
		return
	}
	if ev.Req.IdempotencyKey == "" {
		r.id = c.newRequestID()
		r.fresh = true
		c.enter(r)
		return
	}
	c.admissions++
	r.owner = dedup.Owner{Router: c.self, Serial: c.admissions}
	r.key = dedup.Hash(ev.Req.Account, ev.Req.IdempotencyKey)
	// The id of a keyed request follows from the key, so that two routers that
	// run it, unaware of each other, bill one request and not two.
	r.id = id.Request("req-" + string(r.key))
	c.admitKey(r)
}

// check refuses what needs no question to anybody.
func (c *Core) check(r *request) *Refusal {
	if c.stage == stageFenced {
		return &Refusal{Cause: CauseFenced, Outcome: OutcomeNotRun, RetryAfter: retrySoon, Detail: "this router restarts; use another address"}
	}
	if c.stage == stageRefusing {
		return &Refusal{Cause: CauseDraining, Outcome: OutcomeNotRun, RetryAfter: retrySoon, Detail: "this router stops; use another address"}
	}
	known, found := c.state.Contracts[r.req.Account]
	if !found {
		return &Refusal{Cause: CauseBadKey, Outcome: OutcomeNotRun, Detail: "the client account has no contract"}
	}
	r.contract = known
	budget, allowed := known.BudgetFor(r.req.Model, r.req.Service)
	if !allowed {
		return &Refusal{Cause: CauseNotAllowed, Outcome: OutcomeNotRun, Detail: "the contract has no budget for this model or service"}
	}
	r.budget = budget
	if !c.tenure.active() {
		return &Refusal{Cause: CauseOverload, Outcome: OutcomeNotRun, RetryAfter: retrySoon, Detail: "this router isn't ready yet; use another address"}
	}
	return nil
}

// enter goes on with a request that has no earlier run, or whose run is to be repeated.
func (c *Core) enter(r *request) {
	c.requests[r.id] = r
	if refusal := c.enterLimits(r); refusal != nil {
		c.end(r)
		c.refuse(r, refusal)
		return
	}
	if r.earlier != nil {
		c.dispatch(r)
		return
	}
	c.reserve(r)
}

// dispatch chooses the first backend server and answers the Admit.
func (c *Core) dispatch(r *request) {
	if !c.choose(r) {
		c.claimAbandoned(r)
		c.end(r)
		c.refuse(r, c.noBackend(r))
		return
	}
	r.phase = phaseRunning
	c.emit(event.RequestAdmitted,
		slog.String(event.KeyRequest, string(r.id)),
		slog.String(event.KeyAccount, string(r.req.Account)),
		slog.String(event.KeyBudget, string(r.budget)),
		slog.Int64(event.KeyTokens, int64(r.reserved)))
	c.emitDispatch(r)
	c.do(AdmitReply{Ticket: r.ticket, Admission: Admission{Request: r.id, Reserved: r.tokens(), Dispatch: r.current}})
}

// choose takes a backend server for the next attempt. A run that only repeats an
// answer goes first to the one that may still keep the stream.
func (c *Core) choose(r *request) bool {
	want := r.wants()
	ref, found := backend.Ref{}, false
	resume := id.Attempt("")
	if r.earlier != nil && r.attempts == 0 && r.earlier.Attempt != "" {
		ref, found = c.chooser.Take(r.earlier.Backend, want.Tokens)
		resume = r.earlier.Attempt
	}
	if !found {
		ref, found = c.chooser.Choose(c.now, want)
		resume = ""
	}
	if !found {
		return false
	}
	r.attempts++
	r.mayHaveRun = true
	r.current = Dispatch{
		Attempt:    c.newAttemptID(r.id),
		Backend:    ref,
		Priority:   r.contract.Priority,
		ResumeFrom: resume,
	}
	return true
}

func (c *Core) noBackend(r *request) *Refusal {
	refusal := &Refusal{Cause: CauseNoBackend, Outcome: OutcomeNotRun, RetryAfter: retrySoon, Detail: "no backend server takes this request now"}
	if r.earlier != nil {
		refusal.Outcome = OutcomeUnknown
		refusal.Detail = "the request ran before, but its answer can't be had now"
	}
	return refusal
}

// redispatch gives the next attempt after one failed.
func (c *Core) redispatch(ev Redispatch) {
	r, found := c.requests[ev.Request]
	if !found || r.phase != phaseRunning {
		c.do(DispatchReply{Ticket: ev.Ticket, Refusal: &Refusal{Cause: CauseInternal, Outcome: OutcomeUnknown, Detail: "the request is not running"}})
		return
	}
	c.emit(event.AttemptFailed,
		slog.String(event.KeyRequest, string(r.id)),
		slog.String(event.KeyAttempt, string(ev.Failed.Attempt)),
		slog.String(event.KeyBackend, string(ev.Failed.Backend)),
		slog.Any("error", ev.Failed.Err))
	c.chooser.Done(c.now, ev.Failed.Backend, r.tokens(), false)
	r.tried[ev.Failed.Backend] = true
	r.attemptFailed(ev.Failed.Err)
	r.current = Dispatch{}
	if r.attempts >= c.config.MaxAttempts || !c.choose(r) {
		c.do(DispatchReply{Ticket: ev.Ticket, Refusal: c.truthful(r, &Refusal{
			Cause: CauseBackendFailed, Outcome: r.outcome(), RetryAfter: retrySoon,
			Detail: "no further backend server could take the request"})})
		return
	}
	c.emitDispatch(r)
	c.do(DispatchReply{Ticket: ev.Ticket, Dispatch: r.current})
}

// attemptFailed notes whether the attempt that failed may have run. One that may
// have run keeps the whole request so, whatever became of the others.
func (r *request) attemptFailed(err error) {
	r.uncertain = r.uncertain || outcomeOf(err) != OutcomeNotRun
	r.mayHaveRun = r.uncertain
}

// outcome is what is known of this admission's attempts.
func (r *request) outcome() Outcome {
	if r.mayHaveRun {
		return OutcomeUnknown
	}
	return OutcomeNotRun
}

func (c *Core) emitDispatch(r *request) {
	c.emit(event.AttemptDispatched,
		slog.String(event.KeyRequest, string(r.id)),
		slog.String(event.KeyAttempt, string(r.current.Attempt)),
		slog.String(event.KeyBackend, string(r.current.Backend.ID)))
}

// truthful limits what a refusal says of the whole request to what is known.
//
// Failure: a call runs, its answer is lost, and the caller's retry meets a full or
// stopping router. 'Not run' would make the caller order a second time under a new
// key. So 'not run' is said of the whole request only where it is known that no
// earlier call under the key was dispatched. That knowledge ages: a router that was
// paused or cut off may have been settled, and others may have taken the request
// over and run it.
func (c *Core) truthful(r *request, refusal *Refusal) *Refusal {
	refusal.ThisCall = refusal.Outcome
	stale := r.pauses != c.pauses || c.now.Sub(r.came) > freshFor
	if r.req.IdempotencyKey != "" && (!r.fresh || stale) {
		refusal.Outcome = OutcomeUnknown
	}
	return refusal
}

// refuse answers the Admit with a refusal.
func (c *Core) refuse(r *request, refusal *Refusal) {
	c.truthful(r, refusal)
	c.emit(event.RequestRefused,
		slog.String(event.KeyRequest, string(r.id)),
		slog.String(event.KeyAccount, string(r.req.Account)),
		slog.String(event.KeyCause, string(refusal.Cause)),
		slog.String("outcome", string(refusal.Outcome)))
	c.do(AdmitReply{Ticket: r.ticket, Refusal: refusal})
}

// end frees all that a request holds, but not what it has spent.
func (c *Core) end(r *request) {
	if r.current.Backend.ID != "" {
		c.chooser.Done(c.now, r.current.Backend.ID, r.tokens(), true)
		r.current = Dispatch{}
	}
	if r.reserved > 0 || r.phase == phaseParked {
		c.wallet.Release(c.now, r.id)
		r.reserved = 0
	}
	if r.counted {
		c.limits.Leave(r.req.Account)
		r.counted = false
	}
	delete(c.requests, r.id)
	c.keyEnded(r)
}

// tickRequests ends what has waited past its deadline.
func (c *Core) tickRequests() {
	c.expireParked()
	c.expireWaiters()
	c.expireRepeats()
}

// pastDeadline tells whether a request can no longer be answered in its window.
func (c *Core) pastDeadline(deadline time.Time) bool {
	return !deadline.IsZero() && !c.now.Before(deadline)
}
