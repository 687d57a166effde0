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

// freshness is the age up to which the gate takes a report.
const freshness = 2 * time.Second

// daemon is one of several that relay their polls to each other.
type daemon struct {
	*Watcher
	engines *engines
	stop    func()

	mu     sync.Mutex
	silent []fleet.InstanceID // told last
}

// engines is a daemon's way to them.
type engines struct {
	Engines
	polls atomic.Int64
	cut   atomic.Bool // from the first engine
}

func (e *engines) Report(_ context.Context, address string) (fleet.Report, error) {
	e.polls.Add(1)
	if e.cut.Load() && address == "e0" {
		return fleet.Report{}, errors.New("refused")
	}
	return fleet.Report{Instance: fleet.InstanceID(address), Incarnation: 1, Ready: true}, nil
}

// runDaemons runs f with nine daemons that have watched so many engines for a
// while. They are in the order in which they watch the first one, e0.
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
			ds[Rank("e0", id, ids)] = newDaemon(targets, func(unit string) int { return Rank(unit, id, ids) })
		}
		for i, d := range ds {
			d.cfg.Hurry = func() { d.relay(ds) }
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

// start runs a daemon whose polls and relays are out of step.
func (d *daemon) start(all []*daemon, after time.Duration) {
	ctx, cancel := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	tasks.Go(func() {
		time.Sleep(5 * after % PollEvery)
		d.Run(ctx)
	})
	tasks.Go(func() {
		time.Sleep(after)
		for ; ctx.Err() == nil; time.Sleep(PollEvery) {
			d.relay(all)
		}
	})
	d.stop = func() {
		cancel()
		tasks.Wait()
	}
}

// relay tells the others what a heartbeat does: of an instance that stays
// silent it tells once.
func (d *daemon) relay(all []*daemon) {
	d.mu.Lock()
	reports, silent := d.Offer(), d.Silent()
	known := d.silent
	d.silent = silent
	silent = slices.DeleteFunc(slices.Clone(silent), func(id fleet.InstanceID) bool { return slices.Contains(known, id) })
	d.mu.Unlock()
	for _, other := range all {
		if other != d {
			other.Relayed(reports)
			other.Prompt(silent)
		}
	}
}

// each calls f every 10 ms with each daemon's report of the first engine and
// its age.
func each(ds []*daemon, during time.Duration, f func(rank int, r fleet.Report, age time.Duration)) {
	for end := time.Now().Add(during); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for rank, d := range ds {
			r, _ := d.Report("e0")
			f(rank, r, time.Since(r.ReceivedAt))
		}
	}
}

// oldest returns the oldest report of the first engine that any daemon had.
func oldest(ds []*daemon, during time.Duration) (most time.Duration) {
	each(ds, during, func(_ int, _ fleet.Report, age time.Duration) { most = max(most, age) })
	return most
}

// TestPollsAreShared: daemons together poll an engine two times an interval
// and all have it fresh.
func TestPollsAreShared(t *testing.T) {
	runDaemons(t, 60, func(ds []*daemon) {
		const intervals = 40
		var polls int64
		for _, d := range ds {
			polls -= d.engines.polls.Load()
		}
		most := oldest(ds, intervals*PollEvery)
		for _, d := range ds {
			polls += d.engines.polls.Load()
		}
		rate := float64(polls) / 60 / intervals
		t.Logf("%.2f polls an engine and interval, oldest report %v", rate, most)
		assert.Assert(t, rate <= 3, "%.2f", rate)
		assert.Assert(t, most <= 1200*time.Millisecond, "%v", most)
	})
}

// TestReportsStayFreshWithoutTheirWatchers: nothing rests on those that should
// watch, nor on when the others find out.
func TestReportsStayFreshWithoutTheirWatchers(t *testing.T) {
	for name, lose := range map[string]func(d *daemon){
		"dead": func(d *daemon) { d.stop() },
		"cut":  func(d *daemon) { d.engines.cut.Store(true) },
	} {
		t.Run(name, func(t *testing.T) {
			runDaemons(t, 1, func(ds []*daemon) {
				for _, d := range ds[:activeWatchers+1] {
					lose(d)
				}
				most := oldest(ds[activeWatchers+1:], 10*time.Second)
				t.Logf("oldest report: %v", most)
				assert.Assert(t, most <= 1700*time.Millisecond, "%v", most)
			})
		})
	}
}

// TestOffersTakeNothingAway: whoever looks at the reports for peers leaves them
// to the peers.
func TestOffersTakeNothingAway(t *testing.T) {
	runDaemons(t, 1, func(ds []*daemon) {
		assert.Equal(t, len(ds[0].Offer()), 1)
		assert.Equal(t, len(ds[0].Offer()), 1)
	})
}

// TestOnesFailingIsNotTheEngines: an engine that one daemon can't reach is
// silent for none, but that daemon knows; one that is dead is so for all.
func TestOnesFailingIsNotTheEngines(t *testing.T) {
	runDaemons(t, 1, func(ds []*daemon) {
		ds[0].engines.cut.Store(true)
		began := time.Now()
		each(ds, 10*time.Second, func(rank int, r fleet.Report, _ time.Duration) {
			settled := rank > 0 || time.Since(began) > freshness
			assert.Assert(t, !settled || !r.Failed, "the engine is silent for the daemon of rank %d", rank)
		})
		last := ds[len(ds)-1]
		last.engines.cut.Store(true)
		time.Sleep(freshness)
		assert.Assert(t, ds[0].Unreached("e0") && !last.Unreached("e0"), "who need not poll does not find out")
		last.Doubt("e0")
		time.Sleep(PollEvery)
		assert.Assert(t, last.Unreached("e0"), "unless an attempt failed")
		for _, d := range ds {
			d.engines.cut.Store(true)
		}
		time.Sleep(freshness)
		each(ds, 10*time.Second, func(rank int, r fleet.Report, _ time.Duration) {
			assert.Assert(t, r.Failed, "the engine is not silent for the daemon of rank %d", rank)
		})
	})
}

// TestDeathIsKnownSoon: the first daemon to find an engine silent makes all
// the others look.
func TestDeathIsKnownSoon(t *testing.T) {
	runDaemons(t, 1, func(ds []*daemon) {
		for _, d := range ds {
			d.engines.cut.Store(true)
		}
		time.Sleep(PollEvery + 10*time.Millisecond)
		each(ds, time.Second, func(rank int, r fleet.Report, _ time.Duration) {
			assert.Assert(t, r.Failed, "rank %d has not looked", rank)
		})
	})
}

// TestOlderReportsReplaceNothing covers what a relayed report may change.
func TestOlderReportsReplaceNothing(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	here, there := &fleet.Assignment{Group: "g", Epoch: 2}, &fleet.Assignment{Group: "g", Epoch: 1}
	for name, tc := range map[string]struct {
		at          time.Time
		incarnation uint64
		assignment  *fleet.Assignment
		taken       bool
	}{
		"asked later":                   {at(500), 3, there, true},
		"asked before":                  {at(-1), 3, here, false},
		"of an earlier process":         {at(500), 2, here, false},
		"of a later process":            {at(500), 4, nil, true},
		"asked under way, moved":        {at(100), 3, there, false},
		"asked under way, in its place": {at(100), 3, here, true},
	} {
		var s seen
		s.answered(fleet.Report{ReceivedAt: at(0), Incarnation: 3, Assignment: here}, at(300))
		s.relayed(fleet.Report{ReceivedAt: tc.at, Incarnation: tc.incarnation, Assignment: tc.assignment})
		r, _ := s.report()
		assert.Equal(t, r.ReceivedAt == tc.at, tc.taken, name)
	}
}
