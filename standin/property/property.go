// Package property makes the property tests of a package reproducible.
package property

import (
	"flag"
	"maps"
	"os"
	"testing"
)

// Flags are command line flags of rapid with their values for tests.
type Flags map[string]string

// Seeded returns flags that fix the seed and disable rapid's failure files.
func Seeded(seed string) Flags {
	return Flags{"rapid.seed": seed, "rapid.nofailfile": "true"}
}

// With returns the flags with one flag added or replaced.
func (f Flags) With(name, value string) Flags {
	f = maps.Clone(f)
	f[name] = value
	return f
}

// Main runs the tests with the flags. Flags on the command line take precedence.
// A package's TestMain calls Main, which does not return.
func Main(m *testing.M, flags Flags) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range flags {
		if given[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
