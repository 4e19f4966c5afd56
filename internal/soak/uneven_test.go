package soak

import (
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against kinds of unevenness that no run has, and against runs that are all uneven.
func TestSomeRunsAreUneven(t *testing.T) {
	c := qt.New(t)
	const seeds = 400
	runs, exits := 0, 0
	args := make(map[string]int)
	for seed := range uint64(seeds) {
		u := planUnevenness(seed, engineCount)
		c.Assert(u.String(), qt.Equals, planUnevenness(seed, engineCount).String())
		if len(u.engines) == 0 {
			c.Assert(u.args(0), qt.HasLen, 0)
			continue
		}
		runs++
		if u.memoryExits {
			exits++
		}
		for _, arg := range []string{"--uneven-pace", "--nonsense-share 0.1", "--slow-body-share 0.3", "--memory 800", "--memory 1500", "--memory 3000", "--memory 0"} {
			if strings.Contains(strings.Join(u.args(0), " ")+" ", arg+" ") {
				args[arg]++
			}
		}
	}
	c.Assert(runs > seeds/3 && runs < seeds*2/3, qt.IsTrue, qt.Commentf("%d", runs))
	c.Assert(exits > runs/3 && exits < runs*2/3, qt.IsTrue, qt.Commentf("%d", exits))
	c.Assert(args, qt.HasLen, 7, qt.Commentf("%v", args))
	for arg, n := range args {
		c.Assert(n > runs/10, qt.IsTrue, qt.Commentf("%s %d", arg, n))
	}
}

// Guards against ends by memory that change the other faults of a seed.
func TestMemoryExitsAreAddedToFaults(t *testing.T) {
	even := schedule(7, unevenness{}, 20*time.Second)
	uneven := schedule(7, unevenness{memoryExits: true}, 20*time.Second)
	others := slices.DeleteFunc(slices.Clone(uneven), func(name string) bool { return strings.HasSuffix(name, " out of memory") })
	qt.Assert(t, others, qt.DeepEquals, even)
	qt.Assert(t, len(uneven)-len(others), qt.Equals, 5)
}
