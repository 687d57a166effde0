package directory

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carawayproxy.example/caraway/internal/fleet"
)

// returnGrace is that of newDirectory.
const returnGrace = 2 * time.Second

// An entry of a list that was restored from an older copy replaced what was known of its
// server.
func TestRestoredEntryReplacedWhatWasKnown(t *testing.T) {
	grace, later := at(returnGrace), at(departedGrace+time.Second)
	known := server("e", &Place{Group: "duo.1.1", Epoch: 7, State: PlaceOpen})
	known.Incarnation = 5
	with := func(change func(s *Server)) Server {
		s := known
		change(&s)
		return s
	}
	leaving := func(s *Server) { s.Leaving = true }
	outside := func(s *Server) { s.Place = nil }
	restarted := func(s *Server) { s.Incarnation++ }
	for _, test := range []struct {
		name     string
		before   func(d *Directory) // after the server was announced
		entry    Server
		accepted bool
		after    func(d *Directory) // after the list was restored
		// want is the server as it is known at once, and wantGrace, wantLater as it is
		// when the graces have ended; nil if it is not listed.
		want, wantGrace, wantLater *Server
	}{
		{"the same", nil, known, true, nil, &known, &known, &known},
		{"an earlier place", nil, with(outside), false, nil, &known, ref(with(outside)), ref(with(outside))},
		{"an earlier place, and the server announces itself", nil, with(outside), false, func(d *Directory) { d.Announce(known, at(1)) }, &known, &known, &known},
		{"an earlier place, and its entry is removed", nil, with(outside), false, func(d *Directory) { d.Withdraw("e", time.Time{}, at(1)) }, nil, nil, nil},
		{"an earlier process", func(d *Directory) { d.Announce(with(restarted), at(0)) }, known, false, nil, ref(with(restarted)), nil, nil},
		{"a later process", nil, with(restarted), true, nil, ref(with(restarted)), ref(with(restarted)), ref(with(restarted))},
		{"it leaves", nil, with(leaving), false, nil, ref(with(leaving)), ref(with(leaving)), ref(with(leaving))},
		{"it had not begun to leave", func(d *Directory) { d.Announce(with(leaving), at(0)) }, known, false, nil, ref(with(leaving)), ref(with(leaving)), ref(with(leaving))},
		{"it had left", func(d *Directory) { d.Withdraw("e", time.Time{}, at(0)) }, known, false, nil, nil, nil, &known},
		{"it had left after it had said so", func(d *Directory) {
			d.Announce(with(leaving), at(0))
			d.Withdraw("e", time.Time{}, at(0))
		}, known, false, nil, nil, nil, ref(with(leaving))},
		{"it had left, and has started again", func(d *Directory) { d.Withdraw("e", time.Time{}, at(0)) }, with(restarted), true, nil, ref(with(restarted)), ref(with(restarted)), ref(with(restarted))},
		{"it had left, and started before that", func(d *Directory) {
			d.Announce(with(restarted), at(0))
			d.Withdraw("e", time.Time{}, at(0))
		}, known, false, nil, nil, nil, nil},
		{"it had left, and announces itself", func(d *Directory) { d.Withdraw("e", time.Time{}, at(0)) }, known, false, func(d *Directory) { d.Announce(known, at(1)) }, &known, &known, &known},
		{"it had left during an outage", func(d *Directory) { d.Withdraw("e", at(returnGrace), at(0)) }, known, false, nil, &known, nil, &known},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := newDirectory()
			d.Announce(known, at(0))
			if test.before != nil {
				test.before(d)
			}
			d.ListRestored(at(0))
			assert.Equal(t, d.AnnounceRestored(test.entry, at(0)), test.accepted)
			if test.after != nil {
				test.after(d)
			}
			check := func(want *Server) {
				t.Helper()
				got, listed := d.Server("e")
				assert.Equal(t, listed, want != nil)
				if want != nil {
					assert.DeepEqual(t, got, *want)
				}
			}
			check(test.want)
			d.ListRead(grace)
			check(test.wantGrace)
			d.ListRead(later)
			check(test.wantLater)
		})
	}
}

// A restored list lacked servers, which were removed at once, or by another restore
// before they had announced themselves again.
func TestServerMissingInARestoredListIsKept(t *testing.T) {
	d := newDirectory()
	d.Announce(server("e", nil), at(0))
	d.Announce(server("f", nil), at(0))
	for _, now := range []time.Time{at(0), at(returnGrace / 2)} {
		d.ListRestored(now)
		assert.Equal(t, len(d.RetainRestored(map[fleet.InstanceID]bool{"f": true}, now)), 1)
	}
	d.ListRead(at(returnGrace))
	assert.Equal(t, d.Len(), 2)
	assert.Assert(t, d.AnnounceRestored(server("e", nil), at(returnGrace)), "its entry was missing in the copies, it had not left")
	d.RetainRestored(nil, at(returnGrace))
	d.ListRead(at(3 * returnGrace))
	assert.Equal(t, d.Len(), 0, "they have not returned")
}

// The entry of a server that had left was withheld, and announced later although the list
// had been restored once more, without it.
func TestWithheldEntryOutlivedTheList(t *testing.T) {
	for name, retain := range map[string]func(d *Directory){
		"restored": func(d *Directory) { d.RetainRestored(nil, at(0)) },
		"read":     func(d *Directory) { d.Retain(nil, time.Time{}, at(0)) },
	} {
		t.Run(name, func(t *testing.T) {
			d := newDirectory()
			d.Announce(server("e", nil), at(0))
			d.Withdraw("e", time.Time{}, at(0))
			assert.Assert(t, !d.AnnounceRestored(server("e", nil), at(0)))
			retain(d)
			d.ListRead(at(departedGrace))
			assert.Equal(t, d.Len(), 0)
		})
	}
}

func ref(s Server) *Server { return &s }
