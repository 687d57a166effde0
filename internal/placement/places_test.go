package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carawayproxy.example/caraway/internal/directory"
	"carawayproxy.example/caraway/internal/fleet"
)

// listing returns the listing of an engine that has just confirmed its place.
func listing(id fleet.InstanceID, incarnation uint64, p *directory.Place) directory.Listing {
	return directory.Listing{Server: directory.Server{Instance: id, Incarnation: incarnation, Place: p}, AnsweredAsOf: time.Now()}
}

func placeOf(rank fleet.Rank, state directory.PlaceState) *directory.Place {
	return &directory.Place{Group: "duo.1.1", Epoch: 7, Rank: rank, State: state}
}

// TestMembershipHasEnded lists when the group leader of an engine's previous
// membership can no longer serve. Only then is the engine assigned a new place.
func TestMembershipHasEnded(t *testing.T) {
	key := placeKey{"duo.1.1", 7}
	for _, test := range []struct {
		name   string
		change func(p *placeHistory, servers map[fleet.InstanceID]directory.Listing)
		ended  bool
	}{
		{"leader open", func(*placeHistory, map[fleet.InstanceID]directory.Listing) {}, false},
		{"leader ready: an open order may be in flight", func(_ *placeHistory, s map[fleet.InstanceID]directory.Listing) {
			s["leader"] = listing("leader", 1, placeOf(0, directory.PlaceReady))
		}, false},
		{"leader broken", func(_ *placeHistory, s map[fleet.InstanceID]directory.Listing) {
			s["leader"] = listing("leader", 1, placeOf(0, directory.PlaceBroken))
		}, true},
		{"leader left", func(_ *placeHistory, s map[fleet.InstanceID]directory.Listing) {
			s["leader"] = listing("leader", 1, nil)
		}, true},
		{"the list shows that the leader left, the leader has not confirmed it", func(_ *placeHistory, s map[fleet.InstanceID]directory.Listing) {
			l := listing("leader", 1, nil)
			l.AnsweredAsOf = time.Time{}
			s["leader"] = l
		}, false},
		{"leader restarted", func(_ *placeHistory, s map[fleet.InstanceID]directory.Listing) {
			s["leader"] = listing("leader", 2, nil)
		}, true},
		{"leader does not answer", func(_ *placeHistory, s map[fleet.InstanceID]directory.Listing) {
			l := listing("leader", 1, nil)
			l.Failed = true
			s["leader"] = l
		}, false},
		{"leader not listed", func(_ *placeHistory, s map[fleet.InstanceID]directory.Listing) { delete(s, "leader") }, false},
		{"leader confirmed leaving", func(p *placeHistory, _ map[fleet.InstanceID]directory.Listing) {
			p.recordLeave("leader", key)
		}, true},
		{"member left, leader stalled", func(p *placeHistory, s map[fleet.InstanceID]directory.Listing) {
			p.recordLeave("other", key)
			s["other"] = listing("other", 1, nil)
		}, false},
		{"member restarted, leader stalled", func(_ *placeHistory, s map[fleet.InstanceID]directory.Listing) {
			s["other"] = listing("other", 2, nil)
		}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := newPlaceHistory()
			servers := map[fleet.InstanceID]directory.Listing{
				"leader": listing("leader", 1, placeOf(0, directory.PlaceOpen)),
				"other":  listing("other", 1, placeOf(1, directory.PlaceReady)),
			}
			term := &termState{since: time.Now()}
			p.observe(servers, term.isConfirmed)
			test.change(p, servers)
			p.observe(servers, term.isConfirmed)
			assert.Equal(t, p.hasEnded(key), test.ended)
		})
	}
}

// An entry of another writer that claimed the rank of a group's leader was taken for
// the leader. As it said that it is broken, or named another start, the members of
// the group could be ordered into another one while their leader served.
func TestMembershipOfAnotherLeaderEnded(t *testing.T) {
	foreign := func(incarnation uint64, p *directory.Place) directory.Listing {
		l := listing("foreign", incarnation, p)
		l.AnsweredAsOf = time.Time{}
		return l
	}
	for name, entries := range map[string][]directory.Listing{
		"broken from the start": {foreign(1, placeOf(0, directory.PlaceBroken))},
		"broken later":          {foreign(1, placeOf(0, directory.PlaceOpen)), foreign(1, placeOf(0, directory.PlaceBroken))},
		"restarted":             {foreign(1, placeOf(0, directory.PlaceOpen)), foreign(2, nil)},
		"left":                  {foreign(1, placeOf(0, directory.PlaceOpen)), foreign(1, nil)},
	} {
		t.Run(name, func(t *testing.T) {
			key := placeKey{"duo.1.1", 7}
			term := &termState{since: time.Now()}
			p := newPlaceHistory()
			servers := map[fleet.InstanceID]directory.Listing{}
			for _, e := range entries { // read before the engines of the group
				servers["foreign"] = e
				p.observe(servers, term.isConfirmed)
			}
			assert.Assert(t, !p.hasEnded(key))
			servers["leader"] = listing("leader", 1, placeOf(0, directory.PlaceOpen))
			servers["other"] = listing("other", 1, placeOf(1, directory.PlaceReady))
			for _, e := range entries {
				servers["foreign"] = e
				p.observe(servers, term.isConfirmed)
			}
			assert.Assert(t, !p.hasEnded(key))
			assert.Equal(t, p.membership(key).groupLeader, fleet.InstanceID("leader"))
			servers["leader"] = listing("leader", 1, placeOf(0, directory.PlaceBroken))
			p.observe(servers, term.isConfirmed)
			assert.Assert(t, p.hasEnded(key), "the leader itself is broken")
		})
	}
}

// Engines that join a group of the model that they have loaded counted as loading,
// so that repairs kept new engines from loading a model at all.
func TestRejoiningEnginesCountedAsLoading(t *testing.T) {
	joining := func(loaded string, staged ...string) directory.Listing {
		l := listing("e", 1, placeOf(1, directory.PlaceJoining))
		l.LoadedModel, l.Staged = loaded, staged
		return l
	}
	term := &termState{staging: map[fleet.InstanceID]stageLoad{"staging": {model: "trio"}}}
	assert.Equal(t, term.countLoading(map[fleet.InstanceID]directory.Listing{
		"rejoins":       joining("duo", "trio"),
		"from its host": joining("trio", "duo"),
		"ready":         listing("ready", 1, placeOf(1, directory.PlaceReady)),
		"loads":         joining("trio", "trio"),
		"new":           joining(""),
		"staging":       joining(""),
	}), 3, "two that load into their place, and one onto its host")
}
