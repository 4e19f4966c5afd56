// Package fixedseed gives randomised tests a fixed seed, so that a test run has the
// same verdict every time. Longer or other runs are asked for by rapid's own flags.
// Only tests import it.
package fixedseed

import (
	"flag"
	"os"
	"testing"
)

// Main is the body of a package's TestMain. Defaults are further flags of rapid,
// by name ("rapid.checks"); those given on the command line win.
func Main(m *testing.M, defaults map[string]string) {
	flag.Parse()
	given := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	set := func(name, value string) {
		if !given[name] && flag.Lookup(name) != nil {
			_ = flag.Set(name, value)
		}
	}
	set("rapid.seed", "1")
	for name, value := range defaults {
		set(name, value)
	}
	os.Exit(m.Run())
}
