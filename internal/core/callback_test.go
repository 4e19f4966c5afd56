package core_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"chicorytiller.example/chicorytiller/internal/backend"
	"chicorytiller.example/chicorytiller/internal/core"
	"chicorytiller.example/chicorytiller/internal/id"
)

// TestIdleGrantIsCalledBack: one router holds an idle grant of a small budget; a
// request comes to another, which the budget can pay, but not with what is granted
// to nobody. The router asks for the idle grant, and the request runs. Without that
// the caller would be refused for lack of a budget that has enough.
func TestIdleGrantIsCalledBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := policyInTest()
		policy.Checkpoint, policy.IdleReturn = time.Minute, time.Minute
		w := newWorldWith(t, rapid.Uint64().Draw(t, "seed"), 3, policy)
		w.topUp("small", "first", 600)
		w.pass(3 * time.Second)
		if refusal := w.spend(w.vms[0], 20, 20, 500*time.Millisecond); refusal != nil {
			t.Fatalf("the first request was refused: %v", refusal)
		}
		if refusal := w.spend(w.vms[1], 50, 400, 5*time.Second); refusal != nil {
			t.Fatalf("refused although the budget has enough: %v", refusal)
		}
	})
}

// spend sends one request of the small client account to a router and finishes it.
func (w *world) spend(v *vm, prompt, output id.Tokens, wait time.Duration) (refusal *core.Refusal) {
	req := core.AdmitRequest{Account: "small", Model: "m", PromptTokens: prompt, MaxTokens: output, Deadline: w.now.Add(20 * time.Second)}
	v.ask(func(t core.Ticket) core.Event { return core.Admit{Ticket: t, Req: req} }, func(a core.Action) {
		reply := a.(core.AdmitReply)
		refusal = reply.Refusal
		if refusal != nil {
			return
		}
		c := &call{w: w, account: "small", prompt: req.PromptTokens, output: req.MaxTokens}
		w.oracle.mayBill(reply.Admission.Request, c)
		done := core.Completion{Attempt: reply.Admission.Dispatch.Attempt, Backend: reply.Admission.Dispatch.Backend.ID,
			Usage: backend.Usage{PromptTokens: c.prompt, CompletionTokens: c.output}}
		v.ask(func(t core.Ticket) core.Event {
			return core.Finish{Ticket: t, Request: reply.Admission.Request, Done: done}
		}, func(core.Action) {})
	})
	w.pass(wait)
	return refusal
}
