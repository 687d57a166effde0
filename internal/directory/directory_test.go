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
		ReturnGrace:  2 * time.Second,
		LeavingBound: 2 * time.Second,
		SizeOf: func(service, model string) int {
			if service != "engines" {
				return 0
			}
			return map[string]int{"duo": 2}[model]
		},
		ServiceOf: func(service, model string) fleet.ServiceName { return fleet.ServiceName(service + "/" + model) },
		ModelOf: func(id fleet.GroupID) string {
			model, _, _ := group.ParseID(id)
			return string(model)
		},
		Generates: func(service string) bool { return service == "engines" },
	})
}

func server(id fleet.InstanceID, p *Place) Server {
	return Server{Instance: id, Service: "engines", Address: "10.0.0.1:1", Zone: "a", Fabric: "d0", Slots: 8, Incarnation: 1, Place: p}
}

func place(rank fleet.Rank, state PlaceState) *Place {
	return &Place{Group: "duo.1.1", Epoch: 7, Rank: rank, State: state}
}

func TestGroupIsWholeOnceItsLeaderIsOpen(t *testing.T) {
	d := newDirectory()
	whole := func() bool {
		g := d.Groups().Groups["duo.1.1"]
		return g != nil && group.Whole(g, d, time.Now(), time.Second).Whole
	}
	d.Announce(server("h", place(0, PlaceReady)), at(0))
	d.Announce(server("m", place(1, PlaceReady)), at(0))
	assert.Assert(t, !whole(), "the leader is not open")
	d.Announce(server("h", place(0, PlaceOpen)), at(0))
	assert.Assert(t, whole())
	assert.Equal(t, d.Groups().Groups["duo.1.1"].Service, fleet.ServiceName("engines/duo"))

	d.Fail("m", at(1))
	assert.Assert(t, !whole(), "a member does not respond")
	d.Announce(server("m", place(1, PlaceReady)), at(2))
	assert.Assert(t, whole(), "it has announced itself again")
	d.Withdraw("m", time.Time{}, at(3))
	assert.Assert(t, !whole(), "a member is gone")
	assert.Equal(t, len(d.Groups().Groups["duo.1.1"].Members), 2, "a rank that no server reports stays vacant")
}

// Groups of a model that becomes known only after the list was read must appear
// without another change of the list.
func TestGroupsStayedUnknownAfterTheModelBecameKnown(t *testing.T) {
	d, size := newDirectory(), 0
	d.cfg.SizeOf = func(string, string) int { return size }
	d.Announce(server("h", place(0, PlaceOpen)), at(0))
	d.Announce(server("m", place(1, PlaceReady)), at(0))
	assert.Equal(t, len(d.Groups().Groups), 0)
	size = 2
	d.InvalidateGroups()
	assert.Equal(t, len(d.Groups().Groups), 1)
}

func TestLaterEpochWins(t *testing.T) {
	d := newDirectory()
	d.Announce(server("h", place(0, PlaceOpen)), at(0))
	next := &Place{Group: "duo.1.1", Epoch: 8, Rank: 1, State: PlaceReady}
	d.Announce(server("m", next), at(0))
	g := d.Groups().Groups["duo.1.1"]
	assert.Equal(t, g.Epoch, fleet.Epoch(8))
	assert.Equal(t, g.Members[0].Instance, fleet.InstanceID(""))
	assert.Equal(t, g.Members[1].Instance, fleet.InstanceID("m"))
}

// One entry of another writer took a whole group over: by a higher epoch, by a
// service that does not run the model, or by a rank that another engine holds.
func TestOneEntryTookAGroupOver(t *testing.T) {
	entry := func(service string, epoch fleet.Epoch, rank fleet.Rank, state PlaceState) Server {
		s := server("x", &Place{Group: "duo.1.1", Epoch: epoch, Rank: rank, State: state})
		s.Service = service
		return s
	}
	const late = 1 << 52
	for name, foreign := range map[string]Server{
		"other service, later epoch":                   entry("plains", late, 0, PlaceOpen),
		"other service, later epoch, rank beyond size": entry("plains", late, 4000, PlaceOpen),
		"other service, same epoch, leader":            entry("plains", 7, 0, PlaceOpen),
		"other service, same epoch, member":            entry("plains", 7, 1, PlaceReady),
		"later epoch, leader":                          entry("engines", late, 0, PlaceOpen),
		"later epoch, member":                          entry("engines", late, 1, PlaceJoining),
		"later epoch, rank beyond size":                entry("engines", late, 4000, PlaceOpen),
		"next epoch, member":                           entry("engines", 8, 1, PlaceReady),
		"same epoch, leader":                           entry("engines", 7, 0, PlaceOpen),
		"same epoch, closing leader":                   entry("engines", 7, 0, PlaceClosing),
		"same epoch, member":                           entry("engines", 7, 1, PlaceReady),
		"earlier epoch":                                entry("engines", 6, 0, PlaceOpen),
	} {
		for order, sequence := range map[string][]Server{
			"first": {foreign, server("h", place(0, PlaceOpen)), server("m", place(1, PlaceReady))},
			"last":  {server("h", place(0, PlaceOpen)), server("m", place(1, PlaceReady)), foreign},
		} {
			t.Run(name+", "+order, func(t *testing.T) {
				d := newDirectory()
				for _, s := range sequence {
					d.Announce(s, at(0))
					d.Groups()
				}
				d.RecordAnswer(server("h", place(0, PlaceOpen)), at(time.Second))
				d.RecordAnswer(server("m", place(1, PlaceReady)), at(time.Second))
				g := d.Groups().Groups["duo.1.1"]
				assert.Assert(t, g != nil)
				assert.Equal(t, g.Epoch, fleet.Epoch(7))
				assert.Equal(t, g.Members[0].Instance, fleet.InstanceID("h"))
				assert.Equal(t, g.Members[1].Instance, fleet.InstanceID("m"))
				assert.Equal(t, g.Phase, group.PhaseActive)
				assert.Assert(t, group.Whole(g, d, time.Now(), time.Second).Whole)
				assert.Equal(t, d.Groups().ByInstance["x"], fleet.GroupID(""))
			})
		}
	}
}

// An entry that claims a rank of a group that is known already must not replace its
// engine, also if no engine has answered this daemon.
func TestEntryReplacedTheKnownMemberOfARank(t *testing.T) {
	for _, id := range []fleet.InstanceID{"a", "x"} {
		d := newDirectory()
		d.Announce(server("h", place(0, PlaceOpen)), at(0))
		d.Announce(server("m", place(1, PlaceReady)), at(0))
		d.Groups()
		d.Announce(server(id, place(0, PlaceOpen)), at(1))
		assert.Equal(t, d.Groups().Groups["duo.1.1"].Members[0].Instance, fleet.InstanceID("h"), "%s", id)
	}
}

// The next epoch of a group shows as it forms: its first member may join while the
// others are still in the previous epoch, and the leader leaves that one first.
func TestNextEpochShowsAsItForms(t *testing.T) {
	next := func(rank fleet.Rank, state PlaceState) *Place {
		return &Place{Group: "duo.1.1", Epoch: 8, Rank: rank, State: state}
	}
	d := newDirectory()
	epoch := func() fleet.Epoch { return d.Groups().Groups["duo.1.1"].Epoch }
	d.Announce(server("h", place(0, PlaceOpen)), at(0))
	d.Announce(server("m", place(1, PlaceReady)), at(0))
	d.Announce(server("n", next(1, PlaceJoining)), at(1))
	assert.Equal(t, epoch(), fleet.Epoch(7), "the group serves until its leader leaves")
	assert.Assert(t, group.Whole(d.Groups().Groups["duo.1.1"], d, time.Now(), time.Second).Whole)
	d.Announce(server("h", nil), at(2))
	assert.Equal(t, epoch(), fleet.Epoch(8), "the leader has left")
	d.Announce(server("h", next(0, PlaceOpen)), at(3))
	d.Announce(server("n", next(1, PlaceReady)), at(3))
	assert.Assert(t, group.Whole(d.Groups().Groups["duo.1.1"], d, time.Now(), time.Second).Whole)

	for name, lose := range map[string]func(d *Directory){
		"a member fails":       func(d *Directory) { d.Fail("m", at(1)) },
		"a member is unlisted": func(d *Directory) { d.Withdraw("m", time.Time{}, at(1)) },
		"the leader breaks":    func(d *Directory) { d.Announce(server("h", place(0, PlaceBroken)), at(1)) },
		"the leader restarts": func(d *Directory) {
			restarted := server("h", nil)
			restarted.Incarnation++
			d.Announce(restarted, at(1))
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDirectory()
			d.Announce(server("h", place(0, PlaceOpen)), at(0))
			d.Announce(server("m", place(1, PlaceReady)), at(0))
			d.Announce(server("n", next(1, PlaceJoining)), at(0))
			lose(d)
			assert.Equal(t, d.Groups().Groups["duo.1.1"].Epoch, fleet.Epoch(8))
		})
	}
	t.Run("both epochs complete", func(t *testing.T) {
		d := newDirectory()
		d.Announce(server("h", place(0, PlaceOpen)), at(0))
		d.Announce(server("m", place(1, PlaceReady)), at(0))
		d.Announce(server("n", next(1, PlaceJoining)), at(0))
		d.Announce(server("o", next(0, PlaceJoining)), at(0))
		assert.Equal(t, d.Groups().Groups["duo.1.1"].Epoch, fleet.Epoch(8))
	})
}

// Group names that placement does not generate are ignored.
func TestUnknownGroupNamesAreIgnored(t *testing.T) {
	d := newDirectory()
	for _, name := range []fleet.GroupID{"g7", "warm/duo.1.1", "unknown.1.1", "duo.01.1"} {
		d.Announce(server("h", &Place{Group: name, Epoch: 1, State: PlaceOpen}), at(0))
		assert.Equal(t, len(d.Groups().Groups), 0, "%s", name)
	}
}

// The list lags behind an engine's own answers, and answers are valid as of a
// time in the past.
func TestNewerPlaceWins(t *testing.T) {
	later := func(epoch fleet.Epoch, state PlaceState) *Place {
		return &Place{Group: "duo.1.1", Epoch: epoch, State: state}
	}
	for _, test := range []struct {
		name     string
		answered *Place // as of one second
		listed   *Place
		after    time.Duration // from then until the list was read
		want     *Place
	}{
		{"an older state, at once", place(0, PlaceReady), place(0, PlaceJoining), 100 * time.Millisecond, place(0, PlaceReady)},
		{"an older state, later", place(0, PlaceOpen), place(0, PlaceReady), time.Second, place(0, PlaceReady)},
		{"a later state, at once", place(0, PlaceReady), place(0, PlaceOpen), 0, place(0, PlaceOpen)},
		{"a broken leader, at once", place(0, PlaceReady), place(0, PlaceBroken), 0, place(0, PlaceBroken)},
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
			d.RecordAnswer(server("h", test.answered), at(time.Second))
			d.Announce(server("h", test.listed), at(time.Second+test.after))
			assert.DeepEqual(t, d.Servers()["h"].Place, test.want)
		})
	}
	t.Run("a new start", func(t *testing.T) {
		d := newDirectory()
		d.RecordAnswer(server("h", place(0, PlaceReady)), at(time.Second))
		started := server("h", nil)
		started.Incarnation = 2
		d.Announce(started, at(time.Second))
		assert.Assert(t, d.Servers()["h"].Place == nil)
	})
	t.Run("an answer older than the announcement", func(t *testing.T) {
		d := newDirectory()
		d.Announce(server("h", place(0, PlaceOpen)), at(time.Second))
		d.RecordAnswer(server("h", place(0, PlaceReady)), at(900*time.Millisecond))
		assert.DeepEqual(t, d.Servers()["h"].Place, place(0, PlaceOpen))
		d.RecordAnswer(server("h", place(0, PlaceClosing)), at(1100*time.Millisecond))
		assert.DeepEqual(t, d.Servers()["h"].Place, place(0, PlaceClosing))
		d.RecordAnswer(server("h", place(0, PlaceOpen)), at(1050*time.Millisecond))
		assert.DeepEqual(t, d.Servers()["h"].Place, place(0, PlaceClosing)) // answers may arrive out of order
	})
}

func TestServersUnlistedAfterAnOutage(t *testing.T) {
	for _, test := range []struct {
		name      string
		outage    time.Duration // zero for none
		withdrawn time.Duration // after the outage
		readAt    time.Duration // after the outage
		listed    bool
	}{
		{"no outage", 0, 0, 0, false},
		{"short outage", 300 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond, false},
		{"within the grace period", 4 * time.Second, 100 * time.Millisecond, 1900 * time.Millisecond, true},
		{"grace period over", 4 * time.Second, 100 * time.Millisecond, 2100 * time.Millisecond, false},
		{"withdrawn after the grace period", 4 * time.Second, 2100 * time.Millisecond, 2200 * time.Millisecond, false},
		{"outage shorter than the bound", 1500 * time.Millisecond, 10 * time.Millisecond, 300 * time.Millisecond, true},
		{"outage shorter than the bound, over", 1500 * time.Millisecond, 10 * time.Millisecond, 500 * time.Millisecond, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := newDirectory()
			d.Announce(server("m", nil), at(0))
			if test.outage > 0 {
				d.ListUnavailable(at(time.Second))
				outage, _ := d.ListRead(at(time.Second + test.outage))
				assert.Equal(t, outage, test.outage)
			}
			recovered := time.Second + test.outage
			d.Withdraw("m", d.ReturnUntil(), at(recovered+test.withdrawn))
			d.ListRead(at(recovered + test.readAt))
			_, listed := d.Servers()["m"]
			assert.Equal(t, listed, test.listed)
		})
	}
}

// A server that has returned after an outage, and drops off the list again, has left. It
// was kept until the end of the grace period.
func TestServerThatReturnedAndLeftWasKept(t *testing.T) {
	d := newDirectory()
	d.Announce(server("m", nil), at(0))
	d.ListUnavailable(at(time.Second))
	d.ListRead(at(5 * time.Second))
	assert.Assert(t, d.Withdraw("m", d.ReturnUntil(), at(5*time.Second)), "it may return")
	d.Announce(server("m", nil), at(5500*time.Millisecond))
	assert.Assert(t, !d.Withdraw("m", d.ReturnUntil(), at(6*time.Second)))
	assert.Equal(t, d.Len(), 0)
}

func TestRetainDropsUnlistedServers(t *testing.T) {
	d := newDirectory()
	d.Announce(server("a", nil), at(0))
	d.Announce(server("b", nil), at(0))
	d.Retain(map[fleet.InstanceID]bool{"a": true}, time.Time{}, at(1))
	assert.Equal(t, d.Len(), 1)
	assert.Assert(t, d.Leaving("b"), "a server that is not listed counts as leaving")
	assert.Assert(t, !d.Leaving("a"))
}

// Answered reports a change only if the views change; answers are repeated.
func TestAnsweredReportsChanges(t *testing.T) {
	d := newDirectory()
	d.Announce(server("h", place(0, PlaceReady)), at(0))
	answer := Server{Instance: "h", Incarnation: 1, Place: place(0, PlaceReady)} // without the fields that only the list has
	assert.Assert(t, !d.RecordAnswer(answer, at(1)))
	answer.Place = place(0, PlaceOpen)
	assert.Assert(t, d.RecordAnswer(answer, at(2)))
	assert.Assert(t, !d.RecordAnswer(answer, at(3)))
	d.Fail("h", at(4))
	assert.Assert(t, d.RecordAnswer(answer, at(5)), "it answers again")
	answer.Place = nil
	assert.Assert(t, !d.RecordAnswer(answer, at(4)), "an older answer")
	assert.Assert(t, !d.RecordAnswer(Server{Instance: "unknown"}, at(7)))
}

// A daemon that took over the placement did not know what the spares had loaded,
// and made them load another model.
func TestLoadedModelOutlivesThePlace(t *testing.T) {
	d := newDirectory()
	loaded := func() string { return d.Servers()["e"].LoadedModel }
	d.Announce(server("e", place(1, PlaceJoining)), at(0))
	assert.Equal(t, loaded(), "", "the model is not loaded yet")
	d.Announce(server("e", place(1, PlaceReady)), at(time.Second))
	assert.Equal(t, loaded(), "duo")
	d.Announce(server("e", nil), at(2*time.Second))
	assert.Equal(t, loaded(), "duo", "it stays loaded outside a group")
	other := server("e", &Place{Group: "trio.1.2", Epoch: 9, Rank: 1, State: PlaceReady})
	d.AnnouncedBefore(other)
	assert.Equal(t, loaded(), "trio", "announcements may be read late")
	d.AnnouncedBefore(server("e", place(1, PlaceReady)))
	assert.Equal(t, loaded(), "trio", "the later epoch counts")
	restarted := server("e", nil)
	restarted.Incarnation++
	d.Announce(restarted, at(3*time.Second))
	assert.Equal(t, loaded(), "", "a restart clears it")
}

// Only a server's own answer, not the list, confirms its place.
func TestPlaceIsConfirmedByAnswersOnly(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(d *Directory)
		want   time.Time
	}{
		{"the list only", func(*Directory) {}, time.Time{}},
		{"an answer", func(d *Directory) { d.RecordAnswer(server("e", place(0, PlaceOpen)), at(time.Second)) }, at(time.Second)},
		{"an older answer after it", func(d *Directory) {
			d.RecordAnswer(server("e", nil), at(2*time.Second))
			d.RecordAnswer(server("e", nil), at(time.Second))
		}, at(2 * time.Second)},
		{"an answer older than the list that agrees", func(d *Directory) { d.RecordAnswer(server("e", nil), at(-time.Millisecond)) }, at(-time.Millisecond)},
		{"an answer older than the list that differs", func(d *Directory) {
			d.RecordAnswer(server("e", place(0, PlaceOpen)), at(-time.Millisecond))
		}, time.Time{}},
		{"a restart after the answer", func(d *Directory) {
			d.RecordAnswer(server("e", nil), at(time.Second))
			restarted := server("e", nil)
			restarted.Incarnation++
			d.Announce(restarted, at(2*time.Second))
		}, time.Time{}},
		{"the list after the answer", func(d *Directory) {
			d.RecordAnswer(server("e", nil), at(time.Second))
			d.Announce(server("e", nil), at(2*time.Second))
		}, at(time.Second)},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := newDirectory()
			d.Announce(server("e", nil), at(0))
			test.change(d)
			assert.Assert(t, d.Servers()["e"].AnsweredAsOf.Equal(test.want), "%s", d.Servers()["e"].AnsweredAsOf)
		})
	}
}

// An entry that was written before a server's answer showed it as ready, and the
// server got requests again.
func TestAnnouncedLeavingOutlivesTheList(t *testing.T) {
	restarted := server("e", nil)
	restarted.Incarnation = 2
	for _, test := range []struct {
		name   string
		change func(d *Directory)
		want   bool
	}{
		{"at once", func(*Directory) {}, true},
		{"a later entry of the same start", func(d *Directory) { d.Announce(server("e", nil), at(time.Second)) }, true},
		{"a report of the same start", func(d *Directory) { d.RecordAnswer(server("e", nil), at(time.Second)) }, true},
		{"its entry lapses and returns", func(d *Directory) {
			d.Withdraw("e", time.Time{}, at(time.Second))
			d.Announce(server("e", nil), at(2*time.Second))
		}, true},
		{"the answer comes while its entry is away", func(d *Directory) {
			d.leavers = map[fleet.InstanceID]leaver{}
			d.Withdraw("e", time.Time{}, at(time.Second))
			d.RecordLeaving("e", 1, at(2*time.Second))
			d.Announce(server("e", nil), at(3*time.Second))
		}, true},
		{"an entry of the next start", func(d *Directory) { d.Announce(restarted, at(time.Second)) }, false},
		{"a report of the next start", func(d *Directory) { d.RecordAnswer(restarted, at(time.Second)) }, false},
		{"a late answer of the last start", func(d *Directory) {
			d.Announce(restarted, at(time.Second))
			d.RecordLeaving("e", 1, at(2*time.Second))
		}, false},
		{"a peer knows the next start earlier", func(d *Directory) {
			d.RecordLeaving("e", 2, at(time.Second))
			d.Announce(restarted, at(2*time.Second))
		}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := newDirectory()
			d.Announce(server("e", nil), at(0))
			d.Announce(server("other", nil), at(0))
			s, updated := d.RecordLeaving("e", 1, at(0))
			assert.Assert(t, updated && s.Leaving)
			_, updated = d.RecordLeaving("e", 1, at(0))
			assert.Assert(t, !updated, "it was known")
			test.change(d)
			assert.Equal(t, d.Leaving("e"), test.want)
			assert.Equal(t, d.Servers()["e"].Leaving, test.want)
			assert.Equal(t, d.Instances()["e"].Leaving, test.want)
			assert.Equal(t, len(d.Leavers()) == 1, test.want)
			assert.Assert(t, !d.Leaving("other"))
		})
	}
}

func TestLeaversAreForgotten(t *testing.T) {
	d := newDirectory()
	d.Announce(server("listed", nil), at(0))
	d.RecordLeaving("listed", 1, at(0))
	d.RecordLeaving("gone", 1, at(0))
	d.RecordLeaving("later", 1, at(leaverRetention+time.Second))
	assert.Equal(t, len(d.leavers), 2)
	assert.Assert(t, d.Leaving("listed"))
}
