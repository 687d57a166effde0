package site

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

var (
	restoreSeed  = flag.Uint64("restore-seed", 1, "first seed of the days on which the store comes back from older copies")
	restoreCount = flag.Int("restore-count", 6, "number of seeds")
)

// Times of a day on which the store comes back from older copies.
const (
	restoreDay    = 30 * time.Second
	maxDrillAway  = 1500 * time.Millisecond
	maxCopyAge    = 8 * time.Second
	maxDrillPause = 9 * time.Second
	minDrillPause = 500 * time.Millisecond // some follow each other closely
)

// The store comes back from older copies at random times, while servers leave and start
// again and daemons are killed. No server gets requests longer than drainBound after the
// store has accepted, while it was stable, that it leaves, at most one daemon holds the
// lease, no unsafe request runs twice, and the engines' rules hold.
func TestRestoresAmongDeparturesAndRestarts(t *testing.T) {
	for seed := *restoreSeed; seed < *restoreSeed+uint64(*restoreCount); seed++ {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runRestoreSeed(t, seed) })
		})
	}
}

// departures holds when servers left, by id, if the store was stable then.
type departures struct {
	mu sync.Mutex
	at map[string]time.Time
	// silent are the servers that have not said that they leave. Their removal is not
	// written again when a copy lacks it.
	silent map[string]bool
}

// forgetUnread forgets the removals that a copy may lack before daemons have read them.
func (d *departures) forgetUnread() {
	const readWithin = 1500 * time.Millisecond
	d.mu.Lock()
	defer d.mu.Unlock()
	maps.DeleteFunc(d.at, func(id string, at time.Time) bool { return d.silent[id] && time.Since(at) < readWithin })
}

func runRestoreSeed(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 21))
	w, err := New(Options{Daemons: 3 + rng.IntN(3), Engines: 24, Plains: 4, NamesNoEra: rng.IntN(3) == 0})
	assert.NilError(t, err)
	defer time.Sleep(settleTime) // lets pending dials end
	defer w.Close()
	time.Sleep(leadTime)
	end := time.Now().Add(restoreDay)
	faults := &disturbances{spans: map[int][][2]time.Time{}}
	left := &departures{at: map[string]time.Time{}, silent: map[string]bool{}}
	var tasks sync.WaitGroup
	tasks.Go(func() { drillAtRandom(w, rand.New(rand.NewPCG(seed, 22)), end, faults, left) })
	tasks.Go(func() { leaveAtRandom(w, rand.New(rand.NewPCG(seed, 23)), end, faults, left) })
	tasks.Go(func() { restartDaemonsAtRandom(t, w, rand.New(rand.NewPCG(seed, 24)), end, faults) })
	tasks.Go(func() {
		for time.Now().Before(end) {
			time.Sleep(20 * time.Millisecond)
			held := holders(w)
			assert.Check(t, len(held) <= 1, "%v hold the lease", held)
		}
	})
	served, sent := callThroughRestores(t, w, end, faults, left)
	tasks.Wait()
	t.Logf("%d of %d requests served, %d departures", served, sent, len(left.at))
	assert.Check(t, served*10 > sent*9, "%d of %d requests were served", served, sent)
	time.Sleep(StableWindow)
	cut, rejected := countCutAndRejected(t, sendStreams(w, ModelOfTwo, 2*time.Second))
	assert.Equal(t, cut+rejected, 0)
	assert.DeepEqual(t, w.Violations(), []string(nil))
}

func drillAtRandom(w *World, rng *rand.Rand, end time.Time, faults *disturbances, left *departures) {
	for time.Now().Before(end) {
		time.Sleep(minDrillPause + rand.N(maxDrillPause-minDrillPause))
		away, age := time.Duration(rng.Int64N(int64(maxDrillAway))), time.Duration(rng.Int64N(int64(maxCopyAge)))
		if rng.IntN(3) == 0 {
			away = time.Millisecond
		}
		left.forgetUnread()
		faults.during(storeDisturbed, func() { w.Drill(away, age) })
	}
}

// leaveAtRandom makes one plain server after the other leave, by its entry or without a
// word, and start again under another id. At least two are there at any time.
func leaveAtRandom(w *World, rng *rand.Rand, end time.Time, faults *disturbances, left *departures) {
	var present atomic.Int32
	present.Store(int32(len(w.Plains)))
	for n := 0; time.Now().Before(end); n++ {
		time.Sleep(time.Duration(500+rng.IntN(2500)) * time.Millisecond)
		for present.Load() <= 2 {
			time.Sleep(100 * time.Millisecond)
		}
		present.Add(-1)
		p := w.Plains[n%len(w.Plains)]
		w.shared.mu.Lock()
		id := p.ID
		w.shared.mu.Unlock()
		stable := faults.inTouch(storeDisturbed, time.Now())
		silent := false
		switch rng.IntN(3) {
		case 0:
			silent = true
			w.Store.Put("keyed.servers", id, nil)
		case 1:
			p.announce("draining")
		default:
			p.announce("draining")
			w.runAfter(time.Duration(rng.IntN(3000))*time.Millisecond, func() { w.Store.Put("keyed.servers", id, nil) })
		}
		if stable {
			left.mu.Lock()
			left.at[id], left.silent[id] = time.Now(), silent
			left.mu.Unlock()
		}
		// It serves on for some time, then ends and starts again.
		w.runAfter(drainBound+time.Duration(500+rng.IntN(1500))*time.Millisecond, func() {
			w.Store.Put("keyed.servers", id, nil)
			w.Update(func() {
				p.restarts++
				p.ID = fmt.Sprintf("%s-%d", p.name, p.restarts)
			})
			p.announce("ready")
			w.runAfter(time.Second, func() { present.Add(1) }) // it is known by then
		})
	}
}

func restartDaemonsAtRandom(t *testing.T, w *World, rng *rand.Rand, end time.Time, faults *disturbances) {
	for time.Now().Before(end) {
		time.Sleep(time.Duration(1000+rng.IntN(4000)) * time.Millisecond)
		i, down := rng.IntN(len(w.Daemons)), time.Duration(50+rng.IntN(1500))*time.Millisecond
		faults.during(i, func() {
			w.Daemons[i].Kill()
			time.Sleep(down)
			assert.Check(t, w.Daemons[i].Start(false) == nil)
		})
	}
}

// callThroughRestores sends unsafe requests to all daemons until end, and returns how many
// of those at daemons in touch were served.
func callThroughRestores(t *testing.T, w *World, end time.Time, faults *disturbances, left *departures) (served, sent int) {
	var mu sync.Mutex
	var callers sync.WaitGroup
	for n := 0; time.Now().Before(end); n++ {
		i, id, sentAt := n%len(w.Daemons), fmt.Sprintf("restored-%d", n), time.Now()
		callers.Go(func() {
			r := w.Call(w.Daemons[i], http.MethodPost, "/unsafe/x", id, "", "entry "+id, nil)
			assert.Check(t, w.RunCount(id) <= 1, "%s ran %d times", id, w.RunCount(id))
			if !faults.inTouch(i, sentAt) {
				return
			}
			server := strings.TrimPrefix(r.Header.Get("X-Carawayproxy-Server-Stamp"), "proof-")
			left.mu.Lock()
			leftAt, hasLeft := left.at[server]
			left.mu.Unlock()
			late := sentAt.Sub(leftAt)
			assert.Check(t, !hasLeft || late <= drainBound, "%s at %s reached %s %s after it had left", id, w.Daemons[i].name, server, late)
			mu.Lock()
			defer mu.Unlock()
			sent++
			if r.Status == http.StatusOK {
				served++
			}
		})
		time.Sleep(25 * time.Millisecond)
	}
	callers.Wait()
	return served, sent
}
