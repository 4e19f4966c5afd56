package entry

import (
	"fmt"
	"slices"
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

// Guards against a platform that ignores readiness because most routers of a failure domain are not ready, so
// that callers stay at an overloaded one.
func TestAThirdOfADomainWithdraws(t *testing.T) {
	var members []fleet.Member
	for i := range 7 {
		members = append(members, router(fmt.Sprint("a", i), 0.04+0.01*float64(7-i), i > 0))
	}
	members = append(members, router("b1", 0.01, true))
	for i, withdraws := range []bool{false, false, false, false, false, true, true, true} {
		qt.Check(t, Withdraws(members, members[i]), qt.Equals, withdraws, qt.Commentf("%s", members[i].Name))
	}
	small := members[5:7]
	qt.Check(t, Withdraws(small, small[0]), qt.IsFalse, qt.Commentf("both are overloaded"))
	small[0].Overloaded = false
	qt.Check(t, Withdraws(small, small[1]), qt.IsTrue, qt.Commentf("one may always withdraw"))
}

// Guards against callers that are sent out of their failure domain without need, or nowhere.
func TestOverloadedRoutersAreOmitted(t *testing.T) {
	members := []fleet.Member{router("a1", 0.8, false), router("a2", 0.8, false), router("a3", 0.8, false), router("b1", 0.8, false), router("b2", 0.8, false)}
	for i, want := range []string{"a1 a2 a3", "a2 a3", "a2 a3", "a2 a3", "a2 a3", "a1 a2 a3"} {
		qt.Check(t, fmt.Sprint(Choose(members, "a", "caller")), qt.Matches, `\[`+want+`\]`)
		members[min(i, len(members)-1)].Overloaded = true
	}
}

// Guards against a failure domain, or a fleet, in which no router takes callers although one could, and against
// callers that are sent to a router which takes none.
func TestAReadyRouterIsLeft(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fleet.Member {
			domain := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "domain")
			return router(domain, rapid.SampledFrom([]float64{0, 0.04, 0.05, 0.07, 0.1, 0.8}).Draw(t, "capacity"), rapid.Bool().Draw(t, "overloaded"))
		}), 1, 8).Draw(t, "members")
		for i := range members {
			members[i].Name, members[i].Address = fmt.Sprint(i), fmt.Sprint(i)
		}
		free, ready, addresses, unconfirmed := map[string]bool{}, map[string]bool{}, map[string]bool{}, 0
		for _, m := range members {
			free[m.Domain] = free[m.Domain] || !m.Overloaded
			if !Withdraws(members, m) {
				addresses[m.Address] = true
				ready[m.Domain] = ready[m.Domain] || !m.Overloaded
			}
			if !WithdrawsUnconfirmed(members, m) {
				unconfirmed++
			}
		}
		chosen := Choose(members, "a", "caller")
		unready := slices.ContainsFunc(chosen, func(address string) bool { return !addresses[address] })
		if len(chosen) == 0 || unready || len(addresses) == 0 || unconfirmed == 0 || ready["a"] != free["a"] || ready["b"] != free["b"] {
			t.Fatalf("%v: chosen %v, ready %v", members, chosen, addresses)
		}
	})
}
