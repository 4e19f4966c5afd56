// Package fixedseed gives randomized tests a fixed seed, so that every test run has the same
// result. Rapid's own flags select longer or different runs. Only tests import it.
package fixedseed

import (
	"flag"
	"os"
	"testing"
)

// Main is the body of a package's TestMain. The keys of defaults are names of further flags
// of rapid, such as "rapid.checks". Flags on the command line take precedence.
func Main(m *testing.M, defaults map[string]string) {
	flag.Parse()
	flagsSet := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { flagsSet[f.Name] = true })
	setDefault := func(name, value string) {
		if !flagsSet[name] && flag.Lookup(name) != nil {
			_ = flag.Set(name, value)
		}
	}
	setDefault("rapid.seed", "1")
	for name, value := range defaults {
		setDefault(name, value)
	}
	os.Exit(m.Run())
}
