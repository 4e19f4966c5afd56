package soak

import (
	"bytes"
	"context"
	"os/exec"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"chicorytiller.example/chicorytiller/internal/store"
	"chicorytiller.example/chicorytiller/platform"
)

// testSeeds are the seeds that TestShortSoak runs. A seed that once violated a guarantee is
// added with a comment on the cause. Engines of 3015 and 85049 are uneven.
var testSeeds = []struct {
	seed     uint64
	duration time.Duration
}{
	{1, 6 * time.Second},
	{30007, 10 * time.Second}, // SIGHUP ended a router that had just started and had no handler yet
	{3015, 12 * time.Second},  // requests of killed routers, whose logs lack them, counted as those of one router that a server had told
	{85049, 6 * time.Second},  // no fault known: its engines are uneven in all respects
}

// Guards against violations of the guarantees during some seconds of random faults in the real programs.
func TestShortSoak(t *testing.T) {
	c := qt.New(t)
	dir := t.TempDir()
	for _, program := range programs {
		build := exec.Command("go", "build", "-race", "-o", dir, "../../cmd/"+program)
		out, err := build.CombinedOutput()
		c.Assert(err, qt.IsNil, qt.Commentf("%s", out))
	}
	for _, test := range testSeeds {
		var out bytes.Buffer
		violations, err := Run(context.Background(), Options{
			ProgramDir: dir, Dir: t.TempDir(), Seed: test.seed, Duration: test.duration, Rate: 30, Out: &out,
			OpenStore: func(address string) store.Store { return platform.NewStore(address) },
		})
		c.Assert(err, qt.IsNil)
		c.Check(violations, qt.HasLen, 0, qt.Commentf("seed %d\n%s", test.seed, out.String()))
	}
}

// Guards against a missing program that is reported as a violation of the guarantees.
func TestMissingProgramsAreInvalidOptions(t *testing.T) {
	qt.Assert(t, Options{ProgramDir: t.TempDir()}.Validate(), qt.ErrorIs, ErrInvalidOptions)
}

// schedule returns the times and names of the faults of a seed.
func schedule(seed uint64, uneven unevenness, duration time.Duration) []string {
	f := &fleet{engines: []*process{{name: "e1"}, {name: "e2"}}, engineProxies: []*proxy{{}, {}}, uneven: uneven}
	for _, name := range []string{"r1", "r2", "r3"} {
		f.routers = append(f.routers, &router{process: &process{name: name}})
	}
	var list []string
	for _, planned := range planFaults(f, seed, duration, false) {
		list = append(list, planned.offset.String()+" "+planned.name)
	}
	return list
}

// Guards against schedules that a seed doesn't reproduce, and against missing kinds of faults.
func TestScheduleIsDeterminedBySeed(t *testing.T) {
	schedule := func(seed uint64) []string { return schedule(seed, unevenness{}, 20*time.Second) }
	qt.Assert(t, schedule(7), qt.DeepEquals, schedule(7))
	qt.Assert(t, schedule(7), qt.Not(qt.DeepEquals), schedule(8))
	evacuations, limits, kills := 0, 0, 0
	for _, name := range schedule(7) {
		switch {
		case strings.HasSuffix(name, " evacuated"):
			evacuations++
		case strings.Contains(name, " names a limit of "):
			limits++
		case strings.HasSuffix(name, " e1 killed"), strings.HasSuffix(name, " e2 killed"):
			kills++
		}
	}
	qt.Assert(t, evacuations, qt.Equals, 5)
	qt.Assert(t, limits, qt.Equals, 3)
	qt.Assert(t, kills, qt.Equals, 4)
	qt.Assert(t, len(schedule(7))-evacuations-limits-kills, qt.Equals, 33)
}
