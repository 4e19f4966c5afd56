package node

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytiller.example/chicorytiller/internal/escrow"
	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/store"
)

// rankedFleet is a set of routers with a common clock, whose lists of routers the test sets.
type rankedFleet struct {
	*qt.C
	now   time.Time
	nodes []*Node
}

func newRankedFleet(t testing.TB, routers int) *rankedFleet {
	f := &rankedFleet{C: qt.New(t), now: time.Unix(1000, 0)}
	for i := range routers {
		settings := &Settings{VM: fmt.Sprint("vm-", i), FailureDomain: "zone-1", CallerAddr: "127.0.0.1:1", Capacity: 1}
		f.nodes = append(f.nodes, New(settings, Environment{Now: func() time.Time { return f.now },
			Clock: func() escrow.ClockReading { return escrow.ClockReading{} }}, event.Discard(), settings.VM))
	}
	return f
}

// setMembers sets the list of routers that each of the given routers knows.
func (f *rankedFleet) setMembers(routers []*Node, listed []*Node) {
	items := make([]store.Item, 0, len(listed))
	for i, n := range listed {
		record, err := json.Marshal(MemberRecord{Address: n.settings.CallerAddr, Peer: fmt.Sprintf("10.0.0.1:%d", i+1), Domain: "zone-1",
			Capacity: n.settings.Capacity})
		f.Assert(err, qt.IsNil)
		items = append(items, store.Item{Key: MemberPrefix + n.settings.VM, Value: record, Revision: 1})
	}
	for _, n := range routers {
		(&fleetSink{node: n}).Reset(items, store.Silence{})
		n.membership.confirm(f.now)
	}
}

// isFirst reports whether a router considers itself first in rank for a server.
func isFirst(n *Node, server string) bool {
	rank := n.rankFor(server)
	return rank.Valid && rank.Position == 0
}

// senders returns the routers that consider themselves the sender to a cold server.
func (f *rankedFleet) senders(server string) []*Node {
	var list []*Node
	for _, n := range f.nodes {
		if isFirst(n, server) {
			list = append(list, n)
		}
	}
	return list
}

// In normal operation each cold server has exactly one sender, and the senders are spread over the
// routers.
func TestColdServerHasOneSender(t *testing.T) {
	for _, routers := range []int{8, 80, 195} {
		f := newRankedFleet(t, routers)
		f.setMembers(f.nodes, f.nodes)
		f.now = f.now.Add(minListedTime)
		f.setMembers(f.nodes, f.nodes)
		used := map[*Node]bool{}
		for i := range 40 {
			senders := f.senders(fmt.Sprint("server-", i))
			f.Assert(senders, qt.HasLen, 1)
			used[senders[0]] = true
		}
		f.Assert(len(used) > 4, qt.IsTrue, qt.Commentf("%d of %d routers", len(used), routers))
	}
}

// Guards against cold servers that crash because every one of many routers that start together
// sends to them.
func TestRoutersStartingTogetherWaitForMembership(t *testing.T) {
	f := newRankedFleet(t, 80)
	for _, n := range f.nodes {
		f.setMembers([]*Node{n}, []*Node{n})
	}
	f.Assert(f.senders("server"), qt.HasLen, 0)
	f.now = f.now.Add(fleetCheckAfter)
	f.setMembers(f.nodes, f.nodes)
	f.Assert(f.senders("server"), qt.HasLen, 0)
	f.now = f.now.Add(minListedTime - fleetCheckAfter)
	f.setMembers(f.nodes, f.nodes)
	f.Assert(f.senders("server"), qt.HasLen, 1)
}

// Guards against two senders to a cold server for longer than the maximum age of the list.
func TestSenderStopsAfterLosingStore(t *testing.T) {
	f := newRankedFleet(t, 80)
	f.setMembers(f.nodes, f.nodes)
	f.now = f.now.Add(minListedTime)
	f.setMembers(f.nodes, f.nodes)
	lost := f.senders("server")[0]
	var others []*Node
	for _, n := range f.nodes {
		if n != lost {
			others = append(others, n)
		}
	}
	f.now = f.now.Add(entryLeaseTTL)
	f.setMembers(others, others)
	f.Assert(len(f.senders("server")) <= 2, qt.IsTrue)
	f.now = f.now.Add(maxListAge - entryLeaseTTL + time.Millisecond)
	f.setMembers(others, others)
	f.Assert(f.senders("server"), qt.HasLen, 1)
	f.Assert(isFirst(lost, "server"), qt.IsFalse)

	// After its return it waits until all others know it.
	f.setMembers(f.nodes, others)
	f.setMembers(f.nodes, f.nodes)
	f.Assert(isFirst(lost, "server"), qt.IsFalse)
}

// Guards against two senders to a cold server when another router takes a stopping one's place.
func TestStoppingRouterIsNotSender(t *testing.T) {
	f := newRankedFleet(t, 1)
	f.setMembers(f.nodes, f.nodes)
	f.now = f.now.Add(minListedTime)
	f.setMembers(f.nodes, f.nodes)
	f.Assert(isFirst(f.nodes[0], "server"), qt.IsTrue)
	f.nodes[0].stopping.Store(true)
	f.Assert(isFirst(f.nodes[0], "server"), qt.IsFalse)
}

// Guards against changed retry limits that last only until another router's entry changes.
func TestReloadedRetryLimitsOutlastChangesOfMembership(t *testing.T) {
	f := newRankedFleet(t, 2)
	node := f.nodes[0]
	node.Reload(&Settings{RetryWindow: time.Minute, RetryExtra: 10})
	f.setMembers(f.nodes[:1], f.nodes)
	f.Assert(node.retries.TryAcquire("model"), qt.IsTrue)
}
