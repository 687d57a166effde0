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

// Parts of prompts in the tests: the first one is common to all requests.
const (
	firstPart Fingerprint = 1000 + iota
	soundPart
	otherSoundPart
	badPart
	otherBadPart
)

// withParts returns a request with parts in its prompt.
func withParts(f Fingerprint, parts ...Fingerprint) Subjects {
	return Subjects{Request: f, Parts: parts}
}

// runPrompt lets a request with parts run at a daemon and survive.
func (all detectors) runPrompt(at int, s Subjects) {
	all[at].Started("g", 1, s)
	all[at].Ended("g", 1, s, true)
}

// crashPrompts lets a group die with the given requests in flight, the first one
// at the first daemon and so on, and passes the evidence on.
func (all detectors) crashPrompts(group, fabric string, inFlight ...Subjects) {
	for i, s := range inFlight {
		all[i%len(all)].Started(fleet.GroupID(group), 1, s)
	}
	for _, d := range all[:min(len(all), len(inFlight))] {
		d.GroupDied(fleet.GroupID(group), 1, fleet.FabricDomain(fabric), "svc")
	}
	for i, s := range inFlight {
		all[i%len(all)].Ended(fleet.GroupID(group), 1, s, false)
	}
	all.exchange()
}

// assertParts checks which of the parts are convicted at all daemons.
func (all detectors) assertParts(t *testing.T, convicted ...Fingerprint) {
	t.Helper()
	time.Sleep(2 * decisionDelay)
	for i, d := range all {
		for f := firstPart; f <= otherBadPart; f++ {
			want := Clear
			for _, c := range convicted {
				if c == f {
					want = Convicted
				}
			}
			got := d.Judge(withParts(1, f)).Standing
			assert.Check(t, got == want, "daemon %d: part %d is %d, want %d", i, f, got, want)
		}
	}
}

// No two of the requests with the bad part are alike. Sound ones share their
// other parts and are in flight at each crash.
func TestPartIsConvictedAndItsNeighboursAreNot(t *testing.T) {
	runDetectors(t, func(t *testing.T, d detectors) {
		for at := range 3 {
			d.runPrompt(at, withParts(1, firstPart, soundPart))
			d.runPrompt(at, withParts(2, firstPart, otherSoundPart))
		}
		for n := range 3 {
			d.assertParts(t)
			d.crashPrompts(fmt.Sprint("g", n), fmt.Sprint("f", n),
				withParts(Fingerprint(100+n), firstPart, soundPart, badPart),
				withParts(Fingerprint(200+n), firstPart, otherSoundPart),
				withParts(Fingerprint(300+n), firstPart, soundPart))
		}
		d.assertParts(t, badPart)
		v := d[0].Verdicts()
		assert.Equal(t, len(v), 1)
		assert.Assert(t, v[0].Part && v[0].Deaths == 3 && v[0].Survivals == 0 && v[0].Decided > 0, "%+v", v[0])
		time.Sleep(2 * time.Hour)
		d.assertParts(t)
	})
}

// Each request with the bad part crashes two groups and is convicted itself. Its
// part explains the deaths of all of them, and was not convicted while each of its
// deaths had a convicted request.
func TestPartOfConvictedRequestsStayedInUse(t *testing.T) {
	runDetectors(t, func(t *testing.T, d detectors) {
		for at := range 3 {
			d.runPrompt(at, withParts(1, firstPart, soundPart))
			d.runPrompt(at, withParts(2, firstPart, otherSoundPart))
		}
		for n := range 3 {
			d.assertParts(t)
			bad, sound := withParts(Fingerprint(100+n), firstPart, soundPart, badPart), withParts(Fingerprint(200+n), firstPart, otherSoundPart)
			d.crashPrompts(fmt.Sprint("a", n), "f0", bad)
			time.Sleep(partCauseSpan / 2)
			d.crashPrompts(fmt.Sprint("b", n), "f1", bad, sound)
			if n < 2 { // the part explains the deaths of the third
				d.assertStandings(t, Fingerprint(100+n), Convicted)
			}
		}
		d.assertParts(t, badPart)
	})
}

// A part that no request without the bad one has had is not told from it until
// one survives.
func TestPartOfConvictedRequestsIsToldFromItsNeighbours(t *testing.T) {
	runDetectors(t, func(t *testing.T, d detectors) {
		for n := range 3 {
			for i := range 2 {
				d.crashPrompts(fmt.Sprint("g", n, i), fmt.Sprint("f", i), withParts(Fingerprint(100+n), otherSoundPart, badPart))
				time.Sleep(outageSpan / 3)
			}
			time.Sleep(2 * decisionDelay)
		}
		d.assertParts(t, otherSoundPart, badPart)
		d.runPrompt(0, withParts(1, otherSoundPart))
		d.exchange()
		d.assertParts(t, badPart)
	})
}

// A daemon that ran none of the sound requests itself knows from its peers that
// they survived.
func TestFirstPartWasConvictedAtADaemonThatJustStarted(t *testing.T) {
	runDetectors(t, func(t *testing.T, d detectors) {
		d.runPrompt(1, withParts(1, firstPart, soundPart))
		d.runPrompt(1, withParts(2, firstPart, soundPart))
		for n := range 4 {
			d.crashPrompts(fmt.Sprint("g", n), "", withParts(Fingerprint(100+n), firstPart, soundPart, badPart))
			time.Sleep(outageSpan)
		}
		d.assertParts(t, badPart)
	})
}

// A part that every request has is in flight at each of many crashes. Its earlier
// runs keep it in use until sound runs have ended again.
func TestFailureOfAllGroupsConvictedTheFirstPart(t *testing.T) {
	runDetectors(t, func(t *testing.T, d detectors) {
		for at := range 9 {
			d.runPrompt(at%3, withParts(Fingerprint(at), firstPart, soundPart))
		}
		for n := range 60 {
			d.crashPrompts(fmt.Sprint("g", n), fmt.Sprint("f", n%12), withParts(Fingerprint(100+n), firstPart, Fingerprint(2000+n)))
			time.Sleep(50 * time.Millisecond)
		}
		d.assertParts(t)
	})
}

// Engines crash faster than sound runs end. What ran before the first crash
// tells the parts apart.
func TestPartsAreToldApartByEarlierRuns(t *testing.T) {
	runDetectors(t, func(t *testing.T, d detectors) {
		for range 5 {
			d.runPrompt(0, withParts(1, firstPart, soundPart))
		}
		for n := range 8 {
			d.crashPrompts(fmt.Sprint("g", n), fmt.Sprint("f", n%3),
				withParts(Fingerprint(100+n), firstPart, soundPart, badPart), withParts(Fingerprint(200+n), firstPart, soundPart))
			time.Sleep(150 * time.Millisecond)
		}
		d.assertParts(t, badPart)
	})
}

// All requests so far have the same first part, and none has survived yet. The
// parts are rejected together only for as long as it takes to tell them apart.
func TestPartsThatCannotBeToldApartAreRejectedBriefly(t *testing.T) {
	runDetectors(t, func(t *testing.T, d detectors) {
		for n := range conclusiveDeaths {
			d.assertParts(t)
			d.crashPrompts(fmt.Sprint("g", n), "", withParts(Fingerprint(100+n), firstPart, badPart))
		}
		d.assertParts(t, firstPart, badPart)
		time.Sleep(uncertainTerm)
		d.assertParts(t)
		d.runPrompt(0, withParts(1, firstPart, soundPart))
		d.crashPrompts("h", "", withParts(200, firstPart, badPart))
		d.assertParts(t, badPart)
	})
}

func TestTwoBadPartsAreConvicted(t *testing.T) {
	runDetectors(t, func(t *testing.T, d detectors) {
		for at := range 6 {
			d.runPrompt(at%3, withParts(1, firstPart, soundPart))
		}
		for n := range 2 * conclusiveDeaths {
			d.crashPrompts(fmt.Sprint("g", n), fmt.Sprint("f", n%3),
				withParts(Fingerprint(100+n), firstPart, badPart+Fingerprint(n%2)),
				withParts(Fingerprint(200+n), firstPart, soundPart))
			time.Sleep(500 * time.Millisecond)
		}
		d.assertParts(t, badPart, otherBadPart)
	})
}

// A single request that its caller sends again and again crashes the servers.
// The parts of its prompt, which nobody else has sent yet, are not to blame.
func TestRepeatedRequestBlamedThePartsOfItsPrompt(t *testing.T) {
	runDetectors(t, func(t *testing.T, d detectors) {
		d.runPrompt(0, withParts(1, firstPart))
		d.runPrompt(0, withParts(2, firstPart))
		for n := range 2 * conclusiveDeaths {
			d.crashPrompts(fmt.Sprint("g", n), "", withParts(7, firstPart, soundPart))
			time.Sleep(100 * time.Millisecond)
		}
		d.assertStandings(t, 7, Convicted)
		d.assertParts(t)
	})
}

// Two crashes under each request, as its daemon sends it on, must not hide that
// the requests share a part.
func TestRequestsSentOnHidTheirCommonPart(t *testing.T) {
	runDetectors(t, func(t *testing.T, d detectors) {
		d.runPrompt(0, withParts(1, firstPart))
		for n := range conclusiveDeaths {
			s := withParts(Fingerprint(100+n), firstPart, badPart)
			d.crashPrompts(fmt.Sprint("g", n), "f0", s)
			time.Sleep(time.Second)
			d.crashPrompts(fmt.Sprint("h", n), "f1", s)
			time.Sleep(time.Second)
		}
		d.assertParts(t, badPart)
	})
}

// A daemon that has just started knows of no survivals, so that its verdict on
// the same part is uncertain and short. It must not end the others' verdict.
func TestUncertainVerdictReplacedACertainOne(t *testing.T) {
	runDetectors(t, func(t *testing.T, d detectors) {
		certain := Verdict{Fingerprint: badPart, Part: true, Decided: time.Now().UnixMilli(), Until: time.Now().Add(time.Hour).UnixMilli()}
		later := Verdict{Fingerprint: badPart, Part: true, Uncertain: true, Decided: certain.Decided + 5000, Until: time.Now().Add(15 * time.Second).UnixMilli()}
		d[0].Apply(certain, true)
		d[0].Apply(later, false)
		d[1].Apply(later, false)
		d[1].Apply(certain, true)
		time.Sleep(time.Minute)
		for _, of := range d[:2] {
			assert.Equal(t, of.Judge(withParts(1, badPart)).Standing, Convicted)
			cleared := of.Clear(badPart)
			of.Apply(certain, true)
			assert.Equal(t, of.Judge(withParts(1, badPart)).Standing, Clear, "an earlier conviction ended the clearance")
			assert.DeepEqual(t, of.Verdicts(), []Verdict{cleared})
		}
	})
}

// Once other daemons reject a request, a daemon without the verdict sees no more
// deaths to decide by. Each daemon announces its own.
func TestVerdictsWereKeptToTheDaemonThatDecided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		announced := make(chan Verdict, 1)
		d := NewDetector(DetectorConfig{
			Groups:   func() map[fleet.FabricDomain]int { return map[fleet.FabricDomain]int{"": 3} },
			Announce: func(v Verdict) { announced <- v },
		})
		ctx, cancel := context.WithCancel(t.Context())
		go d.Run(ctx)
		all := detectors{d}
		for n := range 3 {
			all.crash(fmt.Sprint("plain/", n), "", inFlight{7})
		}
		all.assertStandings(t, 7, Convicted)
		assert.DeepEqual(t, []Verdict{<-announced}, d.Verdicts())
		assert.DeepEqual(t, d.Unrecorded(), d.Verdicts())
		cancel()
		synctest.Wait()
	})
}
