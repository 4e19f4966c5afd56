package core_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"chicorytiller.example/chicorytiller/internal/core"
)

// quietTime is enough for suspicion, settlement, returns and retries to end.
const quietTime = 90 * time.Second

// TestFleetSurvivesAnySchedule: callers send requests, and send them again with the
// same key when no answer comes, while routers die, pause and wake, links and the
// platform's service fail, answers of writes get lost after their effect, and
// budgets are topped up. Whatever the order: nobody spends beyond what was paid,
// each answered request is billed once, a non-idempotent call runs at most once,
// and 'not run' is true. At the end all grants are closed but those in doubt.
func TestFleetSurvivesAnySchedule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.Uint64().Draw(t, "seed"), rapid.IntRange(3, 5).Draw(t, "routers"))
		defer func() {
			if t.Failed() {
				t.Logf("%v", w.oracle.summary())
			}
		}()
		w.topUp("large", "first", 20_000)
		w.topUp("small", "first", 1500)
		w.pass(3 * time.Second)
		w.lossy = rapid.Bool().Draw(t, "lossy")
		for range rapid.IntRange(5, 40).Draw(t, "rounds") {
			w.trouble()
			for range w.rng.IntN(12) {
				w.after(time.Duration(w.rng.IntN(1000))*time.Millisecond, w.newCall)
			}
			w.pass(time.Duration(100+w.rng.IntN(1500)) * time.Millisecond)
		}
		w.quiet()
		w.oracle.check()
	})
}

// trouble causes or mends one failure.
func (w *world) trouble() {
	v := w.vms[w.rng.IntN(len(w.vms))]
	other := w.vms[w.rng.IntN(len(w.vms))]
	switch w.rng.IntN(14) {
	case 0:
		v.kill()
	case 1, 2:
		if v.gen == 0 {
			v.start()
		}
	case 3:
		v.pause()
	case 4, 5:
		v.wake()
	case 6:
		w.cut[[2]int{v.index, other.index}] = true
	case 7:
		w.cut[[2]int{v.index, other.index}] = true
		w.cut[[2]int{other.index, v.index}] = true
	case 8, 9:
		clear(w.cut)
	case 10:
		w.kvDown = true
	case 11:
		w.kvDown = false
		v.kvCut = false
	case 12:
		v.kvCut = true
	case 13:
		w.topUp("small", w.now.String(), 300)
	}
}

// quiet mends everything, waits, and stops all routers as planned.
func (w *world) quiet() {
	w.lossy, w.kvDown = false, false
	clear(w.cut)
	for _, v := range w.vms {
		v.kvCut = false
		if v.gen == 0 {
			v.start()
		}
		v.wake()
	}
	w.pass(quietTime)
	for _, event := range []core.Event{core.DrainRequested{}, core.StopAdmitting{}, core.GrantsReturnRequested{}, core.LeaveRequested{}} {
		for _, v := range w.vms {
			v.step(event)
		}
		w.pass(10 * time.Second)
	}
}

// TestOutageRefusesAtOnce: the platform's service goes down and the grants run out.
// The draw that was due fails; from then on a caller that can't be served is told so
// at once, and when to come back, not after its request has waited for the next try.
// Once the service is up again, requests are served.
func TestOutageRefusesAtOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.Uint64().Draw(t, "seed"), 3)
		w.topUp("large", "first", 1_000_000)
		w.pass(3 * time.Second)
		w.kvDown = true
		var slowest time.Duration
		ask := func() {
			v, asked := w.vms[0], w.now
			req := core.AdmitRequest{Account: "large", Model: "m", PromptTokens: 50, MaxTokens: 100, Deadline: w.now.Add(20 * time.Second)}
			v.ask(func(t core.Ticket) core.Event { return core.Admit{Ticket: t, Req: req} }, func(a core.Action) {
				reply := a.(core.AdmitReply)
				if reply.Refusal == nil {
					return
				}
				if reply.Refusal.Cause != core.CauseBudgetUnknown || reply.Refusal.RetryAfter <= 0 || reply.Refusal.Outcome != core.OutcomeNotRun {
					w.t.Fatalf("refused with %+v", reply.Refusal)
				}
				slowest = max(slowest, w.now.Sub(asked))
			})
		}
		ask() // its draw is the first to fail
		w.pass(time.Second)
		slowest = 0
		for i := range 100 {
			w.after(time.Duration(i)*100*time.Millisecond, ask)
		}
		w.pass(15 * time.Second)
		if slowest > 0 {
			t.Fatalf("a refusal came %s after the request", slowest)
		}
		w.kvDown = false
		w.pass(10 * time.Second)
		admitted := 0
		w.vms[0].ask(func(t core.Ticket) core.Event {
			return core.Admit{Ticket: t, Req: core.AdmitRequest{Account: "large", Model: "m", PromptTokens: 5, MaxTokens: 10, Deadline: w.now.Add(20 * time.Second)}}
		}, func(a core.Action) {
			if a.(core.AdmitReply).Refusal == nil {
				admitted++
			}
		})
		w.pass(5 * time.Second)
		if admitted != 1 {
			t.Fatalf("not served again after the outage")
		}
	})
}

// TestCalmFleetAnswersAll: without failures every call that the budgets can pay is
// answered, and none is refused for lack of budget.
func TestCalmFleetAnswersAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.Uint64().Draw(t, "seed"), 3)
		w.topUp("large", "first", 1_000_000)
		w.topUp("small", "first", 1_000_000)
		w.pass(3 * time.Second)
		for range 100 {
			w.after(time.Duration(w.rng.IntN(5000))*time.Millisecond, w.newCall)
		}
		w.pass(20 * time.Second)
		if n := w.oracle.refusals[core.CauseBudget]; n > 0 {
			t.Fatalf("%d refusals for budget: %v", n, w.oracle.summary())
		}
		for _, call := range w.oracle.calls {
			if !call.answered && !call.once && call.key != "" {
				t.Fatalf("call %d was not answered: %v", call.number, w.oracle.summary())
			}
		}
		w.quiet()
		w.oracle.check()
	})
}
