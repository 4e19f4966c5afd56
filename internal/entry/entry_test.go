package entry

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"chicorytiller.example/chicorytiller/internal/fleet"
)

// A caller is told the routers of its own failure domain; with only one of them, the
// others too, so that its death leaves the caller somewhere to go.
func TestNearRoutersFirst(t *testing.T) {
	a, b, c := fleet.Member{Address: "a", Zone: "1"}, fleet.Member{Address: "b", Zone: "1"}, fleet.Member{Address: "c", Zone: "2"}
	qt.Assert(t, Choose([]fleet.Member{a, b, c}, "1"), qt.DeepEquals, []string{"a", "b"})
	qt.Assert(t, Choose([]fleet.Member{c, a}, "1"), qt.DeepEquals, []string{"a", "c"})
	qt.Assert(t, Choose([]fleet.Member{a, b}, "9"), qt.DeepEquals, []string{"a", "b"})
	qt.Assert(t, Choose(nil, "1"), qt.HasLen, 0)
}
