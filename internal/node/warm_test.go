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
	w := &rankedFleet{C: qt.New(t), now: time.Unix(1000, 0)}
	for i := range routers {
		settings := &Settings{VM: fmt.Sprint("vm-", i), FailureDomain: "zone-1", CallerAddr: "127.0.0.1:1", Capacity: 1}
		w.nodes = append(w.nodes, New(settings, Environment{Now: func() time.Time { return w.now },
			Clock: func() escrow.ClockReading { return escrow.ClockReading{} }}, event.Discard(), settings.VM))
	}
	return w
}

// setMembers sets the list of routers that each of the given routers knows.
func (w *rankedFleet) setMembers(routers []*Node, listed []*Node) {
	items := make([]store.Item, 0, len(listed))
	for i, n := range listed {
		record, err := json.Marshal(MemberRecord{Address: n.settings.CallerAddr, Peer: fmt.Sprintf("10.0.0.1:%d", i+1), Domain: "zone-1",
			Capacity: n.settings.Capacity})
		w.Assert(err, qt.IsNil)
		items = append(items, store.Item{Key: MemberPrefix + n.settings.VM, Value: record, Revision: 1})
	}
	for _, n := range routers {
		(&fleetSink{node: n}).Reset(items, store.Silence{})
		n.membership.confirm(w.now)
	}
}

// isFirst reports whether a router considers itself first in rank for a server.
func isFirst(n *Node, server string) bool {
	place := n.rankFor(server)
	return place.Valid && place.Position == 0
}

// senders returns the routers that consider themselves the sender to a cold server.
func (w *rankedFleet) senders(server string) []*Node {
	var list []*Node
	for _, n := range w.nodes {
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
		w := newRankedFleet(t, routers)
		w.setMembers(w.nodes, w.nodes)
		w.now = w.now.Add(minListedTime)
		w.setMembers(w.nodes, w.nodes)
		used := map[*Node]bool{}
		for i := range 40 {
			senders := w.senders(fmt.Sprint("server-", i))
			w.Assert(senders, qt.HasLen, 1)
			used[senders[0]] = true
		}
		w.Assert(len(used) > 4, qt.IsTrue, qt.Commentf("%d of %d routers", len(used), routers))
	}
}

// Guards against cold servers that crash because every one of many routers that start together
// sends to them.
func TestRoutersStartingTogetherWaitForMembership(t *testing.T) {
	w := newRankedFleet(t, 80)
	for _, n := range w.nodes {
		w.setMembers([]*Node{n}, []*Node{n})
	}
	w.Assert(w.senders("server"), qt.HasLen, 0)
	w.now = w.now.Add(fleetCheckAfter)
	w.setMembers(w.nodes, w.nodes)
	w.Assert(w.senders("server"), qt.HasLen, 0)
	w.now = w.now.Add(minListedTime - fleetCheckAfter)
	w.setMembers(w.nodes, w.nodes)
	w.Assert(w.senders("server"), qt.HasLen, 1)
}

// Guards against two senders to a cold server for longer than the maximum age of the list.
func TestSenderStopsAfterLosingStore(t *testing.T) {
	w := newRankedFleet(t, 80)
	w.setMembers(w.nodes, w.nodes)
	w.now = w.now.Add(minListedTime)
	w.setMembers(w.nodes, w.nodes)
	lost := w.senders("server")[0]
	var others []*Node
	for _, n := range w.nodes {
		if n != lost {
			others = append(others, n)
		}
	}
	w.now = w.now.Add(entryLeaseTTL)
	w.setMembers(others, others)
	w.Assert(len(w.senders("server")) <= 2, qt.IsTrue)
	w.now = w.now.Add(maxListAge - entryLeaseTTL + time.Millisecond)
	w.setMembers(others, others)
	w.Assert(w.senders("server"), qt.HasLen, 1)
	w.Assert(isFirst(lost, "server"), qt.IsFalse)

	// After its return it waits until all others know it.
	w.setMembers(w.nodes, others)
	w.setMembers(w.nodes, w.nodes)
	w.Assert(isFirst(lost, "server"), qt.IsFalse)
}

// A stopping router does not send to cold servers; another router takes its place at once.
func TestStoppingRouterIsNotSender(t *testing.T) {
	w := newRankedFleet(t, 1)
	w.setMembers(w.nodes, w.nodes)
	w.now = w.now.Add(minListedTime)
	w.setMembers(w.nodes, w.nodes)
	w.Assert(isFirst(w.nodes[0], "server"), qt.IsTrue)
	w.nodes[0].stopping.Store(true)
	w.Assert(isFirst(w.nodes[0], "server"), qt.IsFalse)
}
