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

// state of one key: the call that ran, empty when none has.
type ranBy string

// oneRun is the model of one key: the first run is the only one, and every
// whole answer is its answer.
var oneRun = porcupine.NondeterministicModel{
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

// met counts what the runs really met.
type met struct {
	calls, kills, freezes, notRun, mayHave, whole, replays, unknown int
}

// TestOnceUnderFaults drives callers that repeat at several daemons, at the
// same time and later, through kills and freezes at each step, lost append
// answers, a slow log and outages.
func TestOnceUnderFaults(t *testing.T) {
	var total met
	for seed := range uint64(60) {
		synctest.Test(t, func(t *testing.T) { runOnce(t, seed, &total) })
	}
	t.Logf("met: %+v", total)
	assert.Assert(t, total.kills > 100 && total.freezes > 100, "faults did not bite: %+v", total)
	assert.Assert(t, total.replays > 100 && total.mayHave > 20 && total.notRun > 100, "outcomes not met: %+v", total)
}

func runOnce(t *testing.T, seed uint64, total *met) {
	log := platform.NewLog(platform.LogConfig{})
	srv := &server{runs: map[string][]string{}}
	start := time.Now()
	faults, calm := context.WithCancel(context.Background())
	var noise sync.WaitGroup
	noise.Go(func() { disturb(faults, log, rand.New(rand.NewPCG(seed, 2))) })

	fleetOf := &daemons{log: log, shards: 1 + int(seed%2)}
	for range 3 {
		fleetOf.add()
	}
	var mu sync.Mutex
	var history []porcupine.Operation
	var callers sync.WaitGroup
	for c := range 6 {
		caller := fmt.Sprintf("key-%d", c)
		for twin := range 2 {
			rnd := rand.New(rand.NewPCG(seed, uint64(10+10*c+twin)))
			callers.Go(func() {
				for n := range 4 {
					time.Sleep(time.Duration(rnd.IntN(4000)) * time.Millisecond)
					f := drawFate(rnd)
					id := callID(caller, 10*twin+n)
					begun := time.Since(start)
					res := fleetOf.pick(rnd).call(srv, caller, id, f)
					ended := int64(time.Since(start))
					if res.state == fleet.RunStateUnknown {
						ended = int64(time.Hour)
					}
					mu.Lock()
					history = append(history, porcupine.Operation{
						ClientId: 10*c + twin, Input: op{caller, id}, Call: int64(begun), Output: res, Return: ended,
					})
					total.count(f, res, id)
					mu.Unlock()
				}
			})
		}
	}
	callers.Wait()
	calm()
	noise.Wait()
	time.Sleep(30 * time.Second)
	checkOnce(t, seed, srv, history)
	fleetOf.check(t, seed)
	fleetOf.stop()
}

func (m *met) count(f fate, res result, id string) {
	m.calls++
	if f.kill {
		m.kills++
	}
	if f.freeze > 0 {
		m.freezes++
	}
	switch res.state {
	case fleet.NotRun:
		m.notRun++
	case fleet.MayHaveRun:
		m.mayHave++
	case fleet.Done:
		m.whole++
		if res.body != id {
			m.replays++
		}
	default:
		m.unknown++
	}
}

// checkOnce compares what callers were told with what the server ran.
func checkOnce(t *testing.T, seed uint64, srv *server, history []porcupine.Operation) {
	t.Helper()
	ran := map[string]bool{}
	for k, calls := range srv.runs {
		assert.Assert(t, len(calls) <= 1, "seed %d: %s ran %d times: %v", seed, k, len(calls), calls)
		ran[calls[0]] = true
	}
	for _, o := range history {
		in, out := o.Input.(op), o.Output.(result)
		assert.Assert(t, out.state != fleet.NotRun || !ran[in.id], "seed %d: %s was told NOT_RUN and ran", seed, in.id)
	}
	assert.Assert(t, porcupine.CheckOperations(oneRun.ToModel(), history), "seed %d: the history has no order with one run", seed)
}

// daemons is a fleet in which a killed daemon is replaced.
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
	if !d.live[i].dead() {
		return d.live[i]
	}
	fresh := d.add()
	d.live[i] = fresh
	d.live = d.live[:len(d.live)-1]
	return fresh
}

// check asserts that after the faults nothing is left unrecorded and every
// living daemon has the same state.
func (d *daemons) check(t *testing.T, seed uint64) {
	t.Helper()
	last := newDaemon(d.log, "reader", d.shards)
	time.Sleep(5 * time.Second)
	for _, n := range d.live {
		if n.dead() {
			continue
		}
		assert.Equal(t, n.client.Pending(), 0, "seed %d: daemon %s", seed, n.id)
		for shard, book := range n.books {
			got, err := book.Snapshot()
			assert.NilError(t, err)
			want, err := last.books[shard].Snapshot()
			assert.NilError(t, err)
			assert.Assert(t, string(got) == string(want), "seed %d: daemon %s folds another state of shard %d", seed, n.id, shard)
		}
	}
	last.stop()
}

func (d *daemons) stop() {
	for _, n := range d.all {
		n.stop()
	}
}
