package edge

import (
	"math"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"carawayproxy.example/caraway/internal/membership"
)

// A rate from a peer that is no number of requests kept the server from getting any,
// since no comparison with it holds.
func TestRateOfAPeerThatIsNoNumber(t *testing.T) {
	for _, rate := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1} {
		d := newIdleDaemon(t)
		body, err := cbor.Marshal(serverBroadcast{Rate: &rateBroadcast{Server: "e", PerSecond: rate}})
		assert.NilError(t, err)
		d.onBroadcasts([]membership.Broadcast{{Key: rateKeyPrefix + "e", Version: 1, Body: body}})
		assert.Check(t, d.rates.Take("e", time.Now().Add(time.Second)), "rate %v", rate)
		assert.Equal(t, d.badRecords.Count(), int64(1))
	}
}
