package entry

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"chicorytiller.example/chicorytiller/internal/fixedseed"
	"chicorytiller.example/chicorytiller/internal/fleet"
)

func TestMain(m *testing.M) {
	fixedseed.Main(m, nil)
}

// router returns a router whose failure domain is the first letter of its name.
func router(name string, capacity float64, overloaded bool) fleet.Member {
	return fleet.Member{Name: name, Address: name, Domain: name[:1], Capacity: capacity, Overloaded: overloaded}
}

// Guards against an account that saturates one small router after the other, and against a domain whose routers
// are all in standby for one that is as small as they are.
func TestSmallRoutersStandByWhileOneIsOverloaded(t *testing.T) {
	fleetOf := func(largeOverloaded bool) []fleet.Member {
		return []fleet.Member{router("a1", 0.04, true), router("a2", 0.05, false), router("a3", 0.2, false), router("a4", 0.8, largeOverloaded),
			router("b1", 0.04, false)}
	}
	standby := func(members []fleet.Member) (names []string) {
		for _, m := range members {
			if Standby(members, m) {
				names = append(names, m.Name)
			}
		}
		return names
	}
	qt.Assert(t, standby(fleetOf(false)), qt.DeepEquals, []string{"a2"})
	qt.Assert(t, standby(fleetOf(true)), qt.DeepEquals, []string{"a2"}, qt.Commentf("a3 is larger and not overloaded"))
	qt.Assert(t, standby(fleetOf(false)[:2]), qt.HasLen, 0)
	qt.Assert(t, standby([]fleet.Member{router("a1", 0, true), router("a2", 0, false)}), qt.HasLen, 0)
}

// Guards against callers that are sent to routers which are not ready, out of their failure domain without need, or
// nowhere.
func TestOverloadedRoutersAreOmitted(t *testing.T) {
	members := []fleet.Member{router("a1", 0.8, false), router("a2", 0.8, true), router("a3", 0.8, false), router("b1", 0.8, false), router("b2", 0.8, false)}
	qt.Assert(t, Choose(members, "a", "caller"), qt.DeepEquals, []string{"a1", "a3"})
	members[2].Overloaded = true
	chosen := Choose(members, "a", "caller")
	qt.Assert(t, chosen, qt.HasLen, minLocalRouters)
	qt.Assert(t, chosen[0], qt.Equals, "a1")
	members[0].Overloaded = true
	qt.Assert(t, Choose(members, "a", "caller"), qt.ContentEquals, []string{"b1", "b2"})
	qt.Assert(t, Withdraws(members, members[0]), qt.IsTrue)
	members[3].Overloaded, members[4].Overloaded = true, true
	qt.Assert(t, Choose(members, "a", "caller"), qt.DeepEquals, []string{"a1", "a2", "a3"})
	qt.Assert(t, Withdraws(members, members[0]), qt.IsFalse)
}

// Guards against a failure domain, or a fleet, in which no router takes callers although one could.
func TestAReadyRouterIsLeft(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fleet.Member {
			domain := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "domain")
			return router(domain, rapid.SampledFrom([]float64{0, 0.04, 0.05, 0.07, 0.1, 0.8}).Draw(t, "capacity"), rapid.Bool().Draw(t, "overloaded"))
		}), 1, 8).Draw(t, "members")
		ready, free, readyIn := 0, map[string]bool{}, map[string]bool{}
		unconfirmed := 0
		for i := range members {
			m := &members[i]
			m.Name, m.Address = fmt.Sprint(m.Domain, i), fmt.Sprint(m.Domain, i)
		}
		for _, m := range members {
			free[m.Domain] = free[m.Domain] || !m.Overloaded
			if !Standby(members, m) && !Withdraws(members, m) {
				ready++
				readyIn[m.Domain] = readyIn[m.Domain] || !m.Overloaded
			}
			if !WithdrawsUnconfirmed(members, m) {
				unconfirmed++
			}
		}
		if ready == 0 || unconfirmed == 0 {
			t.Fatalf("no router is ready: %v", members)
		}
		for domain, any := range free {
			if readyIn[domain] != any {
				t.Fatalf("no router of domain %s is ready: %v", domain, members)
			}
		}
		for _, address := range Choose(members, "a", "caller") {
			for _, m := range members {
				if m.Address == address && (Standby(members, m) || Withdraws(members, m)) {
					t.Fatalf("a caller is sent to %v, which is not ready", m)
				}
			}
		}
	})
}
