package placement

import (
	"testing"

	"gotest.tools/v3/assert"

	"carawayproxy.example/caraway/internal/directory"
	"carawayproxy.example/caraway/internal/fleet"
)

func listing(id fleet.InstanceID, incarnation uint64, p *directory.Place) directory.Listing {
	return directory.Listing{Server: directory.Server{Instance: id, Incarnation: incarnation, Place: p}}
}

func placeOf(rank fleet.Rank, state directory.PlaceState) *directory.Place {
	return &directory.Place{Group: "duo.1.1", Epoch: 7, Rank: rank, State: state}
}

// An engine is placed anew only once the head of the membership that it comes
// from surely serves no more.
func TestMembershipIsOver(t *testing.T) {
	key := placeKey{"duo.1.1", 7}
	for _, test := range []struct {
		name   string
		happen func(p *placeHistory, servers map[fleet.InstanceID]directory.Listing)
		over   bool
	}{
		{"head open", func(*placeHistory, map[fleet.InstanceID]directory.Listing) {}, false},
		{"head ready: an order to open may be on its way", func(_ *placeHistory, s map[fleet.InstanceID]directory.Listing) {
			s["head"] = listing("head", 1, placeOf(0, directory.PlaceReady))
		}, false},
		{"head broken", func(_ *placeHistory, s map[fleet.InstanceID]directory.Listing) {
			s["head"] = listing("head", 1, placeOf(0, directory.PlaceBroken))
		}, true},
		{"head elsewhere", func(_ *placeHistory, s map[fleet.InstanceID]directory.Listing) {
			s["head"] = listing("head", 1, nil)
		}, true},
		{"head started anew", func(_ *placeHistory, s map[fleet.InstanceID]directory.Listing) {
			s["head"] = listing("head", 2, nil)
		}, true},
		{"head does not answer", func(_ *placeHistory, s map[fleet.InstanceID]directory.Listing) {
			l := listing("head", 1, nil)
			l.Failed = true
			s["head"] = l
		}, false},
		{"head not listed", func(_ *placeHistory, s map[fleet.InstanceID]directory.Listing) { delete(s, "head") }, false},
		{"head left by its own answer", func(p *placeHistory, _ map[fleet.InstanceID]directory.Listing) {
			p.recordLeave("head", key)
		}, true},
		{"member left, head stands still", func(p *placeHistory, s map[fleet.InstanceID]directory.Listing) {
			p.recordLeave("other", key)
			s["other"] = listing("other", 1, nil)
		}, false},
		{"member started anew, head stands still", func(_ *placeHistory, s map[fleet.InstanceID]directory.Listing) {
			s["other"] = listing("other", 2, nil)
		}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := newPlaceHistory()
			servers := map[fleet.InstanceID]directory.Listing{
				"head":  listing("head", 1, placeOf(0, directory.PlaceOpen)),
				"other": listing("other", 1, placeOf(1, directory.PlaceReady)),
			}
			p.observe(servers)
			test.happen(p, servers)
			p.observe(servers)
			assert.Equal(t, p.hasEnded(key), test.over)
		})
	}
}

func TestLastModelIsOfThisStart(t *testing.T) {
	p := newPlaceHistory()
	servers := map[fleet.InstanceID]directory.Listing{"e": listing("e", 1, placeOf(1, directory.PlaceJoining))}
	p.observe(servers)
	assert.Equal(t, p.lastModel(servers["e"].Server), "", "the model is not loaded yet")
	servers["e"] = listing("e", 1, placeOf(1, directory.PlaceReady))
	p.observe(servers)
	servers["e"] = listing("e", 1, nil)
	p.observe(servers)
	assert.Equal(t, p.lastModel(servers["e"].Server), "duo")
	assert.Equal(t, p.lastModel(listing("e", 2, nil).Server), "", "a start empties the engine")
}
