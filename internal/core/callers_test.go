package core_test

import (
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/backend"
	"chicorytiller.example/chicorytiller/internal/core"
	"chicorytiller.example/chicorytiller/internal/dedup"
	"chicorytiller.example/chicorytiller/internal/id"
)

// call is one logical request of a caller: all its tries share one key, if any.
type call struct {
	w        *world
	number   int
	account  id.ClientAccount
	key      string
	once     bool // a non-idempotent call of the plain service
	prompt   id.Tokens
	output   id.Tokens // what the engine generates
	tries    int
	answered bool
	notRun   bool // the fleet said so of the whole request
	runs     int  // dispatches that ran at a backend server
	history  []string
}

const triesOfCaller = 8

func (c *call) note(format string, args ...any) {
	c.history = append(c.history, c.w.now.Format("05.000 ")+fmt.Sprintf(format, args...))
}

// newCall sends a request and follows it as a caller would.
func (w *world) newCall() {
	c := &call{w: w, number: len(w.oracle.calls), account: accountsInTest[w.rng.IntN(len(accountsInTest))]}
	c.prompt = id.Tokens(1 + w.rng.IntN(50))
	c.output = id.Tokens(1 + w.rng.IntN(100))
	switch w.rng.IntN(10) {
	case 0, 1:
		c.once = true
		c.key = fmt.Sprintf("once-%d", c.number)
	case 2:
	default:
		c.key = fmt.Sprintf("key-%d", c.number)
	}
	w.oracle.calls = append(w.oracle.calls, c)
	c.try()
}

func (c *call) text() string { return fmt.Sprintf("answer %d", c.number) }

func (c *call) cost() id.Tokens {
	if c.once {
		return 7
	}
	return c.prompt + c.output
}

// try sends the request to some router; without an answer in time it tries again.
func (c *call) try() {
	if c.answered || c.tries >= triesOfCaller {
		return
	}
	c.tries++
	v := c.w.vms[c.w.rng.IntN(len(c.w.vms))]
	gone := false // the caller of this try has stopped waiting
	retry := func(after time.Duration) {
		if !gone && c.key != "" {
			gone = true
			c.w.after(after, c.try)
		}
	}
	c.w.after(5*time.Second, func() { retry(0) })
	if v.gen == 0 {
		retry(200 * time.Millisecond)
		return
	}
	gen := v.gen
	c.note("try at %s", v.self())
	v.run(gen, func() {
		c.note("ask %s", v.self())
		v.ask(func(t core.Ticket) core.Event { return core.Admit{Ticket: t, Req: c.request()} }, func(a core.Action) {
			reply := a.(core.AdmitReply)
			c.note("%s admit: %+v %+v", v.self(), reply.Admission, reply.Refusal)
			switch {
			case reply.Refusal != nil:
				c.refused(reply.Refusal)
				if reply.Refusal.RetryAfter > 0 {
					retry(reply.Refusal.RetryAfter)
				}
			case reply.Admission.Replay != nil:
				c.got(reply.Admission.Replay.Content)
			default:
				c.run(v, gen, reply.Admission.Request, reply.Admission.Dispatch, retry)
			}
		})
	})
}

func (c *call) request() core.AdmitRequest {
	req := core.AdmitRequest{Account: c.account, IdempotencyKey: c.key, BodyHash: uint64(c.number),
		NonIdempotent: c.once, Deadline: c.w.now.Add(20 * time.Second)}
	if c.once {
		req.Service = "s"
		return req
	}
	req.Model, req.PromptTokens, req.MaxTokens = "m", c.prompt, 100
	return req
}

// run is one attempt at a backend server, as the gateway would see it.
func (c *call) run(v *vm, gen int, request id.Request, d core.Dispatch, retry func(time.Duration)) {
	c.w.after(time.Duration(c.w.rng.IntN(300))*time.Millisecond, func() {
		v.run(gen, func() { c.attemptEnds(v, gen, request, d, retry) })
	})
	// The work is done at the backend server, whether or not the router lives.
	chance := c.w.rng.IntN(20)
	if chance != 0 {
		c.runs++
		c.w.oracle.ran(c)
	}
	c.attemptFails(d, chance)
}

// fates keeps how an attempt was decided to end.
func (c *call) attemptFails(d core.Dispatch, chance int) {
	switch chance {
	case 0:
		c.w.oracle.fates[d.Attempt] = backend.ErrNotRun
	case 1:
		c.w.oracle.fates[d.Attempt] = backend.ErrBroken
	case 2:
		c.w.oracle.fates[d.Attempt] = errHungUp
	}
}

var errHungUp = errors.New("test: the caller hung up")

func (c *call) attemptEnds(v *vm, gen int, request id.Request, d core.Dispatch, retry func(time.Duration)) {
	fate := c.w.oracle.fates[d.Attempt]
	c.note("%s attempt %s ends: %v", v.self(), d.Attempt, fate)
	usage := backend.Usage{PromptTokens: c.prompt, CompletionTokens: c.output}
	switch {
	case fate == nil:
		c.finish(v, request, d, usage, retry)
	case errors.Is(fate, errHungUp) && c.key == "":
		c.w.oracle.mayBill(request, c)
		v.step(core.Abandon{Request: request, Used: usage, Cause: core.CauseCallerGone})
	case errors.Is(fate, backend.ErrBroken) && c.once, errors.Is(fate, errHungUp):
		v.step(core.Abandon{Request: request, Cause: core.CauseBackendFailed})
		retry(time.Second)
	default:
		failed := core.FailedAttempt{Attempt: d.Attempt, Backend: d.Backend.ID, Err: fate}
		v.ask(func(t core.Ticket) core.Event { return core.Redispatch{Ticket: t, Request: request, Failed: failed} }, func(a core.Action) {
			next := a.(core.DispatchReply)
			if next.Refusal == nil {
				c.run(v, gen, request, next.Dispatch, retry)
				return
			}
			c.refused(next.Refusal)
			v.step(core.Abandon{Request: request, Cause: core.CauseBackendFailed})
			retry(time.Second)
		})
	}
}

func (c *call) finish(v *vm, request id.Request, d core.Dispatch, usage backend.Usage, retry func(time.Duration)) {
	if c.once {
		usage = backend.Usage{}
	}
	c.w.oracle.mayBill(request, c)
	done := core.Completion{Attempt: d.Attempt, Backend: d.Backend.ID, Usage: usage, Answer: core.Answer{Status: 200, Content: c.text(), Usage: usage}}
	v.ask(func(t core.Ticket) core.Event { return core.Finish{Ticket: t, Request: request, Done: done} }, func(a core.Action) {
		c.note("%s finish: %+v", v.self(), a.(core.FinishReply).Refusal)
		switch {
		case a.(core.FinishReply).Refusal != nil:
			retry(time.Second)
		case c.w.lossy && c.w.rng.IntN(10) == 0:
			retry(100 * time.Millisecond) // the answer is lost on its way
		default:
			c.got(c.text())
		}
	})
}

func (c *call) got(text string) {
	if text != c.text() {
		c.w.t.Fatalf("call %d was answered %q", c.number, text)
	}
	c.answered = true
	if c.notRun {
		c.w.t.Fatalf("call %d was answered after 'not run' was said of it under key %q", c.number, c.key)
	}
}

// refused checks that 'not run' is true: nothing ran under the key before.
func (c *call) refused(r *core.Refusal) {
	c.w.oracle.refusals[r.Cause]++
	if r.Outcome != core.OutcomeNotRun {
		return
	}
	if c.runs > 0 {
		for _, v := range c.w.vms {
			if v.gen != 0 {
				v.ask(func(t core.Ticket) core.Event {
					return core.PeerCall{Ticket: t, Msg: core.RegisterKeyMsg{Entry: dedup.Entry{Key: dedup.Hash(c.account, c.key)}}}
				}, func(a core.Action) { c.note("%s paused %v: %+v", v.self(), v.paused, a.(core.PeerReply).Msg) })
			}
		}
		c.note("cut %v", c.w.cut)
		c.w.t.Fatalf("call %d (key %q): refused as not run (%s: %s), but it ran %d times\n%s", c.number, c.key, r.Cause, r.Detail, c.runs, strings.Join(c.history, "\n"))
	}
}
