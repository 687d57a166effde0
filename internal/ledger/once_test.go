package ledger_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"carawayproxy.example/caraway/internal/fleet"
	"carawayproxy.example/caraway/standin/platform"
)

// op is one call in a history.
type op struct {
	caller, id string
}

// ranBy is the state of one key: the id of the call that ran, or "".
type ranBy string

// atMostOnceModel is the model of one key: at most one call runs, and every
// answer in state DONE is the answer of that call.
var atMostOnceModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{ranBy("")} },
	Step: func(state, input, output any) []any {
		ran, in, out := state.(ranBy), input.(op), output.(result)
		switch out.state {
		case fleet.NotRun:
			return []any{ran}
		case fleet.Done:
			if ran == "" && out.body == in.id {
				return []any{ranBy(in.id)}
			}
			if ran != "" && string(ran) == out.body {
				return []any{ran}
			}
			return nil
		default:
			if ran == "" {
				return []any{ran, ranBy(in.id)}
			}
			return []any{ran}
		}
	},
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, o := range history {
			k := o.Input.(op).caller
			byKey[k] = append(byKey[k], o)
		}
		var parts [][]porcupine.Operation
		for _, p := range byKey {
			parts = append(parts, p)
		}
		return parts
	},
}

// faultStats counts the injected faults and the results of the calls.
type faultStats struct {
	calls, kills, pauses, notRun, mayHaveRun, done, replays, unknown int
}

// Callers repeat calls at several daemons, concurrently and later, while
// daemons are killed or paused at each step and the log loses responses, is slow
// or is down.
func TestAtMostOnceUnderFaults(t *testing.T) {
	var total faultStats
	for seed := range uint64(60) {
		synctest.Test(t, func(t *testing.T) { runWithFaults(t, seed, &total) })
	}
	t.Logf("faults and results: %+v", total)
	assert.Assert(t, total.kills > 100 && total.pauses > 100, "too few faults injected: %+v", total)
	assert.Assert(t, total.replays > 100 && total.mayHaveRun > 20 && total.notRun > 100, "too few results of some kind: %+v", total)
}

func runWithFaults(t *testing.T, seed uint64, total *faultStats) {
	log := platform.NewLog(platform.LogConfig{})
	srv := &server{runs: map[string][]string{}}
	start := time.Now()
	faultCtx, stopFaults := context.WithCancel(context.Background())
	var faults sync.WaitGroup
	faults.Go(func() { injectLogFaults(faultCtx, log, rand.New(rand.NewPCG(seed, 2))) })

	cluster := &daemons{log: log, shards: 1 + int(seed%2)}
	for range 3 {
		cluster.add()
	}
	var mu sync.Mutex
	var history []porcupine.Operation
	var callers sync.WaitGroup
	for c := range 6 {
		caller := fmt.Sprintf("key-%d", c)
		for worker := range 2 {
			rnd := rand.New(rand.NewPCG(seed, uint64(10+10*c+worker)))
			callers.Go(func() {
				for n := range 4 {
					time.Sleep(time.Duration(rnd.IntN(4000)) * time.Millisecond)
					f := randomFault(rnd)
					id := callID(caller, 10*worker+n)
					began := time.Since(start)
					res := cluster.pick(rnd).call(srv, caller, id, f)
					ended := int64(time.Since(start))
					if res.state == fleet.RunStateUnknown {
						ended = int64(time.Hour)
					}
					mu.Lock()
					history = append(history, porcupine.Operation{
						ClientId: 10*c + worker, Input: op{caller, id}, Call: int64(began), Output: res, Return: ended,
					})
					total.count(f, res, id)
					mu.Unlock()
				}
			})
		}
	}
	callers.Wait()
	stopFaults()
	faults.Wait()
	time.Sleep(30 * time.Second)
	checkHistory(t, seed, srv, history)
	cluster.check(t, seed)
	cluster.stop()
}

func (m *faultStats) count(f fault, res result, id string) {
	m.calls++
	if f.kill {
		m.kills++
	}
	if f.pause > 0 {
		m.pauses++
	}
	switch res.state {
	case fleet.NotRun:
		m.notRun++
	case fleet.MayHaveRun:
		m.mayHaveRun++
	case fleet.Done:
		m.done++
		if res.body != id {
			m.replays++
		}
	default:
		m.unknown++
	}
}

// checkHistory compares the results of the calls with the runs on the server.
func checkHistory(t *testing.T, seed uint64, srv *server, history []porcupine.Operation) {
	t.Helper()
	ran := map[string]bool{}
	for k, calls := range srv.runs {
		assert.Assert(t, len(calls) <= 1, "seed %d: %s ran %d times: %v", seed, k, len(calls), calls)
		ran[calls[0]] = true
	}
	for _, o := range history {
		in, out := o.Input.(op), o.Output.(result)
		assert.Assert(t, out.state != fleet.NotRun || !ran[in.id], "seed %d: %s ended as NOT_RUN but ran", seed, in.id)
	}
	assert.Assert(t, porcupine.CheckOperations(atMostOnceModel.ToModel(), history), "seed %d: the history cannot be linearized with at most one run", seed)
}

// daemons is a set of daemons in which killed daemons are replaced.
type daemons struct {
	log    *platform.Log
	shards int
	mu     sync.Mutex
	all    []*daemon
	live   []*daemon
}

func (d *daemons) add() *daemon {
	n := newDaemon(d.log, fmt.Sprintf("d%d", len(d.all)), d.shards)
	d.all = append(d.all, n)
	d.live = append(d.live, n)
	return n
}

func (d *daemons) pick(r *rand.Rand) *daemon {
	d.mu.Lock()
	defer d.mu.Unlock()
	i := r.IntN(len(d.live))
	if !d.live[i].killed() {
		return d.live[i]
	}
	fresh := d.add()
	d.live[i] = fresh
	d.live = d.live[:len(d.live)-1]
	return fresh
}

// check asserts that, after the faults, no record is pending and all running
// daemons have the same state.
func (d *daemons) check(t *testing.T, seed uint64) {
	t.Helper()
	last := newDaemon(d.log, "reader", d.shards)
	time.Sleep(5 * time.Second)
	for _, n := range d.live {
		if n.killed() {
			continue
		}
		assert.Equal(t, n.client.Pending(), 0, "seed %d: daemon %s", seed, n.id)
		for shard, fold := range n.folds {
			got, err := fold.Snapshot()
			assert.NilError(t, err)
			want, err := last.folds[shard].Snapshot()
			assert.NilError(t, err)
			assert.Assert(t, string(got) == string(want), "seed %d: daemon %s has a different state of shard %d", seed, n.id, shard)
		}
	}
	last.stop()
}

func (d *daemons) stop() {
	for _, n := range d.all {
		n.stop()
	}
}
