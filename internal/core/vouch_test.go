package core_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"chicorytiller.example/chicorytiller/internal/core"
	"chicorytiller.example/chicorytiller/internal/dedup"
	"chicorytiller.example/chicorytiller/internal/id"
)

// TestSettledRouterIsNotVouchedFor: a router was paused, settled by others, and wakes
// without knowing it. It registers a key at a home that knows of its settlement. If
// the home vouched that the key is new, the router could tell its caller 'not run'
// of a request that another router has taken over and run meanwhile.
func TestSettledRouterIsNotVouchedFor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.Uint64().Draw(t, "seed"), 3)
		w.pass(10 * time.Second)
		home := w.vms[0]
		register := func(key dedup.Key) (reply core.RegisterKeyReply) {
			entry := dedup.Entry{Key: key, Request: id.Request("req-" + key), Serving: w.vms[1].self(), Serial: 1}
			home.ask(func(t core.Ticket) core.Event {
				return core.PeerCall{Ticket: t, From: w.vms[1].self(), Msg: core.RegisterKeyMsg{Entry: entry}}
			}, func(a core.Action) { reply = a.(core.PeerReply).Msg.(core.RegisterKeyReply) })
			return reply
		}
		if reply := register("before"); !reply.Warm || reply.Unsettled {
			t.Fatalf("the home should vouch: %+v", reply)
		}
		home.step(core.PeerCall{From: w.vms[2].self(), Msg: core.SettledMsg{Router: w.vms[1].self()}})
		if reply := register("after"); reply.Warm || !reply.Unsettled {
			t.Fatalf("the home vouches for a settled router: %+v", reply)
		}
	})
}
