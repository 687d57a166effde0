package site

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	carawayv1 "carawayproxy.example/caraway/api/caraway/v1"
	"carawayproxy.example/caraway/api/caraway/v1/carawayv1connect"
	"carawayproxy.example/caraway/internal/suspect"
)

// crashCount returns how often requests have crashed a server.
func (w *World) crashCount() int {
	w.shared.mu.Lock()
	defer w.shared.mu.Unlock()
	n := 0
	for _, times := range w.shared.crashes {
		n += len(times)
	}
	return n
}

// A caller sends a request that crashes each server that runs it again and
// again, at all daemons in turn. Servers that were back were crashed anew each
// time, and the other callers had no server.
func TestCrashingRequestKeptReachingServers(t *testing.T) {
	for _, test := range []struct {
		name string
		// storeAway is how long the store is unavailable from the first crash on.
		storeAway time.Duration
		// restarted daemons are restarted restartAfter after the second crash.
		restarted    []int
		restartAfter time.Duration
	}{
		{name: "calm"},
		{name: "store away", storeAway: 15 * time.Second},
		{name: "a daemon restarts", restarted: []int{0}, restartAfter: 2 * time.Second},
		{name: "a daemon restarts later", restarted: []int{0}, restartAfter: 40 * time.Second},
		{name: "a daemon restarts while the store is away", storeAway: 15 * time.Second, restarted: []int{1}, restartAfter: 2 * time.Second},
		{name: "all daemons restart", restarted: []int{0, 1, 2}, restartAfter: 2 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w, err := New(Options{Daemons: 3, Engines: 4, Plains: 3})
				assert.NilError(t, err)
				defer time.Sleep(settleTime) // lets pending dials end
				defer w.Close()
				time.Sleep(leadTime)
				if test.storeAway > 0 {
					w.Store.SetUnavailable(true)
					w.runAfter(test.storeAway, func() { w.Store.SetUnavailable(false) })
				}
				end := time.Now().Add(70 * time.Second)
				var tasks sync.WaitGroup
				tasks.Go(func() { sendCrashing(w, end) })
				tasks.Go(func() {
					for w.crashCount() < 2 && time.Now().Before(end) {
						time.Sleep(100 * time.Millisecond)
					}
					time.Sleep(test.restartAfter)
					for _, i := range test.restarted {
						w.Daemons[i].Kill()
					}
					for _, i := range test.restarted {
						assert.NilError(t, w.Daemons[i].Start(false))
					}
				})
				served, sent := sendSound(w, time.Now().Add(25*time.Second), end)
				tasks.Wait()
				assert.Assert(t, w.crashCount() > 0)
				late := w.LateCrashingRuns(CrashingBody, CrashesOfRequest, time.Time{})
				t.Logf("%d crashes, %d late sends; %d of %d other requests served from 25 s on", w.crashCount(), late, served, sent)
				assert.Check(t, w.crashCount() <= CrashesOfRequest+MaxLateSends, "%d crashes", w.crashCount())
				assert.Check(t, late <= MaxLateSends, "%d sends of the request after three crashes and %s, %d crashes", late, StableWindow, w.crashCount())
				assert.Check(t, served*100 >= sent*99, "%d of %d other requests served from 25 s on", served, sent)
				r := w.Call(w.Daemons[2], http.MethodPost, "/safe/x", "last", "", CrashingBody, nil)
				assert.Check(t, r.Status == http.StatusServiceUnavailable, "status %d", r.Status)
				after, _ := strconv.ParseFloat(r.Header.Get("Retry-After"), 64)
				assert.Check(t, after > time.Minute.Seconds(), "Retry-After %q", r.Header.Get("Retry-After"))
			})
		})
	}
}

// A server that breaks off its answers still listens. A request that is sent
// again after lost answers is not taken for one that crashes servers.
func TestLostAnswersConvictNobody(t *testing.T) {
	runWorld(t, func(t *testing.T, w *World) {
		w.Update(func() { w.Plains[0].DropResponses, w.Plains[1].DropResponses = true, true })
		for n := range 20 {
			r := w.Call(w.Daemons[n%len(w.Daemons)], http.MethodPost, "/safe/x", fmt.Sprintf("lost-%d", n), "", "again", nil)
			assert.Equal(t, r.Status, http.StatusBadGateway)
			time.Sleep(200 * time.Millisecond)
		}
		w.Update(func() { w.Plains[0].DropResponses, w.Plains[1].DropResponses = false, false })
		assert.Equal(t, w.Call(w.Daemons[0], http.MethodPost, "/safe/x", "last", "", "again", nil).Status, http.StatusOK)
	})
}

// Requests that share one part of their prompts crash each engine that begins to
// write an answer, no two of them alike. They crashed group after group, and
// the sound requests that share the caller and the other parts had no engine.
func TestRequestsWithOnePartKeptCrashingEngines(t *testing.T) {
	for _, test := range []struct {
		name string
		// bad are the prompts' parts, less the last, that bad requests use in turn.
		bad [][]string
		// crashing are the parts that crash engines.
		crashing []string
		// storeAway is how long the store is unavailable from the first crash on.
		storeAway time.Duration
		// restarted daemons are restarted restartAfter after the fifth crash.
		restarted    []int
		restartAfter time.Duration
		// otherCrashes is the interval at which engines end for other reasons.
		otherCrashes time.Duration
		// pauseAfter is the number of bad requests after which none are sent for
		// longer than StableWindow, zero for no pause.
		pauseAfter int
	}{
		{name: "calm", bad: [][]string{{"aa", "bad"}}, crashing: []string{"bad"}},
		{name: "first part", bad: [][]string{{"bad", "b3"}, {"bad", "b4"}}, crashing: []string{"bad"}},
		{name: "two parts at once", bad: [][]string{{"aa", "bad"}, {"aa", "b2", "bad2"}}, crashing: []string{"bad", "bad2"}},
		{name: "other crashes", bad: [][]string{{"aa", "b1", "bad"}}, crashing: []string{"bad"}, otherCrashes: 4 * time.Second},
		{name: "store away", bad: [][]string{{"aa", "bad"}}, crashing: []string{"bad"}, storeAway: 10 * time.Second},
		{name: "a daemon restarts", bad: [][]string{{"aa", "bad"}}, crashing: []string{"bad"}, restarted: []int{0}, restartAfter: 2 * time.Second},
		{name: "a daemon restarts later", bad: [][]string{{"aa", "bad"}}, crashing: []string{"bad"}, restarted: []int{2}, restartAfter: 30 * time.Second},
		{name: "all daemons restart", bad: [][]string{{"aa", "bad"}}, crashing: []string{"bad"}, restarted: []int{0, 1, 2}, restartAfter: 2 * time.Second},
		{name: "a pause after two requests", bad: [][]string{{"aa", "bad"}}, crashing: []string{"bad"}, pauseAfter: 2},
		{name: "a pause after three requests", bad: [][]string{{"aa", "bad"}}, crashing: []string{"bad"}, pauseAfter: 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w, err := New(Options{Daemons: 3, Engines: 48, Plains: 1})
				assert.NilError(t, err)
				defer time.Sleep(settleTime) // lets pending dials end
				defer w.Close()
				time.Sleep(leadTime)
				for _, part := range test.crashing {
					w.CrashOn(part)
				}
				start := time.Now()
				bad, end := start.Add(10*time.Second), start.Add(70*time.Second)
				var tasks sync.WaitGroup
				tasks.Go(func() {
					time.Sleep(time.Until(bad))
					if test.storeAway > 0 {
						w.Store.SetUnavailable(true)
						w.runAfter(test.storeAway, func() { w.Store.SetUnavailable(false) })
					}
					sendBadPrompts(w, test.bad, test.pauseAfter, end)
				})
				tasks.Go(func() {
					for w.crashCount() < CrashesOfPart && time.Now().Before(end) {
						time.Sleep(100 * time.Millisecond)
					}
					time.Sleep(test.restartAfter)
					for _, i := range test.restarted {
						w.Daemons[i].Kill()
					}
					for _, i := range test.restarted {
						assert.NilError(t, w.Daemons[i].Start(false))
					}
				})
				if test.otherCrashes > 0 {
					tasks.Go(func() {
						for time.Now().Before(end) {
							time.Sleep(test.otherCrashes)
							if e := w.Member(ModelOfTwo, 0); e != nil {
								w.CrashEngine(e)
							}
						}
					})
				}
				quiet, later := sendSoundPrompts(w, start, bad, end)
				tasks.Wait()
				t.Logf("%d crashes; of the sound requests %.2f served in quiet times, %.2f later", w.crashCount(), quiet, later)
				for _, part := range test.crashing {
					late := w.LateCrashingRuns(part, CrashesOfPart, time.Time{})
					assert.Check(t, late <= MaxLateSends, "part %s: %d sends later than %s after five crashes, %d crashes in all", part, late, StableWindow, w.crashCount())
				}
				assert.Check(t, later >= quiet/2, "%.2f of the sound requests served in quiet times, %.2f later", quiet, later)
				assert.Check(t, quiet > 0.9, "%.2f of the sound requests served in quiet times", quiet)
			})
		})
	}
}

// sendBadPrompts sends requests with the given parts to all daemons in turn, and
// pauses after the given number of them. No two of them are alike.
func sendBadPrompts(w *World, parts [][]string, pauseAfter int, end time.Time) {
	var callers sync.WaitGroup
	for n := 0; time.Now().Before(end); n++ {
		callers.Go(func() {
			id := fmt.Sprintf("bad-%d", n)
			w.Call(w.Daemons[n%len(w.Daemons)], http.MethodPost, "/stream/x", id, ModelOfTwo, id, Prompt(parts[n%len(parts)], n))
		})
		if n+1 == pauseAfter {
			time.Sleep(StableWindow + time.Second)
		}
		time.Sleep(300 * time.Millisecond)
	}
	callers.Wait()
}

// sendSoundPrompts sends requests that share the caller and the other parts with
// the bad ones to all daemons in turn. It returns the share that was served of
// those sent before the bad ones, and of those sent later than 25 s after them.
func sendSoundPrompts(w *World, start, bad, end time.Time) (quiet, later float64) {
	var mu sync.Mutex
	var callers sync.WaitGroup
	var sent, served [2]int
	for n := 0; time.Now().Before(end); n++ {
		at := time.Now()
		callers.Go(func() {
			id := fmt.Sprintf("sound-%d", n)
			parts := []string{"aa", fmt.Sprintf("b%d", n%6)}
			r := w.Call(w.Daemons[n%len(w.Daemons)], http.MethodPost, "/stream/x", id, ModelOfTwo, id, Prompt(parts, n))
			period := 0
			switch {
			case at.After(bad.Add(25 * time.Second)):
				period = 1
			case at.After(bad.Add(-3 * time.Second)), r.Err != nil && r.Status == 0:
				return // bad requests are about to be sent, or the daemon is being restarted
			}
			mu.Lock()
			defer mu.Unlock()
			sent[period]++
			if r.IsComplete(id) {
				served[period]++
			}
		})
		time.Sleep(100 * time.Millisecond)
	}
	callers.Wait()
	return float64(served[0]) / float64(max(sent[0], 1)), float64(served[1]) / float64(max(sent[1], 1))
}

// adminClient returns a client of a daemon's admin service.
func (d *Daemon) adminClient() carawayv1connect.AdminServiceClient {
	return carawayv1connect.NewAdminServiceClient(d.world.client, "http://"+net.JoinHostPort(d.ip, portAdmin))
}

// An operator sees the verdict at any daemon and clears it for all of them, also
// for one that starts later.
func TestOperatorClearsAVerdict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, err := New(Options{Daemons: 3, Engines: 4, Plains: 3})
		assert.NilError(t, err)
		defer time.Sleep(settleTime) // lets pending dials end
		defer w.Close()
		time.Sleep(leadTime)
		sendCrashing(w, time.Now().Add(5*time.Second))
		var fingerprint string
		for _, d := range w.Daemons {
			list, err := d.adminClient().ListSuspects(t.Context(), connect.NewRequest(&carawayv1.ListSuspectsRequest{}))
			assert.NilError(t, err)
			assert.Equal(t, len(list.Msg.Suspects), 1)
			s := list.Msg.Suspects[0]
			assert.Assert(t, s.Deaths >= 2 && !s.Cleared && !s.Part && s.Decided != "", "%v", s)
			fingerprint = list.Msg.Suspects[0].Fingerprint
		}
		_, err = w.Daemons[0].adminClient().ClearSuspect(t.Context(), connect.NewRequest(&carawayv1.ClearSuspectRequest{Fingerprint: fingerprint}))
		assert.NilError(t, err)
		w.Daemons[2].Kill()
		assert.NilError(t, w.Daemons[2].Start(false))
		time.Sleep(4 * time.Second)
		for n, d := range w.Daemons {
			crashes := w.crashCount()
			w.Call(d, http.MethodPost, "/safe/x", fmt.Sprintf("cleared-%d", n), "", CrashingBody, nil)
			assert.Assert(t, w.crashCount() > crashes, "the request did not run at %s", d.name)
			time.Sleep(10 * time.Second)
		}
	})
}

// Verdicts that have ended were left in the store: a daemon deletes them only if
// it holds the lease, and none does when it starts and reads them.
func TestExpiredVerdictsStayedInTheStore(t *testing.T) {
	runWorld(t, func(t *testing.T, w *World) {
		const topic = "keyed.caraway.verdicts"
		expired := suspect.Verdict{Fingerprint: 7, Until: time.Now().Add(-time.Minute).UnixMilli()}
		inForce := suspect.Verdict{Fingerprint: 8, Until: time.Now().Add(time.Hour).UnixMilli()}
		for _, v := range []suspect.Verdict{expired, inForce} {
			value, err := cbor.Marshal(v)
			assert.NilError(t, err)
			w.Store.Put(topic, v.Fingerprint.String(), value)
		}
		for _, d := range w.Daemons {
			d.Kill()
			assert.NilError(t, d.Start(false))
		}
		time.Sleep(10 * time.Second)
		assert.DeepEqual(t, w.Store.Keys(topic), []string{inForce.Fingerprint.String()})
	})
}

// A verdict that a daemon found expired may be decided anew before the daemon
// deletes it.
func TestNewVerdictWasDeletedWithTheExpiredOne(t *testing.T) {
	runWorld(t, func(t *testing.T, w *World) {
		const topic = "keyed.caraway.verdicts"
		expired := suspect.Verdict{Fingerprint: 7, Until: time.Now().Add(-time.Minute).UnixMilli()}
		value, err := cbor.Marshal(expired)
		assert.NilError(t, err)
		w.Store.Put(topic, expired.Fingerprint.String(), value)
		for _, d := range w.Daemons {
			d.Kill()
			assert.NilError(t, d.Start(false))
		}
		time.Sleep(100 * time.Millisecond) // they have read the store, and none holds the lease
		_, err = w.Daemons[0].adminClient().ClearSuspect(t.Context(), connect.NewRequest(&carawayv1.ClearSuspectRequest{Fingerprint: expired.Fingerprint.String()}))
		assert.NilError(t, err)
		time.Sleep(10 * time.Second)
		assert.DeepEqual(t, w.Store.Keys(topic), []string{expired.Fingerprint.String()})
	})
}

// sendCrashing sends the request that crashes servers to all daemons in turn.
func sendCrashing(w *World, end time.Time) {
	for n := 0; time.Now().Before(end); n++ {
		w.Call(w.Daemons[n%len(w.Daemons)], http.MethodPost, "/safe/x", fmt.Sprintf("crash-%d", n), "", CrashingBody, nil)
		time.Sleep(250 * time.Millisecond)
	}
}

// sendSound sends other requests to all daemons in turn until end. It returns
// how many of those sent from a time on were sent and served.
func sendSound(w *World, from, end time.Time) (served, sent int) {
	var mu sync.Mutex
	var callers sync.WaitGroup
	for n := 0; time.Now().Before(end); n++ {
		counts := time.Now().After(from)
		callers.Go(func() {
			id := fmt.Sprintf("sound-%d", n)
			r := w.Call(w.Daemons[n%len(w.Daemons)], http.MethodPost, "/safe/x", id, "", id, nil)
			if !counts || r.Err != nil { // the daemon is being restarted
				return
			}
			mu.Lock()
			defer mu.Unlock()
			sent++
			if r.Status == http.StatusOK {
				served++
			}
		})
		time.Sleep(100 * time.Millisecond)
	}
	callers.Wait()
	return served, sent
}
