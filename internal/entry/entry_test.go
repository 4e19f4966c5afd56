package entry

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"chicorytiller.example/chicorytiller/internal/fleet"
)

// Guards against callers left without a router when the only one in their failure domain dies.
func TestLocalRoutersFirst(t *testing.T) {
	a, b, c := fleet.Member{Address: "a", Domain: "1"}, fleet.Member{Address: "b", Domain: "1"}, fleet.Member{Address: "c", Domain: "2"}
	qt.Assert(t, Choose([]fleet.Member{a, b, c}, "1", "caller"), qt.DeepEquals, []string{"a", "b"})
	qt.Assert(t, Choose([]fleet.Member{c, a}, "1", "caller"), qt.DeepEquals, []string{"a", "c"})
	qt.Assert(t, Choose([]fleet.Member{a, b}, "9", "caller"), qt.DeepEquals, []string{"a", "b"})
	qt.Assert(t, Choose(nil, "1", "caller"), qt.HasLen, 0)
}

// Guards against small routers getting as many callers as large ones.
func TestCallersAreSpreadByCapacity(t *testing.T) {
	var members []fleet.Member
	for i := range 20 {
		capacity := 0.2
		if i < 2 {
			capacity = 0.8
		}
		members = append(members, fleet.Member{Name: fmt.Sprint("vm-", i), Address: fmt.Sprint(i), Domain: "1", Capacity: capacity})
	}
	toLarge, callers := 0, 500
	for i := range callers {
		caller := fmt.Sprint("10.0.0.", i)
		chosen := Choose(members, "1", caller)
		qt.Assert(t, chosen, qt.HasLen, maxLocalRouters)
		qt.Assert(t, Choose(members, "1", caller), qt.DeepEquals, chosen)
		for _, address := range chosen {
			if address == "0" || address == "1" {
				toLarge++
			}
		}
	}
	share := float64(toLarge) / float64(callers*maxLocalRouters)
	qt.Assert(t, share > 0.18 && share < 0.35, qt.IsTrue, qt.Commentf("large routers get %.2f of the connections", share))
}

// Guards against callers being sent to small routers while the large ones have most of the
// capacity.
func TestSmallRoutersAreLeftOut(t *testing.T) {
	large := []fleet.Member{{Name: "l1", Address: "l1", Domain: "1", Capacity: 0.8}, {Name: "l2", Address: "l2", Domain: "1", Capacity: 0.8}}
	var small []fleet.Member
	for i := range 6 {
		name := fmt.Sprint("s", i)
		small = append(small, fleet.Member{Name: name, Address: name, Domain: "1", Capacity: 0.04})
	}
	qt.Assert(t, Choose(append(large, small...), "1", "caller"), qt.ContentEquals, []string{"l1", "l2"})
	qt.Assert(t, Choose(append(large[:1:1], small...), "1", "caller"), qt.HasLen, maxLocalRouters)
	qt.Assert(t, Choose(small, "1", "caller"), qt.HasLen, maxLocalRouters)
	many := large
	for i := range 60 {
		name := fmt.Sprint("m", i)
		many = append(many, fleet.Member{Name: name, Address: name, Domain: "1", Capacity: 0.04})
	}
	qt.Assert(t, Choose(many, "1", "caller"), qt.HasLen, maxLocalRouters, qt.Commentf("the large routers have less than half of the capacity"))
}
