package suspect

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"carawayproxy.example/caraway/internal/fleet"
)

// detectors are the detectors of several daemons.
type detectors []*Detector

// runDetectors runs a test with the detectors of three daemons, in a fleet of
// three fabric domains of four groups and three single servers.
func runDetectors(t *testing.T, test func(t *testing.T, d detectors)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var all detectors
		for range 3 {
			d := NewDetector(DetectorConfig{Groups: func() map[fleet.FabricDomain]int {
				return map[fleet.FabricDomain]int{"f0": 4, "f1": 4, "f2": 4, "": 3}
			}})
			all = append(all, d)
			go d.Run(ctx)
		}
		test(t, all)
		cancel()
		synctest.Wait()
	})
}

// exchange passes each daemon's evidence to all others, twice, since evidence is
// also sent in answer to that of peers.
func (all detectors) exchange() {
	for range 2 {
		for _, from := range all {
			sightings, acquittals := from.Evidence()
			for _, to := range all {
				if to != from {
					to.Observe(sightings, acquittals)
				}
			}
		}
	}
}

// run lets a request run on a group at a daemon and survive.
func (all detectors) run(at int, group string, f Fingerprint) {
	all[at].Started(fleet.GroupID(group), 1, Subjects{Request: f})
	all[at].Ended(fleet.GroupID(group), 1, Subjects{Request: f}, true)
}

// crash lets a group die with the given requests in flight, each at the daemon
// of its index, and passes the evidence on.
func (all detectors) crash(group, fabric string, inFlight ...[]Fingerprint) {
	for at, requests := range inFlight {
		for _, f := range requests {
			all[at].Started(fleet.GroupID(group), 1, Subjects{Request: f})
		}
	}
	for at, requests := range inFlight {
		if len(requests) > 0 {
			all[at].GroupDied(fleet.GroupID(group), 1, fleet.FabricDomain(fabric), "svc")
		}
		for _, f := range requests {
			all[at].Ended(fleet.GroupID(group), 1, Subjects{Request: f}, false)
		}
	}
	all.exchange()
}

// assertStandings checks a request's standing at all daemons after the decision.
func (all detectors) assertStandings(t *testing.T, f Fingerprint, want Standing) {
	t.Helper()
	time.Sleep(2 * decisionDelay)
	for i, d := range all {
		r := d.Judge(Subjects{Request: f})
		assert.Check(t, r.Standing == want, "daemon %d: request %s is %d, want %d", i, f, r.Standing, want)
		assert.Check(t, (r.Remaining > 0) == (want == Convicted), "daemon %d: %s left", i, r.Remaining)
	}
}

type inFlight = []Fingerprint

func TestThreeCrashesAtThreeDaemonsConvict(t *testing.T) {
	runDetectors(t, func(t *testing.T, d detectors) {
		d.crash("plain/a", "", inFlight{7, 1}, inFlight{2})
		d.assertStandings(t, 7, Clear)
		d.crash("plain/b", "", inFlight{}, inFlight{7, 3})
		d.crash("plain/c", "", inFlight{4}, inFlight{}, inFlight{7})
		d.assertStandings(t, 7, Convicted)
		for f := range Fingerprint(5) {
			d.assertStandings(t, f, Clear)
		}
		time.Sleep(2 * time.Hour)
		d.assertStandings(t, 7, Clear)
	})
}

// A request without any other in flight explains a death better than one among
// others, so that two deaths suffice.
func TestTwoCrashesAloneConvict(t *testing.T) {
	runDetectors(t, func(t *testing.T, d detectors) {
		d.crash("plain/a", "", inFlight{7})
		d.crash("plain/b", "", inFlight{}, inFlight{7})
		d.assertStandings(t, 7, Convicted)
	})
}

// A request that is sent again takes the same way through the servers as the one
// that crashes them, and is in flight at several of its crashes.
func TestRetriedNeighbourOfACrashingRequestWasConvicted(t *testing.T) {
	runDetectors(t, func(t *testing.T, d detectors) {
		for _, server := range []string{"a", "b", "c"} {
			d.crash("plain/"+server, "", inFlight{7, 8})
		}
		d.assertStandings(t, 8, Clear)
		d.crash("plain/d", "", inFlight{7, 9})
		d.assertStandings(t, 7, Convicted)
		d.assertStandings(t, 8, Clear)
	})
}

// Two requests that are always in flight together are both rejected in the end.
func TestInseparableRequestsAreConvictedTogether(t *testing.T) {
	runDetectors(t, func(t *testing.T, d detectors) {
		for server := range conclusiveDeaths {
			d.assertStandings(t, 7, Clear)
			d.crash(fmt.Sprintf("plain/%d", server), "", inFlight{7, 8})
		}
		d.assertStandings(t, 7, Convicted)
		d.assertStandings(t, 8, Convicted)
	})
}

func TestTwoCrashingRequestsAtOnceAreConvicted(t *testing.T) {
	runDetectors(t, func(t *testing.T, d detectors) {
		for n := range 2 * conclusiveDeaths {
			bad := Fingerprint(7 + n%2)
			d.crash(fmt.Sprintf("g%d", n), fmt.Sprintf("f%d", n%3), inFlight{bad, Fingerprint(100 + n)}, inFlight{Fingerprint(200 + n)})
			time.Sleep(time.Second)
		}
		d.assertStandings(t, 7, Convicted)
		d.assertStandings(t, 8, Convicted)
		for n := range 2 * conclusiveDeaths {
			d.assertStandings(t, Fingerprint(100+n), Clear)
		}
	})
}

// A request that many callers send, and that runs at other daemons, must not be
// rejected by the one daemon that saw it only at deaths.
func TestSurvivalsAtPeersPreventConviction(t *testing.T) {
	for _, test := range []struct {
		name  string
		early bool // the survivals precede the first death
	}{{"since the first death", false}, {"before the first death", true}} {
		t.Run(test.name, func(t *testing.T) {
			runDetectors(t, func(t *testing.T, d detectors) {
				for n := range 3 {
					if test.early == (n == 0) {
						d.run(1, "plain/z", 7)
						d.run(2, "plain/z", 7)
					}
					d.crash(fmt.Sprintf("plain/%d", n), "", inFlight{7, Fingerprint(100 + n)})
				}
				d.assertStandings(t, 7, Clear)
			})
		})
	}
}

// A request that ran a few times before it crashes servers, as after a change of
// their software, is rejected after more deaths, for a short time at first.
func TestEarlySurvivalsDoNotHideANewCrash(t *testing.T) {
	runDetectors(t, func(t *testing.T, d detectors) {
		d.run(0, "plain/z", 7)
		d.run(1, "plain/z", 7)
		d.run(1, "plain/z", 7)
		crash := func(n int) { d.crash(fmt.Sprintf("plain/%d", n), "", inFlight{7, Fingerprint(100 + n)}) }
		for n := range maxWeighedDeaths {
			d.assertStandings(t, 7, Clear)
			crash(n)
		}
		d.assertStandings(t, 7, Convicted)
		time.Sleep(uncertainTerm)
		d.assertStandings(t, 7, Clear)
		crash(20)
		time.Sleep(uncertainTerm)
		d.assertStandings(t, 7, Convicted)
		time.Sleep(uncertainTerm)
		d.assertStandings(t, 7, Clear)
	})
}

// Many deaths show that servers fail, not that a request that often survived is
// the cause.
func TestManyDeathsOutweighedSurvivals(t *testing.T) {
	runDetectors(t, func(t *testing.T, d detectors) {
		for range 2 {
			d.run(0, "plain/z", 7)
			d.run(1, "plain/z", 7)
		}
		for n := range 10 * maxWeighedDeaths {
			d.crash(fmt.Sprintf("plain/%d", n), "", inFlight{7, Fingerprint(100 + n)})
			d.assertStandings(t, 7, Clear)
		}
	})
}

// All groups of a fabric domain fail at once. That is one cause, whichever
// requests were in flight on several of them.
func TestDomainOutageConvictsNobody(t *testing.T) {
	runDetectors(t, func(t *testing.T, d detectors) {
		for outage := range 3 {
			for n := range 4 {
				d.crash(fmt.Sprintf("g%d-%d", outage, n), fmt.Sprintf("f%d", outage), inFlight{7, Fingerprint(10*outage + 100 + n)})
			}
			d.run(1, "h", 7)
			time.Sleep(time.Minute)
		}
		d.assertStandings(t, 7, Clear)
	})
}

// An operator's clearance outweighs the evidence, and reaches daemons as a
// verdict does.
func TestClearedRequestRuns(t *testing.T) {
	runDetectors(t, func(t *testing.T, d detectors) {
		for n := range 3 {
			d.crash(fmt.Sprintf("plain/%d", n), "", inFlight{7})
		}
		d.assertStandings(t, 7, Convicted)
		v := d[0].Clear(7)
		assert.DeepEqual(t, d[0].Unrecorded(), []Verdict{v})
		d[0].Recorded(v, nil)
		assert.Equal(t, len(d[0].Unrecorded()), 0)
		time.Sleep(time.Millisecond) // a verdict of the same time does not replace another
		for _, other := range d[1:] {
			other.Apply(v, true)
		}
		d.crash("plain/x", "", inFlight{7})
		d.assertStandings(t, 7, Clear)
	})
}

// A refused attempt is no survival: it never ran.
func TestRefusedAttemptsWereCountedAsSurvivals(t *testing.T) {
	runDetectors(t, func(t *testing.T, d detectors) {
		for n := range 3 {
			d.crash(fmt.Sprintf("plain/%d", n), "", inFlight{7, Fingerprint(100 + n)})
			for range 5 {
				d[0].Started("plain/z", 1, Subjects{Request: 7})
				d[0].Ended("plain/z", 1, Subjects{Request: 7}, false)
			}
		}
		d.assertStandings(t, 7, Convicted)
	})
}

func TestDetectorIsBounded(t *testing.T) {
	runDetectors(t, func(t *testing.T, d detectors) {
		for n := range 2 * maxDeaths {
			d[0].crashAlone(fmt.Sprintf("g%d", n), Fingerprint(n))
			time.Sleep(time.Millisecond)
		}
		assert.Equal(t, len(d[0].history.deathsByTime), maxDeaths)
		assert.Assert(t, len(d[0].history.before) <= maxDeaths)
		sightings, _ := d[0].Evidence()
		assert.Assert(t, len(sightings) <= maxSightings)
		for n := range maxVerdicts + 10 {
			d[1].Apply(Verdict{Fingerprint: Fingerprint(n), Until: time.Now().Add(time.Hour + time.Duration(n)*time.Millisecond).UnixMilli()}, true)
		}
		verdicts := d[1].Verdicts()
		assert.Equal(t, len(verdicts), maxVerdicts)
		assert.Equal(t, verdicts[0].Fingerprint, Fingerprint(10), "the verdicts that end first must be dropped")
	})
}

func (d *Detector) crashAlone(group string, f Fingerprint) {
	d.Started(fleet.GroupID(group), 1, Subjects{Request: f})
	d.GroupDied(fleet.GroupID(group), 1, "f0", "svc")
	d.Ended(fleet.GroupID(group), 1, Subjects{Request: f}, false)
}
