// Package property runs a package's property tests the same way each time.
package property

import (
	"flag"
	"maps"
	"os"
	"testing"
)

// Flags are command line flags of rapid with the values that tests take.
type Flags map[string]string

// Seeded returns the flags of a fixed seed; a failure leaves no file behind.
func Seeded(seed string) Flags {
	return Flags{"rapid.seed": seed, "rapid.nofailfile": "true"}
}

// With returns the flags with one more.
func (f Flags) With(name, value string) Flags {
	f = maps.Clone(f)
	f[name] = value
	return f
}

// Main runs the tests with the flags, but for those given on the command
// line. A package's TestMain calls it; it does not return.
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
