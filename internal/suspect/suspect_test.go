package suspect

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/journal"
)

// fakeLog applies each proposal to all folds immediately, unless it is down.
type fakeLog struct {
	folds []*Fold
	next  journal.Offset
	mu    sync.Mutex
	down  atomic.Bool
}

func (l *fakeLog) Propose(_ context.Context, kind journal.Kind, body any) journal.Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down.Load() {
		return journal.Result{Outcome: journal.OutcomeNotAppended}
	}
	data, err := cbor.Marshal(body)
	if err != nil {
		return journal.Result{Err: err}
	}
	l.next++
	var v journal.Verdict
	for _, fold := range l.folds {
		v, _ = fold.Apply(l.next, journal.Record{Kind: kind, Author: "d", UnixMilli: time.Now().UnixMilli(), Body: data})
	}
	if v.Accepted {
		return journal.Result{Outcome: journal.OutcomeAccepted}
	}
	return journal.Result{Outcome: journal.OutcomeRejected, Verdict: v}
}

func (l *fakeLog) Status() journal.Status { return journal.Status{} }

// runTrackerPair runs a test with the trackers of two daemons on one log.
func runTrackerPair(t *testing.T, run func(t *testing.T, log *fakeLog, a, b *Tracker)) {
	synctest.Test(t, func(t *testing.T) {
		log := &fakeLog{}
		var trackers []*Tracker
		for range 2 {
			fold := NewFold()
			log.folds = append(log.folds, fold)
			trackers = append(trackers, NewTracker(TrackerConfig{Fold: fold, Proposer: log, Groups: func() map[fleet.FabricDomain]int {
				return map[fleet.FabricDomain]int{"f0": 4, "f1": 4, "f2": 4}
			}}))
		}
		ctx, cancel := context.WithCancel(t.Context())
		for _, tr := range trackers {
			go tr.Run(ctx)
		}
		run(t, log, trackers[0], trackers[1])
		cancel()
		synctest.Wait()
	})
}

// crash simulates the death of a group with the fingerprints in flight.
func crash(tr *Tracker, group, fabric string, in ...Fingerprint) {
	for _, f := range in {
		tr.Started(fleet.GroupID(group), 1, Subjects{Request: f})
	}
	tr.GroupDied(fleet.GroupID(group), 1, fleet.FabricDomain(fabric), "svc")
	for _, f := range in {
		tr.Ended(fleet.GroupID(group), 1, Subjects{Request: f}, false)
	}
}

// Two deaths observed by different daemons convict a request: first by the
// sightings the daemons exchange and then by the verdict in the log.
func TestConvictionAcrossDaemons(t *testing.T) {
	runTrackerPair(t, func(t *testing.T, log *fakeLog, a, b *Tracker) {
		crash(a, "g0", "f0", 7, 1, 2)
		assert.Equal(t, a.Standing(7), Clear)
		b.Observe(a.Sightings())
		b.Observe(a.Sightings())
		assert.Equal(t, b.history.Deaths(7), 1, "a repeated sighting must count once")
		crash(b, "g0", "f0", 7, 5)
		assert.Equal(t, b.history.Deaths(7), 1, "one death observed by two daemons must count once")
		crash(b, "g4", "f1", 7, 3, 4)
		assert.Equal(t, b.Standing(7), Convicted)
		assert.Equal(t, b.Standing(3), Clear)
		time.Sleep(20 * time.Second)
		assert.Equal(t, a.Standing(7), Convicted, "the verdict is not in the log")
		assert.Equal(t, len(log.folds[0].Verdicts()), 1)
		time.Sleep(2 * time.Hour)
		assert.Equal(t, a.Standing(7), Clear, "the verdict did not expire")
	})
}

// Deaths of several groups of one fabric domain in a short time have one cause.
// They must not convict a request that was retried into the domain.
func TestDomainOutageConvictsNoRequest(t *testing.T) {
	runTrackerPair(t, func(t *testing.T, log *fakeLog, a, _ *Tracker) {
		for i := range 4 {
			crash(a, fmt.Sprint("g", i), "f0", 7, Fingerprint(100+i))
			time.Sleep(time.Second)
		}
		time.Sleep(20 * time.Second)
		assert.Equal(t, a.Standing(7), Clear)
		for i := range 4 {
			crash(a, fmt.Sprint("h", i), "f1", Fingerprint(200+i), Fingerprint(100+i))
		}
		time.Sleep(20 * time.Second)
		for i := range 4 {
			assert.Equal(t, a.Standing(Fingerprint(100+i)), Clear)
		}
		assert.Equal(t, len(log.folds[0].Verdicts()), 0)
	})
}

// A request that runs all the time is in flight at many deaths without causing
// them. Its survivals must prevent a conviction.
func TestSurvivalsPreventConviction(t *testing.T) {
	runTrackerPair(t, func(t *testing.T, _ *fakeLog, a, _ *Tracker) {
		for range 20 {
			a.Started("g9", 1, Subjects{Request: 7})
			time.Sleep(5 * time.Second)
			a.Ended("g9", 1, Subjects{Request: 7}, true)
		}
		crash(a, "g0", "f0", 7, 1)
		time.Sleep(time.Minute)
		crash(a, "g4", "f1", 7, 2)
		assert.Equal(t, a.Standing(7), Clear)
	})
}

// Convictions take effect while the log is down and are recorded when it is
// back. A clearance by an operator then takes precedence at all daemons.
func TestConvictionWhileLogIsDown(t *testing.T) {
	runTrackerPair(t, func(t *testing.T, log *fakeLog, a, b *Tracker) {
		log.down.Store(true)
		crash(a, "g0", "f0", 7)
		crash(a, "g4", "f1", 7)
		b.Observe(a.Sightings())
		assert.Equal(t, b.Standing(7), Convicted)
		time.Sleep(time.Minute)
		assert.Equal(t, len(log.folds[0].Verdicts()), 0)
		log.down.Store(false)
		time.Sleep(20 * time.Second)
		assert.Equal(t, len(log.folds[0].Verdicts()), 1)
		assert.Equal(t, a.Clear(t.Context(), 7).Outcome, journal.OutcomeAccepted)
		time.Sleep(time.Minute)
		assert.Equal(t, a.Standing(7), Clear)
		assert.Equal(t, b.Standing(7), Clear)
	})
}

// The fold keeps at most maxVerdicts verdicts, equal states have equal
// snapshots, and a verdict written under a wrong clock is ignored.
func TestFoldIsBoundedAndSnapshots(t *testing.T) {
	at := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	a := NewFold()
	convict := func(f Fingerprint, at time.Time) {
		data, err := cbor.Marshal(convictRecord{Fingerprint: f, Term: time.Hour.Milliseconds()})
		assert.NilError(t, err)
		_, err = a.Apply(0, journal.Record{Kind: KindConvict, Author: "d", UnixMilli: at.UnixMilli(), Body: data})
		assert.NilError(t, err)
	}
	for i := range maxVerdicts + 10 {
		convict(Fingerprint(i), at.Add(time.Duration(i)*time.Millisecond))
	}
	assert.Equal(t, len(a.Verdicts()), maxVerdicts)
	_, ok := a.Verdict(0, at)
	assert.Assert(t, !ok, "the oldest verdict was kept")
	_, ok = a.Verdict(maxVerdicts, at.Add(10*time.Second))
	assert.Assert(t, ok)
	convict(77777, at.Add(10000*time.Hour))
	_, ok = a.Verdict(77777, at)
	assert.Assert(t, !ok, "a verdict written under a wrong clock is in force")
	data, err := a.Snapshot()
	assert.NilError(t, err)
	b := NewFold()
	assert.NilError(t, b.Restore(data))
	again, err := b.Snapshot()
	assert.NilError(t, err)
	assert.Equal(t, string(data), string(again))
}

// BenchmarkStanding measures the cost per request, for a request that was in
// flight at no death and for one that was in flight at maxDeaths deaths.
func BenchmarkStanding(b *testing.B) {
	t := NewTracker(TrackerConfig{Fold: NewFold(), Proposer: &fakeLog{}})
	for i := range maxDeaths {
		t.Observe([]Sighting{{
			ID: [16]byte{byte(i), byte(i >> 8)}, Group: fleet.GroupID(fmt.Sprint("g", i)), Fabric: "f0",
			InFlight: []Fingerprint{Fingerprint(i % 50), 7, 8, 9}, At: time.Now(),
		}})
	}
	for name, f := range map[string]Fingerprint{"clear": 1 << 40, "touched": 7} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				t.Standing(f)
			}
		})
	}
}
