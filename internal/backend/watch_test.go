package backend

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"

	"carawayproxy.example/caraway/internal/event"
	"carawayproxy.example/caraway/internal/fleet"
)

// freshness is the maximum age at which a report is used.
const freshness = 2 * time.Second

// daemon is one of several daemons that relay their reports to each other.
type daemon struct {
	*Watcher
	engines *engines
	stop    func()

	mu               sync.Mutex
	sentUnresponsive []fleet.InstanceID // last sent to the peers
}

// engines fakes the engines as one daemon reaches them.
type engines struct {
	Engines
	polls         atomic.Int64
	e0Unreachable atomic.Bool
}

func (e *engines) Report(_ context.Context, address string) (fleet.Report, error) {
	e.polls.Add(1)
	if e.e0Unreachable.Load() && address == "e0" {
		return fleet.Report{}, errors.New("refused")
	}
	return fleet.Report{Instance: fleet.InstanceID(address), Incarnation: 1, Ready: true}, nil
}

// runDaemons starts nine daemons that poll the given number of engines, and
// calls f after 10 s. The daemons are in the order of their rank for engine e0.
func runDaemons(t *testing.T, engines int, f func(ds []*daemon)) {
	synctest.Test(t, func(t *testing.T) {
		var targets []Target
		for i := range engines {
			id := fmt.Sprintf("e%d", i)
			targets = append(targets, Target{Instance: fleet.InstanceID(id), Address: id, Kind: fleet.KindEngine, Unit: id})
		}
		ids := make([]fleet.DaemonID, 9)
		for i := range ids {
			ids[i] = fleet.DaemonID(fmt.Sprintf("d%d", i))
		}
		ds := make([]*daemon, len(ids))
		for _, id := range ids {
			ds[fleet.RendezvousRank("e0", id, ids)] = newDaemon(targets, func(unit string) int { return fleet.RendezvousRank(unit, id, ids) })
		}
		for i, d := range ds {
			d.cfg.RequestHeartbeat = func() { d.relay(ds) }
			d.start(ds, time.Duration(i)*37*time.Millisecond)
			defer d.stop()
		}
		time.Sleep(10 * time.Second)
		f(ds)
	})
}

func newDaemon(targets []Target, rank func(string) int) *daemon {
	d := &daemon{engines: &engines{}}
	d.Watcher = NewWatcher(WatcherConfig{
		Engines: d.engines,
		Targets: func() []Target { return targets },
		Rank:    rank,
		Events:  event.NewLogger(io.Discard, log.ErrorLevel, nil),
	})
	return d
}

// start runs the daemon. The delay keeps its polls and relays out of phase with
// those of the others.
func (d *daemon) start(all []*daemon, after time.Duration) {
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	tasks.Go(func() {
		time.Sleep(5 * after % PollInterval)
		d.Run(ctx)
	})
	tasks.Go(func() {
		time.Sleep(after)
		for ; ctx.Err() == nil; time.Sleep(PollInterval) {
			d.relay(all)
		}
	})
	d.stop = func() {
		cancel()
		tasks.Wait()
	}
}

// relay sends the others what a heartbeat carries. An instance that stays
// unresponsive is sent only once.
func (d *daemon) relay(all []*daemon) {
	d.mu.Lock()
	reports, unresponsive := d.LocalReports(), d.Unresponsive()
	known := d.sentUnresponsive
	d.sentUnresponsive = unresponsive
	unresponsive = slices.DeleteFunc(slices.Clone(unresponsive), func(id fleet.InstanceID) bool { return slices.Contains(known, id) })
	d.mu.Unlock()
	for _, other := range all {
		if other != d {
			other.AddRelayedReports(reports)
			other.RecordPeerUnresponsive(unresponsive)
		}
	}
}

// eachReport calls f every 10 ms with each daemon's report of engine e0 and the
// age of that report.
func eachReport(ds []*daemon, during time.Duration, f func(rank int, r fleet.Report, age time.Duration)) {
	for end := time.Now().Add(during); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for rank, d := range ds {
			r, _ := d.Report("e0")
			f(rank, r, time.Since(r.ReceivedAt))
		}
	}
}

// oldestAge returns the greatest age of a report of engine e0 at any daemon.
func oldestAge(ds []*daemon, during time.Duration) (most time.Duration) {
	eachReport(ds, during, func(_ int, _ fleet.Report, age time.Duration) { most = max(most, age) })
	return most
}

// TestPollsAreShared checks that all daemons together send about two polls per
// engine and interval, and that all of them have fresh reports.
func TestPollsAreShared(t *testing.T) {
	runDaemons(t, 60, func(ds []*daemon) {
		const intervals = 40
		var polls int64
		for _, d := range ds {
			polls -= d.engines.polls.Load()
		}
		most := oldestAge(ds, intervals*PollInterval)
		for _, d := range ds {
			polls += d.engines.polls.Load()
		}
		rate := float64(polls) / 60 / intervals
		t.Logf("%.2f polls an engine and interval, oldest report %v", rate, most)
		assert.Assert(t, rate <= 3, "%.2f", rate)
		assert.Assert(t, most <= 1200*time.Millisecond, "%v", most)
	})
}

// TestReportsStayFreshWithoutTheirWatchers checks that reports stay fresh when
// the highest ranked daemons stop or cannot reach the engine, even before the
// other daemons notice.
func TestReportsStayFreshWithoutTheirWatchers(t *testing.T) {
	for name, lose := range map[string]func(d *daemon){
		"dead": func(d *daemon) { d.stop() },
		"cut":  func(d *daemon) { d.engines.e0Unreachable.Store(true) },
	} {
		t.Run(name, func(t *testing.T) {
			runDaemons(t, 1, func(ds []*daemon) {
				for _, d := range ds[:activeWatchers+1] {
					lose(d)
				}
				most := oldestAge(ds[activeWatchers+1:], 10*time.Second)
				t.Logf("oldest report: %v", most)
				assert.Assert(t, most <= 1700*time.Millisecond, "%v", most)
			})
		})
	}
}

// TestLocalReportsIsRepeatable checks that LocalReports does not consume the
// reports it returns.
func TestLocalReportsIsRepeatable(t *testing.T) {
	runDaemons(t, 1, func(ds []*daemon) {
		assert.Equal(t, len(ds[0].LocalReports()), 1)
		assert.Equal(t, len(ds[0].LocalReports()), 1)
	})
}

// TestEngineUnreachableFromOneDaemonIsNotFailed checks that an engine which only
// one daemon cannot reach is not reported as failed by any daemon, and that
// only this daemon sees it as unreachable. An engine that no daemon can reach is
// reported as failed by all.
func TestEngineUnreachableFromOneDaemonIsNotFailed(t *testing.T) {
	runDaemons(t, 1, func(ds []*daemon) {
		ds[0].engines.e0Unreachable.Store(true)
		began := time.Now()
		eachReport(ds, 10*time.Second, func(rank int, r fleet.Report, _ time.Duration) {
			settled := rank > 0 || time.Since(began) > freshness
			assert.Assert(t, !settled || !r.Failed, "engine reported as failed by the daemon of rank %d", rank)
		})
		last := ds[len(ds)-1]
		last.engines.e0Unreachable.Store(true)
		time.Sleep(freshness)
		assert.Assert(t, ds[0].Unreachable("e0") && !last.Unreachable("e0"), "a daemon that does not have to poll must not notice")
		last.RecordFailedAttempt("e0")
		time.Sleep(PollInterval)
		assert.Assert(t, last.Unreachable("e0"), "a failed attempt must trigger a poll")
		for _, d := range ds {
			d.engines.e0Unreachable.Store(true)
		}
		time.Sleep(freshness)
		eachReport(ds, 10*time.Second, func(rank int, r fleet.Report, _ time.Duration) {
			assert.Assert(t, r.Failed, "engine not reported as failed by the daemon of rank %d", rank)
		})
	})
}

// TestFailureIsDetectedByAllDaemons checks that the first daemon to detect an
// unresponsive engine makes all other daemons poll it at once.
func TestFailureIsDetectedByAllDaemons(t *testing.T) {
	runDaemons(t, 1, func(ds []*daemon) {
		for _, d := range ds {
			d.engines.e0Unreachable.Store(true)
		}
		time.Sleep(PollInterval + 10*time.Millisecond)
		eachReport(ds, time.Second, func(rank int, r fleet.Report, _ time.Duration) {
			assert.Assert(t, r.Failed, "the daemon of rank %d has not polled", rank)
		})
	})
}

// TestOlderRelayedReportsAreIgnored checks which relayed reports replace the
// known one.
func TestOlderRelayedReportsAreIgnored(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	here, there := &fleet.Assignment{Group: "g", Epoch: 2}, &fleet.Assignment{Group: "g", Epoch: 1}
	for name, tc := range map[string]struct {
		at          time.Time
		incarnation uint64
		assignment  *fleet.Assignment
		accepted    bool
	}{
		"polled later":                    {at(500), 3, there, true},
		"polled before":                   {at(-1), 3, here, false},
		"of an earlier process":           {at(500), 2, here, false},
		"of a later process":              {at(500), 4, nil, true},
		"polls overlap, other assignment": {at(100), 3, there, false},
		"polls overlap, same assignment":  {at(100), 3, here, true},
	} {
		var s targetState
		s.recordSuccess(fleet.Report{ReceivedAt: at(0), Incarnation: 3, Assignment: here}, at(300))
		s.recordRelayed(fleet.Report{ReceivedAt: tc.at, Incarnation: tc.incarnation, Assignment: tc.assignment})
		r, _ := s.report()
		assert.Equal(t, r.ReceivedAt == tc.at, tc.accepted, name)
	}
}
