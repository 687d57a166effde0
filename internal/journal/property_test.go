package journal_test

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/internal/journal"
	"carawayproxy.example/caraway/standin/platform"
	"carawayproxy.example/caraway/standin/property"
)

// TestMain sets a fixed seed for the property tests unless one is given.
func TestMain(m *testing.M) { property.Main(m, property.Seeded("20261203")) }

// step is one event of a generated schedule.
type step struct {
	Kind   string
	Daemon int
	On     bool
	Pause  int // milliseconds until the next step
}

const daemonsInRun = 4

func drawSteps(t *rapid.T) []step {
	kinds := []string{"add", "add", "add", "set", "set", "down", "lose", "slow", "cut", "late", "restart"}
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{
			Kind:   rapid.SampledFrom(kinds).Draw(t, "kind"),
			Daemon: rapid.IntRange(0, daemonsInRun-1).Draw(t, "daemon"),
			On:     rapid.Bool().Draw(t, "on"),
			Pause:  rapid.SampledFrom([]int{0, 1, 50, 300, 1500, 4000}).Draw(t, "pause"),
		}
	}), 20, 60).Draw(t, "steps")
}

// proposalResult is one proposal and its result.
type proposalResult struct {
	kind    journal.Kind
	name    string
	outcome journal.Outcome
}

// run is a set of daemons on one log, under a schedule of faults.
type run struct {
	t   testing.TB
	log *platform.Log

	mu        sync.Mutex
	daemons   [daemonsInRun]*daemon
	started   int
	results   []proposalResult
	proposals sync.WaitGroup
	logs      []*faultyLog
}

func (r *run) peers() peersOf {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append(peersOf(nil), r.daemons[:]...)
}

// FetchState and FetchEntries implement journal.PeerSource.
func (r *run) FetchState(ctx context.Context, s journal.Stream) (journal.State, error) {
	return r.peers().FetchState(ctx, s)
}

func (r *run) FetchEntries(ctx context.Context, s journal.Stream, from journal.Offset, limit int) ([]journal.Entry, error) {
	return r.peers().FetchEntries(ctx, s, from, limit)
}

func (r *run) start(i int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.started++
	id := fleet.DaemonID(fmt.Sprintf("d%d-%d", i, r.started))
	r.daemons[i] = startDaemon(r.t, id, r.log, func(c *journal.Config) { c.Peers = r })
	r.logs = append(r.logs, r.daemons[i].log)
}

func (r *run) daemon(i int) *daemon {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.daemons[i]
}

func (r *run) propose(i, n int, kind journal.Kind) {
	d := r.daemon(i)
	p := proposalResult{kind: kind, name: fmt.Sprintf("p%d", n)}
	var body any = add{p.name}
	if kind == kindSet {
		body = set{Base: d.fold.revision()}
	}
	r.proposals.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		p.outcome = d.Propose(ctx, kind, body).Outcome
		r.mu.Lock()
		defer r.mu.Unlock()
		r.results = append(r.results, p)
	})
}

func (r *run) step(n int, s step) {
	faults := r.log.Faults()
	switch s.Kind {
	case "add":
		r.propose(s.Daemon, n, kindAdd)
	case "set":
		r.propose(s.Daemon, n, kindSet)
	case "down":
		faults.Down = s.On
	case "lose":
		faults.LoseResponses += 2
	case "slow":
		faults.Delay = 0
		if s.On {
			faults.Delay = 700 * time.Millisecond
		}
	case "cut":
		r.daemon(s.Daemon).log.update(func(l *faultyLog) { l.unreachable = s.On })
	case "late":
		r.daemon(s.Daemon).log.update(func(l *faultyLog) {
			l.appendDelay = 0
			if s.On {
				l.appendDelay = 900 * time.Millisecond
			}
		})
	case "restart":
		r.daemon(s.Daemon).stopAndWait()
		r.start(s.Daemon)
	}
	r.log.SetFaults(faults)
	time.Sleep(time.Duration(s.Pause) * time.Millisecond)
}

// clearFaults ends all faults and waits until every daemon has caught up.
func (r *run) clearFaults() {
	r.log.SetFaults(platform.LogFaults{})
	for _, l := range r.logs {
		l.update(func(l *faultyLog) { l.unreachable, l.appendDelay = false, 0 })
	}
	r.proposals.Wait()
	for _, l := range r.logs {
		l.delayedAppends.Wait()
	}
	time.Sleep(10 * time.Second)
}

// check compares the results of the proposals with the folded state.
func (r *run) check() error {
	first, err := r.daemon(0).Export()
	if err != nil {
		return err
	}
	for i := range daemonsInRun {
		s, err := r.daemon(i).Export()
		if err != nil {
			return err
		}
		if s.Next != first.Next || !bytes.Equal(s.Data, first.Data) {
			return errors.Errorf("states of daemons 0 and %d differ at offsets %d and %d", i, first.Next, s.Next)
		}
	}
	counts := map[string]int{}
	for _, name := range r.daemon(0).fold.added() {
		counts[name]++
	}
	var sets, unknownSets uint64
	for _, p := range r.results {
		n := counts[p.name]
		switch {
		case n > 1:
			return errors.Errorf("%s applied %d times", p.name, n)
		case p.kind == kindSet && p.outcome == journal.OutcomeAccepted:
			sets++
		case p.kind == kindSet && p.outcome == journal.OutcomeUnknown:
			unknownSets++
		case p.kind == kindSet:
		case p.outcome == journal.OutcomeAccepted && n == 0:
			return errors.Errorf("%s was accepted but is not in the state", p.name)
		case (p.outcome == journal.OutcomeNotAppended || p.outcome == journal.OutcomeRejected) && n > 0:
			return errors.Errorf("%s counts, but its proposal ended with outcome %d", p.name, p.outcome)
		}
	}
	if revision := r.daemon(0).fold.revision(); revision < sets || revision > sets+unknownSets {
		return errors.Errorf("revision %d with %d accepted and %d unknown", revision, sets, unknownSets)
	}
	return nil
}

// Under any faults, all daemons fold the same state, no record counts twice and
// the results of all proposals are correct.
func TestResultsAreCorrectUnderFaults(t *testing.T) {
	outcomes := map[journal.Outcome]int{}
	var duplicates, lost uint64
	rapid.Check(t, func(rt *rapid.T) {
		steps := drawSteps(rt)
		var err error
		synctest.Test(t, func(t *testing.T) {
			r := &run{t: t, log: platform.NewLog(platform.LogConfig{})}
			for i := range daemonsInRun {
				r.start(i)
			}
			for n, s := range steps {
				r.step(n, s)
			}
			r.clearFaults()
			err = r.check()
			for _, p := range r.results {
				outcomes[p.outcome]++
			}
			duplicates += uint64(r.daemon(0).events.count("journal.repeat"))
			lost += r.log.Stats().Lost
		})
		if err != nil {
			rt.Fatal(err)
		}
	})
	t.Logf("outcomes %v, duplicates in the log %d, lost responses %d", outcomes, duplicates, lost)
	for outcome := journal.OutcomeUnknown; outcome <= journal.OutcomeNotAppended; outcome++ {
		assert.Assert(t, outcomes[outcome] > 0, "no proposal had outcome %d", outcome)
	}
	assert.Assert(t, duplicates > 0 && lost > 0, "the faults caused no duplicates or no lost responses")
}
