package site

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

var (
	silenceSeed  = flag.Uint64("silence-seed", 1, "first seed of the days with silent servers and changes of the document")
	silenceCount = flag.Int("silence-count", 4, "number of seeds")
)

// Times of a day with silent servers.
const (
	silenceDay    = 12 * time.Second
	minSilence    = 300 * time.Millisecond
	maxSilence    = 2500 * time.Millisecond
	maxAway       = 1500 * time.Millisecond // of an entry, or of a name in the document
	documentEvery = 400 * time.Millisecond  // at most
	// deadlineSlack is how long before its deadline a request may end without a
	// complete answer.
	deadlineSlack = 500 * time.Millisecond
)

// Sound servers fall silent and go on, documents change, take names away and bring
// them back, and entries of the server list are missing or foreign, all at random.
// Each request ends with a complete answer or with a status, an unsafe one runs at
// most once, and not at all where the status says so.
func TestRequestsWereLostAmongSilencesAndDocuments(t *testing.T) {
	for seed := *silenceSeed; seed < *silenceSeed+uint64(*silenceCount); seed++ {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runSilenceSeed(t, seed) })
		})
	}
}

func runSilenceSeed(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	w, err := New(Options{Daemons: 2 + rng.IntN(3), Engines: 24, Plains: 3})
	assert.NilError(t, err)
	defer time.Sleep(settleTime) // lets pending dials end
	defer w.Close()
	time.Sleep(leadTime)
	w.Publish(longDocument(2))
	time.Sleep(2 * time.Second)
	end := time.Now().Add(silenceDay)
	var tasks sync.WaitGroup
	tasks.Go(func() { silenceAtRandom(w, rand.New(rand.NewPCG(seed, 2)), end) })
	tasks.Go(func() { changeAtRandom(w, rand.New(rand.NewPCG(seed, 3)), end) })
	tasks.Go(func() { disturbList(w, rand.New(rand.NewPCG(seed, 4)), end) })
	var results lossCounts
	sendUntil(t, w, rand.New(rand.NewPCG(seed, 5)), end, &results)
	tasks.Wait()
	t.Logf("%d requests, %d complete, %d refused, %d at their deadlines, %d broken off by engines, %d lost", results.sent, results.complete, results.refused, results.late, results.brokenOff, results.lost)
	assert.Check(t, results.lost == 0, "%d of %d requests got neither a complete answer nor a refusal", results.lost, results.sent)
	assert.Check(t, results.complete*3 > results.sent, "%d of %d requests were served", results.complete, results.sent)
	assert.DeepEqual(t, w.Violations(), []string(nil))
}

// lossCounts counts the requests of a day by their ends.
type lossCounts struct {
	mu                                  sync.Mutex
	sent, complete, refused, late, lost int
	// brokenOff counts streams that an engine broke off, and that were not resumed.
	brokenOff int
}

func (c *lossCounts) add(t *testing.T, w *World, id string, r Response, complete bool, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent++
	switch {
	case complete:
		c.complete++
	case r.Err == nil && r.Status >= http.StatusBadRequest:
		c.refused++
	case took >= longDeadlineMs*time.Millisecond-deadlineSlack:
		c.late++
	case w.BrokenOff(id):
		c.brokenOff++
	default:
		if c.lost++; c.lost <= 2 {
			t.Logf("%s after %s: status %d, error %v, body %q", id, took, r.Status, r.Err, r.Body)
		}
	}
}

// sendUntil sends streams of both models, and safe and unsafe calls, to all daemons.
func sendUntil(t *testing.T, w *World, rng *rand.Rand, end time.Time, results *lossCounts) {
	var callers sync.WaitGroup
	for n := 0; time.Now().Before(end); n++ {
		d, kind := w.Daemons[rng.IntN(len(w.Daemons))], rng.IntN(6)
		id := fmt.Sprintf("seeded-%d", n)
		callers.Go(func() {
			began := time.Now()
			if kind < 4 {
				r := w.streamLong(d, id, []string{ModelOfTwo, ModelOfThree}[kind%2])
				results.add(t, w, id, r, r.IsComplete(id), time.Since(began))
				return
			}
			path := []string{"safe", "unsafe"}[kind%2]
			r := w.Call(d, http.MethodPost, "/"+path+"/x", id, "", "entry "+id, http.Header{"X-Carawayproxy-Deadline-Ms": {fmt.Sprint(longDeadlineMs)}})
			results.add(t, w, id, r, r.Err == nil && r.Status == http.StatusOK && r.Body == "entry "+id, time.Since(began))
			if runs := w.RunCount(id); path == "unsafe" {
				assert.Check(t, runs <= 1, "%s ran %d times", id, runs)
				assert.Check(t, runs == 0 || r.Status != http.StatusServiceUnavailable, "%s ran and was answered 503", id)
			}
		})
		time.Sleep(time.Duration(20+rng.IntN(60)) * time.Millisecond)
	}
	callers.Wait()
}

// silenceAtRandom makes servers silent until end, one choice of servers at a time.
func silenceAtRandom(w *World, rng *rand.Rand, end time.Time) {
	for time.Now().Before(end) {
		length := minSilence + time.Duration(rng.Int64N(int64(maxSilence-minSilence)))
		engines := w.engines()
		switch e := engines[rng.IntN(len(engines))]; rng.IntN(7) {
		case 0:
			w.Silence(e, length)
		case 1:
			w.SilenceInside(e, length)
		case 2:
			w.SilenceDomain(e.domain, length)
		case 3:
			w.SilenceAll(length, EngineService)
		case 4:
			w.SilenceAll(length, PlainService)
		case 5:
			for _, leader := range w.membersOf([]string{ModelOfTwo, ModelOfThree}[rng.IntN(2)], 0) {
				w.SilenceInside(leader, length)
				time.Sleep(time.Duration(rng.IntN(400)) * time.Millisecond)
			}
		default:
			w.SilencePlain(w.Plains[rng.IntN(len(w.Plains))], length)
		}
		time.Sleep(length + time.Duration(rng.IntN(1500))*time.Millisecond)
	}
}

// changeAtRandom publishes documents until end, and at last one that names all.
func changeAtRandom(w *World, rng *rand.Rand, end time.Time) {
	version := 2
	publish := func(document func(version int) map[string]any) {
		version++
		w.Publish(document(version))
	}
	for time.Now().Before(end) {
		pause := time.Duration(rng.Int64N(int64(documentEvery)))
		switch rng.IntN(9) {
		case 0:
			publish(func(v int) map[string]any { return withoutModel(longDocument(v), ModelOfTwo) })
			pause = time.Duration(rng.Int64N(int64(maxAway)))
		case 1:
			publish(func(v int) map[string]any { return withoutService(longDocument(v), EngineService) })
			pause = time.Duration(rng.Int64N(int64(maxAway)))
		case 2:
			publish(func(v int) map[string]any { return withoutService(longDocument(v), PlainService) })
			pause = time.Duration(rng.Int64N(int64(maxAway)))
		case 3:
			publish(func(v int) map[string]any {
				return without(longDocument(v), []string{"stream", "safe", "unsafe"}[rng.IntN(3)])
			})
		default:
			publish(func(v int) map[string]any { return changedDocument(v, rng.IntN(documentChanges)) })
		}
		time.Sleep(pause)
		if rng.IntN(2) == 0 {
			publish(longDocument)
		}
	}
	publish(longDocument)
}

// disturbList removes entries of the server list for a time, and adds foreign
// entries that name a group with a higher epoch.
func disturbList(w *World, rng *rand.Rand, end time.Time) {
	for n := 0; time.Now().Before(end); n++ {
		engines := w.engines()
		e, away := engines[rng.IntN(len(engines))], time.Duration(rng.Int64N(int64(maxAway)))
		if rng.IntN(3) > 0 {
			w.Store.Put("keyed.servers", e.ID, nil)
			w.runAfter(away, e.announce)
		} else if e = w.Member(ModelOfTwo, 0); e != nil {
			key := fmt.Sprintf("foreign-%d", n)
			w.Store.Put("keyed.servers", key, w.foreignEntry(e, PlainService, n, 1<<40))
			w.runAfter(away, func() { w.Store.Put("keyed.servers", key, nil) })
		}
		time.Sleep(time.Duration(500+rng.IntN(2500)) * time.Millisecond)
	}
}
