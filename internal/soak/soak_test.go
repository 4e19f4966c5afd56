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

// testSeeds are played by each run of the tests. A seed that ever broke a promise is
// added, with a line on the cause.
var testSeeds = []struct {
	seed     uint64
	duration time.Duration
}{
	{1, 6 * time.Second},
	{30007, 10 * time.Second}, // SIGHUP right after a start ended the router: its handler came late
}

// Guards every promise against some seconds of random faults on the real programs.
func TestShortSoak(t *testing.T) {
	c := qt.New(t)
	programs := t.TempDir()
	for _, program := range []string{"chicory-platform", "chicory-engine", "chicory-router"} {
		build := exec.Command("go", "build", "-race", "-o", programs, "../../cmd/"+program)
		out, err := build.CombinedOutput()
		c.Assert(err, qt.IsNil, qt.Commentf("%s", out))
	}
	for _, test := range testSeeds {
		var out bytes.Buffer
		broken, err := Run(context.Background(), Options{
			ProgramDir: programs, Dir: t.TempDir(), Seed: test.seed, Duration: test.duration, Rate: 30, Out: &out,
			OpenStore: func(address string) store.Store { return platform.NewStore(address) },
		})
		c.Assert(err, qt.IsNil)
		c.Check(broken, qt.HasLen, 0, qt.Commentf("seed %d\n%s", test.seed, out.String()))
	}
}

// The same seed gives the same faults; another gives others.
func TestScheduleIsDeterminedBySeed(t *testing.T) {
	names := func(seed uint64) []string {
		f := &fleet{engines: []*process{{name: "e1"}, {name: "e2"}}, proxies: []*proxy{{}, {}}}
		for _, name := range []string{"r1", "r2", "r3"} {
			f.routers = append(f.routers, &router{process: &process{name: name}})
		}
		var list []string
		for _, one := range plan(f, seed, 20*time.Second) {
			list = append(list, one.at.String()+" "+one.name)
		}
		return list
	}
	qt.Assert(t, names(7), qt.DeepEquals, names(7))
	qt.Assert(t, names(7), qt.Not(qt.DeepEquals), names(8))
	evacuations, limits, deaths := 0, 0, 0
	for _, name := range names(7) {
		switch {
		case strings.HasSuffix(name, " evacuated"):
			evacuations++
		case strings.Contains(name, " names a limit of "):
			limits++
		case strings.HasSuffix(name, " e1 killed"), strings.HasSuffix(name, " e2 killed"):
			deaths++
		}
	}
	qt.Assert(t, evacuations, qt.Equals, 5)
	qt.Assert(t, limits, qt.Equals, 3)
	qt.Assert(t, deaths, qt.Equals, 4)
	qt.Assert(t, len(names(7))-evacuations-limits-deaths, qt.Equals, 33)
}
