package core_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"chicorytiller.example/chicorytiller/internal/core"
)

// TestLimitRefusalFreesItsKey: a keyed request is refused since its client account is
// over its rate. Its caller comes back later with the same key, when the account may
// send again, and is served. Were the refused request left in progress, each retry
// would wait for it until its deadline, and a planned stop of the router as well.
func TestLimitRefusalFreesItsKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.Uint64().Draw(t, "seed"), 3)
		w.topUp(tightAccount, "first", 100_000)
		w.pass(3 * time.Second)
		admit := func(key string) (refusal *core.Refusal) {
			refusal = &core.Refusal{Detail: "no answer"}
			req := core.AdmitRequest{Account: tightAccount, Model: "m", IdempotencyKey: key, PromptTokens: 1, MaxTokens: 1, Deadline: w.now.Add(20 * time.Second)}
			w.vms[0].ask(func(t core.Ticket) core.Event { return core.Admit{Ticket: t, Req: req} }, func(a core.Action) {
				refusal = a.(core.AdmitReply).Refusal
			})
			w.pass(100 * time.Millisecond)
			return refusal
		}
		if refusal := admit("first"); refusal != nil {
			t.Fatalf("the first request was refused: %v", refusal)
		}
		refusal := admit("second")
		if refusal == nil || refusal.Cause != core.CauseRateLimit {
			t.Fatalf("the second request should be over the rate: %v", refusal)
		}
		w.pass(10 * time.Second)
		if refusal := admit("second"); refusal != nil {
			t.Fatalf("the retry was refused: %v", refusal)
		}
	})
}
