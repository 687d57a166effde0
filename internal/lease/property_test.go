package lease_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/lease"
)

// step is one event of a randomly drawn schedule.
type step struct {
	Kind  string
	Which int
	Wait  int // seconds until the next step
}

// No scope may have two holders at any time while daemons are killed and paused
// and log calls are slow, fail or lose their responses.
func TestOneHolderUnderFaults(t *testing.T) {
	kinds := []string{"kill", "pause", "resume", "down", "up", "lose-responses", "slow"}
	pauses, terms := 0, lease.Term(0)
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
			return step{
				Kind:  rapid.SampledFrom(kinds).Draw(t, "kind"),
				Which: rapid.IntRange(0, 3).Draw(t, "which"),
				Wait:  rapid.SampledFrom([]int{0, 1, 3, 7, 15}).Draw(t, "pause"),
			}
		}), 4, 9).Draw(rt, "steps")
		synctest.Test(t, func(t *testing.T) {
			defer func() {
				if t.Failed() { // rapid does not see the failure
					t.Logf("steps: %+v", steps)
				}
			}()
			c := newCluster(t, 3)
			slots := make([]*daemon, 4)
			for i := range slots {
				slots[i] = c.start(fleet.DaemonID(fmt.Sprintf("d%d", i)))
			}
			c.watch(3 * time.Second)
			for n, s := range steps {
				faults := c.log.Faults()
				switch s.Kind {
				case "kill":
					c.kill(slots[s.Which])
					slots[s.Which] = c.start(fleet.DaemonID(fmt.Sprintf("d%d-%d", s.Which, n)))
				case "pause":
					slots[s.Which].log.pause()
					pauses++
				case "resume":
					slots[s.Which].log.resume()
				case "down", "up":
					faults.Down = s.Kind == "down"
				case "lose-responses":
					faults.LoseResponses += 2
				case "slow":
					faults.Delay = time.Duration(s.Which) * time.Second
				}
				c.log.SetFaults(faults)
				c.watch(time.Duration(s.Wait) * time.Second)
			}
			l, _ := slots[0].fold.Current(c.scopes[0])
			terms = max(terms, l.Term)
		})
	})
	t.Logf("%d pauses, up to term %d", pauses, terms)
	assert.Assert(t, pauses > 0 && terms > 3, "the faults had no effect")
}
