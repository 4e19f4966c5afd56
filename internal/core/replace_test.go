package core_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"chicorytiller.example/chicorytiller/internal/bill"
	"chicorytiller.example/chicorytiller/internal/core"
)

// TestReplacedFleetKnowsItsBills: a keyed request is answered, its answer is lost on
// the way, and all routers are replaced as planned, one after the other, before its
// caller sends it again. No process is left that served it. The caller gets the
// answer, the request has one bill, and operators still find that bill.
func TestReplacedFleetKnowsItsBills(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.Uint64().Draw(t, "seed"), rapid.IntRange(3, 5).Draw(t, "routers"))
		w.topUp("large", "first", 100_000)
		w.pass(3 * time.Second)
		c := &call{w: w, account: "large", key: "key", prompt: 10, output: 20}
		w.oracle.calls = append(w.oracle.calls, c)
		c.try()
		w.pass(10 * time.Second)
		if !c.answered {
			t.Skip("the engine refused it, or its caller gave up")
		}
		for _, v := range w.vms {
			w.replace(v)
		}
		c.answered, c.tries = false, 0
		c.try()
		w.pass(30 * time.Second)
		if !c.answered || w.oracle.billedFor(c) != 1 {
			t.Fatalf("answered %v, billed %d times\n%v", c.answered, w.oracle.billedFor(c), c.history)
		}
		listed := 0
		for _, v := range w.vms {
			listed += len(v.core.Bills(bill.Filter{Account: "large"}))
		}
		if listed == 0 {
			t.Fatalf("no router lists the bill")
		}
	})
}

// replace stops a router as planned and starts a new one on its VM.
func (w *world) replace(v *vm) {
	for _, event := range []core.Event{core.DrainRequested{}, core.StopAdmitting{}, core.GrantsReturnRequested{}, core.LeaveRequested{}} {
		v.step(event)
		w.pass(2 * time.Second)
	}
	v.kill()
	v.start()
	w.pass(5 * time.Second)
}
