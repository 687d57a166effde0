package placement_test

import (
	"testing"

	"carawayproxy.example/caraway/standin/property"
)

// TestMain fixes the seed of the property tests unless one is set.
func TestMain(m *testing.M) { property.Main(m, property.Seeded("1")) }
