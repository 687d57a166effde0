package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"carawayproxy.example/caraway/internal/fleet"
)

func manyEndpoints(n, zones int) []Endpoint {
	endpoints := make([]Endpoint, n)
	for i := range endpoints {
		endpoints[i] = Endpoint{
			Address: fmt.Sprintf("10.2.%d.%d:7000", i/250, i%250),
			Zone:    fleet.Zone(fmt.Sprintf("zone-%d", i%zones)),
		}
	}
	return endpoints
}

// maxHops returns the highest number of hops between the first live daemon and
// any other, and how many daemons it reaches. Dead daemons are chosen but have
// no links.
func maxHops(p LinkPolicy, endpoints []Endpoint, dead map[string]bool) (most, reached int) {
	links := map[string][]string{}
	for _, endpoint := range endpoints {
		for _, other := range p.Choose(endpoint, endpoints) {
			if !dead[endpoint.Address] && !dead[other] {
				links[endpoint.Address] = append(links[endpoint.Address], other)
				links[other] = append(links[other], endpoint.Address)
			}
		}
	}
	first := ""
	for _, endpoint := range endpoints {
		if !dead[endpoint.Address] {
			first = endpoint.Address
			break
		}
	}
	distance := map[string]int{first: 0}
	for queue := []string{first}; len(queue) > 0; queue = queue[1:] {
		at := queue[0]
		for _, next := range links[at] {
			if _, seen := distance[next]; !seen {
				distance[next] = distance[at] + 1
				most = max(most, distance[next])
				queue = append(queue, next)
			}
		}
	}
	return most, len(distance)
}

func TestBoundedLinksReachAllInFewHops(t *testing.T) {
	t.Parallel()
	// A hop takes at most one heartbeat interval; two seconds of the bound are
	// reserved for the log.
	limit := int((configBound - 2e9) / DefaultHeartbeatInterval)
	for _, n := range []int{2, 9, 50, 400, 1200} {
		endpoints := manyEndpoints(n, 8)
		most, reached := maxHops(Bounded{}, endpoints, nil)
		assert.Equal(t, reached, n)
		assert.Assert(t, most <= limit, "%d daemons: %d hops", n, most)
		t.Logf("%d daemons: %d hops", n, most)
	}
}

func TestBoundedLinksSurviveZoneOutageAndScatteredFailures(t *testing.T) {
	t.Parallel()
	endpoints := manyEndpoints(1200, 8)
	r := rand.New(rand.NewPCG(1, 2))
	for range 2 {
		dead := map[string]bool{}
		for _, p := range endpoints {
			dead[p.Address] = p.Zone == "zone-3" || r.IntN(20) == 0
		}
		alive := 0
		for _, p := range endpoints {
			if !dead[p.Address] {
				alive++
			}
		}
		most, reached := maxHops(Bounded{}, endpoints, dead)
		assert.Equal(t, reached, alive)
		t.Logf("%d of 1200 alive: %d hops", alive, most)
	}
}

func TestPoliciesNeverChooseSelf(t *testing.T) {
	endpoints := manyEndpoints(20, 3)
	for _, p := range []LinkPolicy{FullMesh{}, Bounded{}} {
		for _, chosen := range p.Choose(endpoints[0], endpoints) {
			assert.Assert(t, chosen != endpoints[0].Address)
		}
		assert.Equal(t, len(p.Choose(endpoints[0], nil)), 0)
	}
}
