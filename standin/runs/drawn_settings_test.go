package runs

import (
	"testing"

	"gotest.tools/v3/assert"

	"carawayproxy.example/caraway/internal/settings"
)

func TestMostSeedsUseDefaultSettings(t *testing.T) {
	const all = 200
	serve, flooded, defaults := 0, 0, 0
	for seed := range uint64(all) {
		switch c := drawSettings(seed + 1); {
		case c == defaultSettings:
			defaults++
		case c.cutOff == settings.CutOffServe && c.flooded == settings.FloodedAll:
			serve++
			flooded++
		case c.cutOff == settings.CutOffServe:
			serve++
		default:
			flooded++
		}
	}
	t.Logf("of %d seeds, %d serve when cut off, %d use all groups when flooded, %d have the defaults", all, serve, flooded, defaults)
	assert.Assert(t, 2*defaults > all)
	assert.Assert(t, serve > all/8 && flooded > all/8)
}
