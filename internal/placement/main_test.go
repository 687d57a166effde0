package placement_test

import (
	"flag"
	"testing"
)

// TestMain fixes rapid's seed, so that CI gives the same verdict each time.
// A seed on the command line stands.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed != nil && seed.Value.String() == "0" {
		if err := seed.Value.Set("1"); err != nil {
			panic(err)
		}
	}
	m.Run()
}
