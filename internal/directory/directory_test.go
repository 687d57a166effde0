package directory

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/group"
)

var start = time.Now()

func at(d time.Duration) time.Time { return start.Add(d) }

func newDirectory() *Directory {
	return New(Config{
		ReturnGrace: 2 * time.Second,
		SizeOf:      func(model string) int { return map[string]int{"duo": 2}[model] },
		ServiceOf:   func(service, model string) fleet.ServiceName { return fleet.ServiceName(service + "/" + model) },
		Generates:   func(service string) bool { return service == "engines" },
	})
}

func server(id fleet.InstanceID, p *Place) Server {
	return Server{Instance: id, Service: "engines", Address: "10.0.0.1:1", Zone: "a", Fabric: "d0", Slots: 8, Incarnation: 1, Place: p}
}

func place(rank fleet.Rank, state PlaceState) *Place {
	return &Place{Group: "duo.1.1", Epoch: 7, Rank: rank, State: state}
}

func TestGroupIsWholeOnceItsHeadIsOpen(t *testing.T) {
	d := newDirectory()
	whole := func() bool {
		g := d.Groups().Groups["duo.1.1"]
		return g != nil && group.Whole(g, d, time.Now(), time.Second).Whole
	}
	d.Announce(server("h", place(0, PlaceReady)), at(0))
	d.Announce(server("m", place(1, PlaceReady)), at(0))
	assert.Assert(t, !whole(), "the head is not open")
	d.Announce(server("h", place(0, PlaceOpen)), at(0))
	assert.Assert(t, whole())
	assert.Equal(t, d.Groups().Groups["duo.1.1"].Service, fleet.ServiceName("engines/duo"))

	d.Fail("m", at(1))
	assert.Assert(t, !whole(), "a member does not answer")
	d.Announce(server("m", place(1, PlaceReady)), at(2))
	assert.Assert(t, whole(), "it has announced itself again")
	d.Withdraw("m", at(3))
	assert.Assert(t, !whole(), "a member is gone")
	assert.Equal(t, len(d.Groups().Groups["duo.1.1"].Members), 2, "a rank that nobody tells of stays open")
}

func TestLaterEpochCounts(t *testing.T) {
	d := newDirectory()
	d.Announce(server("h", place(0, PlaceOpen)), at(0))
	next := &Place{Group: "duo.1.1", Epoch: 8, Rank: 1, State: PlaceReady}
	d.Announce(server("m", next), at(0))
	g := d.Groups().Groups["duo.1.1"]
	assert.Equal(t, g.Epoch, fleet.Epoch(8))
	assert.Equal(t, g.Members[0].Instance, fleet.InstanceID(""))
	assert.Equal(t, g.Members[1].Instance, fleet.InstanceID("m"))
}

// Memberships that placement did not name are no groups.
func TestForeignNames(t *testing.T) {
	d := newDirectory()
	for _, name := range []fleet.GroupID{"g7", "warm/duo.1.1", "unknown.1.1", "duo.01.1"} {
		d.Announce(server("h", &Place{Group: name, Epoch: 1, State: PlaceOpen}), at(0))
		assert.Equal(t, len(d.Groups().Groups), 0, "%s", name)
	}
}

// The list lags behind what an engine itself tells, and an engine's answers are
// as of a moment that has passed.
func TestNewerNewsCounts(t *testing.T) {
	later := func(epoch fleet.Epoch, state PlaceState) *Place {
		return &Place{Group: "duo.1.1", Epoch: epoch, State: state}
	}
	for _, test := range []struct {
		name     string
		answered *Place // as of the first second
		listed   *Place
		after    time.Duration // from then until the list was read
		want     *Place
	}{
		{"an older state, at once", place(0, PlaceReady), place(0, PlaceJoining), 100 * time.Millisecond, place(0, PlaceReady)},
		{"an older state, later", place(0, PlaceOpen), place(0, PlaceReady), time.Second, place(0, PlaceReady)},
		{"a later state, at once", place(0, PlaceReady), place(0, PlaceOpen), 0, place(0, PlaceOpen)},
		{"a broken head, at once", place(0, PlaceReady), place(0, PlaceBroken), 0, place(0, PlaceBroken)},
		{"an earlier epoch", place(0, PlaceJoining), later(6, PlaceOpen), 100 * time.Millisecond, place(0, PlaceJoining)},
		{"a later epoch", place(0, PlaceOpen), later(8, PlaceJoining), 0, later(8, PlaceJoining)},
		{"left, at once", nil, place(0, PlaceOpen), 100 * time.Millisecond, nil},
		{"left, and joined again", nil, later(8, PlaceJoining), 100 * time.Millisecond, later(8, PlaceJoining)},
		{"none before it joined", place(0, PlaceJoining), nil, 100 * time.Millisecond, place(0, PlaceJoining)},
		{"none after it was open", place(0, PlaceOpen), nil, 100 * time.Millisecond, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := newDirectory()
			d.Announce(server("h", place(0, PlaceJoining)), at(0))
			d.Answered(server("h", test.answered), at(time.Second))
			d.Announce(server("h", test.listed), at(time.Second+test.after))
			assert.DeepEqual(t, d.Servers()["h"].Place, test.want)
		})
	}
	t.Run("a new start", func(t *testing.T) {
		d := newDirectory()
		d.Answered(server("h", place(0, PlaceReady)), at(time.Second))
		started := server("h", nil)
		started.Incarnation = 2
		d.Announce(started, at(time.Second))
		assert.Assert(t, d.Servers()["h"].Place == nil)
	})
	t.Run("an answer as of before the list's word", func(t *testing.T) {
		d := newDirectory()
		d.Announce(server("h", place(0, PlaceOpen)), at(time.Second))
		d.Answered(server("h", place(0, PlaceReady)), at(900*time.Millisecond))
		assert.DeepEqual(t, d.Servers()["h"].Place, place(0, PlaceOpen))
		d.Answered(server("h", place(0, PlaceClosing)), at(1100*time.Millisecond))
		assert.DeepEqual(t, d.Servers()["h"].Place, place(0, PlaceClosing))
		d.Answered(server("h", place(0, PlaceOpen)), at(1050*time.Millisecond))
		assert.DeepEqual(t, d.Servers()["h"].Place, place(0, PlaceClosing)) // answers may overtake each other
	})
}

func TestServersThatLapseWhileTheListIsAway(t *testing.T) {
	for _, test := range []struct {
		name      string
		away      time.Duration // zero for not away
		withdrawn time.Duration // after the list was back
		look      time.Duration
		there     bool
	}{
		{"list there", 0, 0, 0, false},
		{"away for a moment", 300 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond, false},
		{"back just now", 4 * time.Second, 100 * time.Millisecond, 1900 * time.Millisecond, true},
		{"still missing", 4 * time.Second, 100 * time.Millisecond, 2100 * time.Millisecond, false},
		{"withdrawn later", 4 * time.Second, 2100 * time.Millisecond, 2200 * time.Millisecond, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := newDirectory()
			d.Announce(server("m", nil), at(0))
			if test.away > 0 {
				d.ListAway(at(time.Second))
				assert.Equal(t, d.ListRead(at(time.Second+test.away)), test.away)
			}
			back := time.Second + test.away
			d.Withdraw("m", at(back+test.withdrawn))
			d.ListRead(at(back + test.look))
			_, there := d.Servers()["m"]
			assert.Equal(t, there, test.there)
		})
	}
}

func TestRetainDropsWhatIsNotListed(t *testing.T) {
	d := newDirectory()
	d.Announce(server("a", nil), at(0))
	d.Announce(server("b", nil), at(0))
	d.Retain(map[fleet.InstanceID]bool{"a": true}, at(1))
	assert.Equal(t, d.Len(), 1)
	assert.Assert(t, d.Leaving("b"), "a server that is not listed gets nothing new")
	assert.Assert(t, !d.Leaving("a"))
}

// Only what changes the views is news: answers come again and again.
func TestAnswersThatAreNews(t *testing.T) {
	d := newDirectory()
	d.Announce(server("h", place(0, PlaceReady)), at(0))
	answer := Server{Instance: "h", Incarnation: 1, Place: place(0, PlaceReady)} // without what only the list tells
	assert.Assert(t, !d.Answered(answer, at(1)))
	answer.Place = place(0, PlaceOpen)
	assert.Assert(t, d.Answered(answer, at(2)))
	assert.Assert(t, !d.Answered(answer, at(3)))
	d.Fail("h", at(4))
	assert.Assert(t, d.Answered(answer, at(5)), "it answers again")
	answer.Place = nil
	assert.Assert(t, !d.Answered(answer, at(4)), "an older answer")
	assert.Assert(t, !d.Answered(Server{Instance: "unknown"}, at(7)))
}
