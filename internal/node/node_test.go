package node

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"chicorytiller.example/chicorytiller/internal/escrow"
	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/policy"
	"chicorytiller.example/chicorytiller/internal/store"
)

// Guards against routers that start together and each draw whole budgets.
func TestNoBudgetsBeforeMembershipIsKnown(t *testing.T) {
	s := &Settings{VM: "vm-1", FailureDomain: "zone-1", CallerAddr: "127.0.0.1:1", PeerAddr: "127.0.0.1:2"}
	n := New(s, Environment{Clock: func() escrow.ClockReading { return escrow.ClockReading{} }}, event.Discard(), "p1")
	n.policy.Store(policy.New(policy.Definition{Accounts: []policy.Account{{Name: "boatyard", Prepaid: 1000, Metered: true}}}))
	qt.Assert(t, n.budgets(), qt.HasLen, 0)

	entry := store.Item{Key: MemberPrefix + "vm-1", Value: []byte(`{"address":"127.0.0.1:1","peer":"127.0.0.1:2"}`), Revision: 1}
	n.members.Reset([]store.Item{entry}, store.Silence{})
	qt.Assert(t, n.budgets(), qt.DeepEquals, map[string]int64{"boatyard": 1000})
}
