package node

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"chicorytiller.example/chicorytiller/internal/escrow"
	"chicorytiller.example/chicorytiller/internal/event"
	"chicorytiller.example/chicorytiller/internal/fleet"
	"chicorytiller.example/chicorytiller/internal/store"
)

func TestCapacityIsMinimumOfCPUAndLink(t *testing.T) {
	for lines, want := range map[string]float64{
		"":                                      0,
		"cpu_share = 0.4\nlink_mbps = 1000.0\n": 0.4,
		"cpu_share = 0.192\nlink_mbps = 10.0\n": 0.04,
		"cpu_share = 0.5\n":                     0.5,
	} {
		s, err := ParseSettings([]byte(strings.Replace(validSettings, "[listen]", lines+"[listen]", 1)))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, s.Capacity, qt.Equals, want)
		qt.Assert(t, s.LinkMbps > 0, qt.Equals, strings.Contains(lines, "link"), qt.Commentf("an unknown link is no limit"))
	}
}

// Guards against small routers that are home of many accounts, and against accounts that move to
// a router other than their standby when their home is lost.
func TestHomesAreWeightedByCapacity(t *testing.T) {
	c := qt.New(t)
	n := New(&Settings{VM: "vm-0", PeerAddr: "peer-0", Capacity: 0.04}, Environment{Clock: func() escrow.ClockReading { return escrow.ClockReading{} }}, event.Discard(), "p1")
	items := make([]store.Item, 0, 10)
	for i := range 10 {
		record := fmt.Sprintf(`{"address":"a-%d","peer":"peer-%d","capacity":%v}`, i, i, map[bool]float64{true: 0.8, false: 0.04}[i == 5])
		items = append(items, store.Item{Key: fmt.Sprintf("%svm-%d", MemberPrefix, i), Value: []byte(record)})
	}
	n.members.Reset(items, store.Silence{})
	atLarge := 0
	standbys := map[string]string{}
	for i := range 300 {
		account := fmt.Sprint("account-", i)
		home, standby := homeAndStandby(n, account)
		c.Assert(home, qt.Not(qt.Equals), standby)
		if home == "peer-5" {
			atLarge++
			standbys[account] = standby
		}
	}
	c.Assert(atLarge > 180 && atLarge < 230, qt.IsTrue, qt.Commentf("%d of 300 accounts at the router with 0.8 of 1.16 cores", atLarge))
	n.members = fleet.NewMembers(decodeMember, event.Discard(), nil)
	n.members.Reset(append(items[:5:5], items[6:]...), store.Silence{})
	for account, standby := range standbys {
		c.Assert(n.homeAddress(account), qt.Equals, standby)
	}
}

// newUniformFleet returns a router that knows a fleet of equal routers, itself included, and the
// fleet's entries.
func newUniformFleet(routers int) (*Node, []store.Item) {
	n := New(&Settings{VM: "vm-0", PeerAddr: "peer-0", Capacity: 0.4}, Environment{Clock: func() escrow.ClockReading { return escrow.ClockReading{} }}, event.Discard(), "p1")
	var items []store.Item
	for i := range routers {
		record := fmt.Sprintf(`{"address":"a-%d","peer":"peer-%d","capacity":0.4}`, i, i)
		items = append(items, store.Item{Key: fmt.Sprintf("%svm-%d", MemberPrefix, i), Value: []byte(record)})
	}
	n.members.Reset(items, store.Silence{})
	return n, items
}

// Guards against requests for tokens to a router that has left the fleet.
func TestHoldersFollowMembership(t *testing.T) {
	c := qt.New(t)
	n, items := newUniformFleet(10)
	for i := range 20 {
		account := fmt.Sprint("account-", i)
		home, standby := homeAndStandby(n, account)
		if home == "" {
			continue
		}
		removed := slices.IndexFunc(items, func(item store.Item) bool { return strings.Contains(string(item.Value), `"`+home+`"`) })
		n.members.Apply([]store.Event{{Item: items[removed], Deleted: true}}, store.Silence{})
		c.Assert(n.homeAddress(account), qt.Equals, standby)
		n.members.Apply([]store.Event{{Item: items[removed]}}, store.Silence{})
		c.Assert(n.homeAddress(account), qt.Equals, home)
	}
	n.stopping.Store(true)
	for i := range 20 {
		c.Assert(n.homeAddress(fmt.Sprint("account-", i)), qt.Not(qt.Equals), "", qt.Commentf("a stopping router is not a home"))
	}
}

// homeAndStandby returns an account's home and the standby that takes over from it.
func homeAndStandby(n *Node, account string) (home, standby string) {
	holders := n.holderAddresses(account)
	return holders[0], holders[1]
}

// Guards against a number of ledgers that grows with the accounts in a large fleet, and against
// grants of one account at two routers after its home is lost.
func TestLargeFleetSharesFewHomes(t *testing.T) {
	c := qt.New(t)
	n, items := newUniformFleet(80)
	standbys := map[string]string{} // by home
	for i := range 300 {
		home, standby := homeAndStandby(n, fmt.Sprint("account-", i))
		standbys[home] = standby
	}
	c.Assert(len(standbys) <= minSharedHomes, qt.IsTrue, qt.Commentf("%d homes", len(standbys)))
	c.Assert(len(standbys) > minSharedHomes/2, qt.IsTrue, qt.Commentf("%d homes", len(standbys)))
	lost := n.homeAddress("account-1")
	_, standby := homeAndStandby(n, "account-1")
	n.members = fleet.NewMembers(decodeMember, event.Discard(), nil)
	for i, item := range items {
		if fmt.Sprint("peer-", i) != lost {
			n.members.Apply([]store.Event{{Item: item}}, store.Silence{})
		}
	}
	c.Assert(n.homeAddress("account-1"), qt.Equals, standby)
}

// Guards against small routers whose links are saturated by relaying to followers.
func TestSmallRoutersAreNotStoreReaders(t *testing.T) {
	for round := range 50 {
		var members []fleet.Member
		for i := range 26 {
			m := fleet.Member{Name: fmt.Sprintf("vm-%d-%d", round, i), PeerAddress: "p", Domain: "zone-1", Capacity: 0.04}
			if i < 2 {
				m.Capacity = 0.8
			}
			members = append(members, m)
		}
		chosen := storeReaders(members, "zone-1")
		qt.Assert(t, chosen, qt.HasLen, 1)
		qt.Assert(t, chosen[0].Capacity, qt.Equals, 0.8)
		qt.Assert(t, storeReaders(members[2:], "zone-1"), qt.HasLen, 1)
	}
}

// If all VMs are equal any of them can become a store reader; there is one per 32 routers.
func TestEqualRoutersBecomeStoreReadersByRank(t *testing.T) {
	used := map[string]bool{}
	for round := range 50 {
		var members []fleet.Member
		for i := range 40 {
			members = append(members, fleet.Member{Name: fmt.Sprint("vm-", round*100+i), PeerAddress: "p", Domain: "zone-1", Capacity: 1})
		}
		chosen := storeReaders(members, "zone-1")
		qt.Assert(t, chosen, qt.HasLen, 2)
		used[chosen[0].Name] = true
	}
	qt.Assert(t, len(used), qt.Equals, 50)
}
