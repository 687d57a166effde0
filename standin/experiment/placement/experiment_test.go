package placementexp

import (
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestTable(t *testing.T) {
	if os.Getenv("PLACEMENT_TABLE") == "" {
		t.Skip()
	}
	start := time.Now()
	assert.NilError(t, Table(os.Stdout, 2))
	t.Log(time.Since(start))
}
