package site

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"carawayproxy.example/caraway/internal/suspect"
)

// stableAfter is how long after a disturbance of the store the bounds hold again.
const stableAfter = 3 * time.Second

// renewEntries makes the entries of the plain servers change for some time, as those of
// servers that have just started.
func renewEntries(w *World, length time.Duration) {
	const interval = 200 * time.Millisecond
	for range length / interval {
		for _, p := range w.Plains {
			p.announce("ready")
		}
		time.Sleep(interval)
	}
}

// checkUnused checks that requests to the daemons do not reach the first plain server.
func checkUnused(t *testing.T, w *World, daemons []*Daemon, name string) {
	t.Helper()
	for _, d := range daemons {
		for n := range 4 {
			r := w.Call(d, http.MethodPost, "/unsafe/x", fmt.Sprintf("%s-%s-%d", name, d.name, n), "", "", nil)
			stamp := r.Header.Get("X-Carawayproxy-Server-Stamp")
			assert.Check(t, r.Status == http.StatusOK && stamp != "proof-"+w.Plains[0].ID, "%s: status %d, stamp %q, %v, %s", d.name, r.Status, stamp, r.Err, r.Body)
		}
	}
}

// The store came back from a copy and gave out offsets again. Changes of the list at
// offsets below those before were taken for old: a server that drains got requests until
// the topic had grown past its former end.
func TestChangesAfterARestoreWereSkipped(t *testing.T) {
	leave := map[string]func(w *World){
		"draining": func(w *World) { w.Plains[0].announce("draining") },
		"deleted":  func(w *World) { w.Store.Put("keyed.servers", w.Plains[0].ID, nil) },
	}
	for _, test := range []struct {
		name string
		// namesNoEra is set for a store that names no era before the drill.
		namesNoEra bool
		leave      string // after the drill; empty if the drill includes it
		drill      func(w *World)
	}{
		{name: "draining", leave: "draining", drill: func(w *World) { w.Drill(time.Second, 5*time.Second) }},
		{name: "deleted", leave: "deleted", drill: func(w *World) { w.Drill(time.Second, 5*time.Second) }},
		{name: "away for an instant", leave: "draining", drill: func(w *World) { w.Drill(time.Millisecond, 5*time.Second) }},
		{name: "first era that is named", namesNoEra: true, leave: "draining", drill: func(w *World) { w.Drill(time.Second, 5*time.Second) }},
		{name: "twice", leave: "draining", drill: func(w *World) {
			w.Drill(time.Second, 5*time.Second)
			time.Sleep(500 * time.Millisecond)
			w.Drill(time.Second, 3*time.Second)
		}},
		{name: "grown past its former end at once", drill: func(w *World) {
			w.Drill(time.Millisecond, 500*time.Millisecond)
			leave["draining"](w)
			for range 40 {
				w.Plains[1].announce("ready")
			}
		}},
		{name: "a daemon sleeps through it", leave: "draining", drill: func(w *World) {
			sleeper := w.Daemons[len(w.Daemons)-1]
			w.Net.Freeze(sleeper.ip)
			w.Drill(time.Second, 5*time.Second)
			time.Sleep(2 * time.Second)
			w.Net.Thaw(sleeper.ip)
		}},
		{name: "a daemon starts within it", leave: "draining", drill: func(w *World) {
			last := w.Daemons[len(w.Daemons)-1]
			last.Kill()
			w.runAfter(900*time.Millisecond, func() { _ = last.Start(false) })
			w.Drill(time.Second, 5*time.Second)
		}},
		{name: "the reader dies within it", leave: "draining", drill: func(w *World) {
			reader := readerOf(w)
			reader.Kill()
			w.runAfter(2*time.Second, func() { _ = reader.Start(false) })
			w.Drill(time.Second, 5*time.Second)
		}},
	} {
		for _, daemons := range []int{3, 24} {
			if underRace && daemons > 3 {
				continue
			}
			t.Run(fmt.Sprintf("%s, %d daemons", test.name, daemons), func(t *testing.T) {
				o := Options{Daemons: daemons, Engines: 24, Plains: 2, Zones: 3, NamesNoEra: test.namesNoEra}
				runWorldWith(t, o, func(t *testing.T, w *World) {
					renewEntries(w, 6*time.Second)
					test.drill(w)
					time.Sleep(stableAfter + heartbeatInterval)
					if test.leave != "" {
						leave[test.leave](w)
					}
					time.Sleep(drainBound)
					checkUnused(t, w, w.Daemons, "late")
				})
			})
		}
	}
}

// A restored list shows servers that have left: an entry that had been removed, or one
// that said ready where the last one said draining. They got requests until the entry
// expired or was written again.
func TestServerThatHadLeftReturnedWithTheCopy(t *testing.T) {
	const (
		age   = 6 * time.Second // of the copy: it shows the server as it was before it left
		until = 5 * time.Second // by then the list is as before
	)
	for name, leave := range map[string]func(w *World){
		"draining": func(w *World) { w.Plains[0].announce("draining") },
		"deleted":  func(w *World) { w.Store.Put("keyed.servers", w.Plains[0].ID, nil) },
		"deleted after draining": func(w *World) {
			w.Plains[0].announce("draining")
			time.Sleep(time.Second)
			w.Store.Put("keyed.servers", w.Plains[0].ID, nil)
		},
	} {
		for _, away := range []time.Duration{time.Millisecond, time.Second} {
			for _, daemons := range []int{3, 24} {
				if underRace && daemons > 3 {
					continue
				}
				t.Run(fmt.Sprintf("%s, away %s, %d daemons", name, away, daemons), func(t *testing.T) {
					runLargerWorld(t, daemons, func(t *testing.T, w *World) {
						leave(w)
						time.Sleep(drainBound)
						w.Drill(away, age)
						for n := 0; n < 10; n++ {
							checkUnused(t, w, w.Daemons, fmt.Sprint("after-", n))
							time.Sleep(until / 10)
						}
					})
				})
			}
		}
	}
}

// A restored list lacks the servers that had started since, and shows engines outside of
// the groups that they had joined. They were dropped until their entries were back.
func TestServersMissingInTheCopyWereDropped(t *testing.T) {
	sinceStart := func(w *World) time.Duration { return time.Since(w.started) }
	for name, drill := range map[string]func(w *World){
		"engines outside of groups":    func(w *World) { w.Drill(time.Millisecond, sinceStart(w)) },
		"the same, away for a second":  func(w *World) { w.Drill(time.Second, sinceStart(w)) },
		"no servers":                   func(w *World) { w.Drill(time.Millisecond, sinceStart(w)+time.Second) },
		"no servers, away for seconds": func(w *World) { w.Drill(2500*time.Millisecond, sinceStart(w)+time.Second) },
		"twice": func(w *World) {
			w.Drill(100*time.Millisecond, sinceStart(w)+time.Second)
			time.Sleep(700 * time.Millisecond)
			w.Drill(100*time.Millisecond, sinceStart(w))
		},
	} {
		for _, daemons := range []int{3, 24} {
			if underRace && daemons > 3 {
				continue
			}
			t.Run(fmt.Sprintf("%s, %d daemons", name, daemons), func(t *testing.T) {
				runLargerWorld(t, daemons, func(t *testing.T, w *World) {
					groups, orders := w.OpenGroups(ModelOfTwo)+w.OpenGroups(ModelOfThree), w.OrderCount()
					w.runAfter(time.Second, func() { drill(w) })
					var calls sync.WaitGroup
					calls.Go(func() {
						for _, r := range sendEvery(w, 40*time.Millisecond, 6*time.Second, func(d *Daemon, id string) Response {
							return w.Call(d, http.MethodPost, "/unsafe/x", id, "", "entry "+id, nil)
						}) {
							assert.Check(t, r.Status == http.StatusOK, "%s: status %d, %v, %s", r.id, r.Status, r.Err, r.Body)
						}
					})
					cut, rejected := countCutAndRejected(t, sendStreams(w, ModelOfTwo, 6*time.Second))
					calls.Wait()
					assert.Equal(t, cut+rejected, 0)
					assert.Equal(t, w.OpenGroups(ModelOfTwo)+w.OpenGroups(ModelOfThree), groups)
					assert.Equal(t, w.OrderCount(), orders)
				})
			})
		}
	}
}

// What the daemons had written was lost with the copy: their addresses, without which
// daemons that start later don't find them, and verdicts on requests that crash servers.
func TestDaemonsRecordsWereLostWithTheCopy(t *testing.T) {
	verdict := suspect.Verdict{Fingerprint: 8, Until: time.Now().Add(1000 * time.Hour).UnixMilli()}
	encoded, err := cbor.Marshal(verdict)
	assert.NilError(t, err)
	for _, away := range []time.Duration{time.Millisecond, time.Second} {
		for _, daemons := range []int{3, 24} {
			if underRace && daemons > 3 {
				continue
			}
			t.Run(fmt.Sprintf("away %s, %d daemons", away, daemons), func(t *testing.T) {
				runLargerWorld(t, daemons, func(t *testing.T, w *World) {
					topics := []string{"keyed.caraway.endpoints", "keyed.caraway.daemons", "keyed.caraway.verdicts"}
					w.Store.Put("keyed.caraway.verdicts", verdict.Fingerprint.String(), encoded)
					for _, d := range w.Daemons { // they read the verdict when they start
						d.Kill()
						assert.NilError(t, d.Start(false))
					}
					time.Sleep(5 * time.Second)
					want := map[string][]string{}
					for _, name := range topics {
						want[name] = w.Store.Keys(name)
					}
					linked := w.Daemons[0].process().CountPeers()
					lowest := linked
					w.Drill(away, time.Since(w.started)+time.Second)
					for range 50 {
						time.Sleep(100 * time.Millisecond)
						lowest = min(lowest, w.Daemons[0].process().CountPeers())
					}
					for _, name := range topics {
						assert.DeepEqual(t, w.Store.Keys(name), want[name])
					}
					assert.Equal(t, lowest, linked, "links to other daemons were closed")
				})
			})
		}
	}
}

// A daemon must not go back to the earlier routing document that a restored store has, and
// must take the next one in time.
func TestDocumentThroughARestore(t *testing.T) {
	withKey := func(version int, key string) map[string]any {
		document := Document(version)
		document["tenants"] = []any{map[string]any{"name": Workspace, "apiKeys": []string{key}, "priority": 1}}
		return document
	}
	for _, away := range []time.Duration{time.Millisecond, time.Second} {
		for _, daemons := range []int{3, 24} {
			if underRace && daemons > 3 {
				continue
			}
			t.Run(fmt.Sprintf("away %s, %d daemons", away, daemons), func(t *testing.T) {
				runLargerWorld(t, daemons, func(t *testing.T, w *World) {
					n := 0
					checkKeys := func(good, bad string) {
						t.Helper()
						for _, d := range w.Daemons {
							for key, status := range map[string]int{good: http.StatusOK, bad: http.StatusUnauthorized} {
								n++
								r := w.Call(d, http.MethodPost, "/unsafe/x", fmt.Sprint("key-", n), "", "", http.Header{"X-Carawayproxy-Key": {key}})
								assert.Check(t, r.Status == status, "%s answers %d to %q, want %d: %v, %s", d.name, r.Status, key, status, r.Err, r.Body)
							}
						}
					}
					w.Publish(withKey(2, "second"))
					time.Sleep(documentBound)
					w.Drill(away, 5*time.Second)
					for range 10 {
						checkKeys("second", Key)
						time.Sleep(300 * time.Millisecond)
					}
					w.Publish(withKey(5, "third"))
					time.Sleep(documentBound)
					checkKeys("third", "second")
				})
			})
		}
	}
}
