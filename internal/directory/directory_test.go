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
	return Server{Instance: id, Service: "engines", Address: "10.0.0.1:1", Zone: "a", Fabric: "d0", Slots: 8, Incarnation: 1, Sequence: 1, Place: p}
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

// The list lags behind what an engine itself answers.
func TestNewerNewsCounts(t *testing.T) {
	for _, test := range []struct {
		name   string
		listed Server
		after  time.Duration
		state  PlaceState
	}{
		{"an older order", Server{Incarnation: 1, Sequence: 4, Place: place(0, PlaceJoining)}, 5 * time.Second, PlaceReady},
		{"the same order, at once", Server{Incarnation: 1, Sequence: 5, Place: place(0, PlaceJoining)}, time.Second, PlaceReady},
		{"the same order, later", Server{Incarnation: 1, Sequence: 5, Place: place(0, PlaceOpen)}, 2 * time.Second, PlaceOpen},
		{"a broken head, at once", Server{Incarnation: 1, Sequence: 5, Place: place(0, PlaceBroken)}, time.Second, PlaceBroken},
		{"a newer order", Server{Incarnation: 1, Sequence: 6, Place: place(0, PlaceOpen)}, 0, PlaceOpen},
		{"a new start", Server{Incarnation: 2, Sequence: 0, Place: nil}, 0, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := newDirectory()
			d.Announce(server("h", nil), at(0))
			answered := server("h", place(0, PlaceReady))
			answered.Sequence = 5
			d.Answered(answered, at(time.Second))
			listed := server("h", test.listed.Place)
			listed.Incarnation, listed.Sequence = test.listed.Incarnation, test.listed.Sequence
			d.Announce(listed, at(time.Second+test.after))
			var state PlaceState
			if p := d.Servers()["h"].Place; p != nil {
				state = p.State
			}
			assert.Equal(t, state, test.state)
		})
	}
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
	answer := Server{Instance: "h", Incarnation: 1, Sequence: 1, Place: place(0, PlaceReady)} // without what only the list tells
	assert.Assert(t, !d.Answered(answer, at(1)))
	answer.Place, answer.Sequence = place(0, PlaceOpen), 2
	assert.Assert(t, d.Answered(answer, at(2)))
	assert.Assert(t, !d.Answered(answer, at(3)))
	d.Fail("h", at(4))
	assert.Assert(t, d.Answered(answer, at(5)), "it answers again")
	answer.Place, answer.Sequence = nil, 1
	assert.Assert(t, !d.Answered(answer, at(6)), "an older answer")
	assert.Assert(t, !d.Answered(Server{Instance: "unknown"}, at(7)))
}
