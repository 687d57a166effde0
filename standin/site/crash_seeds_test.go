package site

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

var (
	crashSeed  = flag.Uint64("crash-seed", 1, "first seed of the days with requests that crash servers")
	crashCount = flag.Int("crash-count", 6, "number of seeds")
)

// disturbances holds the times at which daemons were not in touch. The last one
// stands for the store, whose disturbances concern all daemons.
type disturbances struct {
	mu    sync.Mutex
	spans map[int][][2]time.Time
	// restarting holds one value while a daemon is being restarted.
	restarting []chan struct{}
}

const storeDisturbed = -1

// during runs a fault on a daemon, or on the store.
func (d *disturbances) during(daemon int, fault func()) {
	began := time.Now()
	d.mu.Lock()
	d.spans[daemon] = append(d.spans[daemon], [2]time.Time{began, {}})
	i := len(d.spans[daemon]) - 1
	d.mu.Unlock()
	fault()
	d.mu.Lock()
	d.spans[daemon][i][1] = time.Now()
	d.mu.Unlock()
}

// inTouch reports whether neither the daemon nor the store was disturbed within
// StableWindow before a time.
func (d *disturbances) inTouch(daemon int, at time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, of := range []int{daemon, storeDisturbed} {
		for _, span := range d.spans[of] {
			if span[0].Before(at) && (span[1].IsZero() || at.Sub(span[1]) < StableWindow) {
				return false
			}
		}
	}
	return true
}

// Requests that crash servers, repeated or with a part of their prompts in
// common, among sound ones, while daemons are killed, stopped and cut from the
// store, the store is away, servers leave and engines end for other reasons. The
// bounds hold for what daemons in touch send.
func TestCrashingRequestsAmongFaults(t *testing.T) {
	for seed := *crashSeed; seed < *crashSeed+uint64(*crashCount); seed++ {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runCrashSeed(t, seed) })
		})
	}
}

func runCrashSeed(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	w, err := New(Options{Daemons: 3 + rng.IntN(3), Engines: 48, Plains: 3})
	assert.NilError(t, err)
	defer time.Sleep(settleTime) // lets pending dials end
	defer w.Close()
	time.Sleep(leadTime)
	bad := [][]string{{"aa", "bad"}, {"bad", "b3"}, {"aa", "b1", "bad"}}[rng.IntN(3):3]
	parts := []string{"bad"}
	if rng.IntN(3) == 0 {
		bad, parts = append(bad, []string{"aa", "bad2"}), append(parts, "bad2")
	}
	for _, part := range parts {
		w.CrashOn(part)
	}
	start := time.Now()
	first, end := start.Add(time.Duration(5+rng.IntN(10))*time.Second), start.Add(70*time.Second)
	disturbed := &disturbances{spans: map[int][][2]time.Time{}}
	for range w.Daemons {
		disturbed.restarting = append(disturbed.restarting, make(chan struct{}, 1))
	}
	var tasks sync.WaitGroup
	repeats := rng.IntN(2) == 0
	tasks.Go(func() {
		time.Sleep(time.Until(first))
		var senders sync.WaitGroup
		senders.Go(func() { sendBadPrompts(w, bad, 0, end) })
		if repeats {
			senders.Go(func() { sendCrashing(w, end) })
		}
		senders.Wait()
	})
	tasks.Go(func() { disturbed.inject(t, w, rand.New(rand.NewPCG(seed, 2)), end.Add(-25*time.Second)) })
	quiet, later := sendSoundPrompts(w, start, first, end)
	tasks.Wait()
	w.shared.mu.Lock()
	defer w.shared.mu.Unlock()
	t.Logf("%d crashes by parts, %d by a repeated request; of the sound requests %.2f served in quiet times, %.2f later",
		len(w.shared.crashes["bad"])+len(w.shared.crashes["bad2"]), len(w.shared.crashes[CrashingBody]), quiet, later)
	for cause, crashes := range map[string]int{"bad": CrashesOfPart, "bad2": CrashesOfPart, CrashingBody: CrashesOfRequest} {
		times := w.shared.crashes[cause]
		if len(times) < crashes {
			continue
		}
		late := 0
		for _, run := range w.shared.crashingRuns[cause] {
			if run.at.Sub(times[crashes-1]) > StableWindow && disturbed.inTouch(indexOf(w, run.request), run.at) {
				late++
			}
		}
		assert.Check(t, late <= MaxLateSends, "%s: %d sends by daemons in touch later than %s after %d crashes, %d crashes in all", cause, late, StableWindow, crashes, len(times))
	}
	assert.Check(t, later >= quiet/2, "%.2f of the sound requests served in quiet times, %.2f later", quiet, later)
}

// inject injects faults, one at a time or two together, until end.
func (d *disturbances) inject(t *testing.T, w *World, rng *rand.Rand, end time.Time) {
	var faults sync.WaitGroup
	for time.Now().Before(end) {
		i, kind, length := rng.IntN(len(w.Daemons)), rng.IntN(7), time.Duration(500+rng.IntN(4000))*time.Millisecond
		faults.Go(func() {
			switch kind {
			case 0:
				d.during(i, func() { d.restart(t, w, i, w.Daemons[i].Kill) })
			case 1:
				d.during(i, func() { d.restart(t, w, i, w.Daemons[i].Drain) })
			case 2:
				d.during(storeDisturbed, func() {
					w.Store.SetUnavailable(true)
					time.Sleep(length)
					w.Store.SetUnavailable(false)
				})
			case 3:
				d.during(i, func() {
					w.Net.CutBoth(w.Daemons[i].ip, storeIP)
					time.Sleep(length)
					w.Net.Heal(w.Daemons[i].ip, storeIP)
				})
			case 4:
				d.during(storeDisturbed, func() { w.Store.TruncateHistory("keyed.servers") })
			case 5:
				p := w.Plains[i%len(w.Plains)]
				p.announce("draining")
				time.Sleep(length)
				p.announce("ready")
			default:
				if e := w.Member(ModelOfTwo, 0); e != nil {
					w.CrashEngine(e)
				}
			}
		})
		time.Sleep(time.Duration(rng.IntN(3000)) * time.Millisecond)
	}
	faults.Wait()
}

// restart ends a daemon and starts it again. Faults on one daemon follow each
// other.
func (d *disturbances) restart(t *testing.T, w *World, i int, stop func()) {
	d.restarting[i] <- struct{}{} // a mutex would keep the virtual time from passing
	defer func() { <-d.restarting[i] }()
	stop()
	assert.Check(t, w.Daemons[i].Start(false) == nil)
}

// indexOf returns the index of the daemon that a request of these tests was sent
// to, by its id "name-N".
func indexOf(w *World, id string) int {
	n := 0
	for i := len(id) - 1; i >= 0 && id[i] >= '0' && id[i] <= '9'; i-- {
		n++
	}
	number := 0
	fmt.Sscan(id[len(id)-n:], &number)
	return number % len(w.Daemons)
}
