package site

import (
	"cmp"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// A server said in its answers that it leaves, its entry in the list did not, and
// requests went there as before.
func TestServerGotRequestsAfterItSaidThatItLeaves(t *testing.T) {
	for _, test := range []struct {
		name string
		// leaders is the number of leaders of groups that leave, plains that of plain
		// servers.
		leaders, plains int
		refuses         bool
		prepare         func(w *World)
		// during runs half a second after the servers have begun to leave.
		during func(w *World, addresses []string)
		// apart is set if daemons can't tell each other.
		apart bool
	}{
		{name: "a leader", leaders: 1},
		{name: "two leaders", leaders: 2},
		{name: "a leader that turns everything away", leaders: 1, refuses: true},
		{name: "a plain server", plains: 1},
		{name: "a plain server that fails", plains: 1, prepare: func(w *World) {
			w.Update(func() { w.Plains[0].Fail = true })
		}},
		{name: "a plain server that turns everything away", plains: 1, refuses: true},
		{name: "its entry says ready again", plains: 1, during: func(w *World, _ []string) { w.Plains[0].announce("ready") }},
		{name: "its entry lapses and returns", plains: 1, during: func(w *World, _ []string) {
			w.Store.Put("keyed.servers", w.Plains[0].ID, nil)
			time.Sleep(time.Second)
			w.Plains[0].announce("ready")
		}},
		{name: "a daemon without links", leaders: 1, prepare: func(w *World) {
			w.Daemons[0].LoseLinks(LinksReset)
			time.Sleep(2 * time.Second)
		}},
		{name: "daemons that do not hear each other", plains: 1, apart: true, prepare: func(w *World) {
			for i, a := range w.Daemons {
				for _, b := range w.Daemons[i+1:] {
					w.Net.CutBoth(a.ip, b.ip)
				}
			}
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w, err := New(Options{Daemons: 3, Engines: 24, Plains: 3})
				assert.NilError(t, err)
				defer time.Sleep(settleTime) // lets pending dials end
				defer w.Close()
				time.Sleep(leadTime)
				call := func(d *Daemon, id string) Response { return w.Stream(d, id, ModelOfTwo) }
				if test.plains > 0 {
					call = func(d *Daemon, id string) Response {
						return w.Call(d, http.MethodPost, "/safe/x", id, "", "entry "+id, nil)
					}
				}
				if test.prepare != nil {
					test.prepare(w)
				}
				var addresses []string
				for _, e := range w.leaders(ModelOfTwo)[:test.leaders] {
					addresses = append(addresses, e.addr)
				}
				for _, p := range w.Plains[:test.plains] {
					addresses = append(addresses, p.addr)
				}
				var callers sync.WaitGroup
				var responses []timedResponse
				callers.Go(func() { responses = sendEvery(w, 40*time.Millisecond, 10*time.Second, call) })
				time.Sleep(2 * time.Second) // streams are under way
				for _, a := range addresses {
					w.SetServerLeaving(a, test.refuses)
				}
				time.Sleep(500 * time.Millisecond)
				if test.during != nil {
					test.during(w, addresses)
				}
				callers.Wait()
				assert.DeepEqual(t, w.Violations(), []string(nil))
				for _, a := range addresses {
					late, told := w.LateArrivals(a)
					assert.Assert(t, told, "%s got no request", a)
					assert.Check(t, late == 0 || test.apart, "%d late requests at %s", late, a)
				}
				served := 0
				for _, r := range responses {
					if r.Status == http.StatusOK && r.Err == nil {
						served++
					}
					if r.Status == http.StatusOK && test.leaders > 0 {
						assert.Check(t, r.IsComplete(r.id), "%s: %v", r.id, r.Err)
					}
				}
				assert.Check(t, served*100 >= len(responses)*95, "%d of %d requests served", served, len(responses))
				orders := w.OrderCount()
				time.Sleep(5 * time.Second)
				assert.Check(t, w.OrderCount()-orders <= 2, "%d orders in 5 s, long after the servers began to leave", w.OrderCount()-orders)
			})
		})
	}
}

// A server that restarts under another id after it said that it leaves is used again.
func TestServerIsUsedAgainAfterItLeft(t *testing.T) {
	runWorld(t, func(t *testing.T, w *World) {
		p := w.Plains[0]
		w.SetServerLeaving(p.addr, false)
		for n := range 20 {
			w.Call(w.Daemons[n%len(w.Daemons)], http.MethodPost, "/safe/x", fmt.Sprintf("l-%d", n), "", "entry", nil)
		}
		_, told := w.LateArrivals(p.addr)
		assert.Assert(t, told)
		p.crash(p.ID)
		w.SetServerStaying(p.addr)
		time.Sleep(restartTime + 2*time.Second)
		used := map[string]bool{}
		for n := range 20 {
			r := w.Call(w.Daemons[n%len(w.Daemons)], http.MethodPost, "/safe/x", fmt.Sprintf("r-%d", n), "", "entry", nil)
			used[r.Header.Get("X-Carawayproxy-Server-Stamp")] = true
		}
		assert.Check(t, used["proof-p-00-1"], "%v", used)
	})
}

// retrying returns a caller that repeats a request up to three times after the
// time that a refusal names.
func retrying(call func(d *Daemon, id string) Response) func(d *Daemon, id string) Response {
	return func(d *Daemon, id string) Response {
		r := call(d, id)
		for range 3 {
			after, err := strconv.ParseFloat(r.Header.Get("Retry-After"), 64)
			if r.Status != http.StatusServiceUnavailable || err != nil {
				break
			}
			time.Sleep(time.Duration(after * float64(time.Second)))
			r = call(d, id)
		}
		return r
	}
}

// checkRetryAfter checks that callers are told to come back after what is left of
// the pauses, with half as much jitter.
func checkRetryAfter(t *testing.T, responses []timedResponse, pause time.Duration) {
	t.Helper()
	longest := 0.0
	for _, r := range responses {
		if r.Status != http.StatusServiceUnavailable {
			continue
		}
		after, err := strconv.ParseFloat(r.Header.Get("Retry-After"), 64)
		assert.NilError(t, err)
		assert.Check(t, after <= 1.5*pause.Seconds()+0.01, "Retry-After %g of %s", after, r.id)
		longest = max(longest, after)
	}
	assert.Check(t, longest > pause.Seconds(), "the longest Retry-After is %g", longest)
}

// cutMost makes all daemons but two lose their links to the backend servers.
func cutMost(w *World) {
	for _, d := range w.Daemons[2:] {
		d.LoseLinks(LinksReset)
	}
	time.Sleep(2 * time.Second)
}

// Servers that turned a request away said for how long they want no other one from
// the same daemon, and got them all the same.
func TestServerGotRequestsInThePauseThatItAskedFor(t *testing.T) {
	for _, test := range []struct {
		name string
		// leaders and plains are the numbers of leaders of groups and of plain servers
		// that ask for pauses, negative for all.
		leaders, plains int
		pausing         Pausing
		path            string // of the requests, for plain servers
		retries         bool   // callers come back
		daemons         int    // three if zero
		prepare         func(w *World)
		// served is the least part of the requests, in percent.
		served int
		// taken is set if the server is to be sent requests by other daemons.
		taken bool
	}{
		{name: "a leader", leaders: 1, pausing: Pausing{Pause: 5 * time.Second, Refusals: -1}, served: 95},
		{name: "a leader, one request", leaders: 1, pausing: Pausing{Pause: 5 * time.Second, Refusals: 1}, served: 95, taken: true},
		{name: "all leaders", leaders: -1, pausing: Pausing{Pause: 2 * time.Second, Refusals: -1}},
		{name: "all leaders, callers that come back", leaders: -1, pausing: Pausing{Pause: 1500 * time.Millisecond, Refusals: 3}, retries: true, served: 90},
		{name: "a plain server", plains: 1, path: "/safe/x", pausing: Pausing{Pause: 5 * time.Second, Refusals: -1}, served: 95},
		{name: "a plain server that promises nothing", plains: 1, path: "/safe/x", pausing: Pausing{Pause: 5 * time.Second, Refusals: -1, Unpromised: true}, served: 95},
		{name: "a plain server, one request", plains: 1, path: "/unsafe/x", pausing: Pausing{Pause: 4 * time.Second, Refusals: 1}, served: 95, taken: true},
		{name: "all plain servers", plains: -1, path: "/unsafe/x", pausing: Pausing{Pause: 2500 * time.Millisecond, Refusals: -1}},
		{name: "all plain servers, callers that come back", plains: -1, path: "/safe/x", pausing: Pausing{Pause: 800 * time.Millisecond, Refusals: 3}, retries: true, served: 95},
		{name: "most daemons without links", plains: 1, path: "/safe/x", daemons: 9, pausing: Pausing{Pause: 5 * time.Second, Refusals: -1}, served: 95, prepare: cutMost},
		{name: "most daemons without links, a leader", leaders: 1, daemons: 9, pausing: Pausing{Pause: 5 * time.Second, Refusals: -1}, served: 95, prepare: cutMost},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w, err := New(Options{Daemons: cmp.Or(test.daemons, 3), Engines: 24, Plains: 3})
				assert.NilError(t, err)
				defer time.Sleep(settleTime) // lets pending dials end
				defer w.Close()
				time.Sleep(leadTime)
				call := func(d *Daemon, id string) Response { return w.Stream(d, id, ModelOfTwo) }
				if test.plains != 0 {
					call = func(d *Daemon, id string) Response {
						return w.Call(d, http.MethodPost, test.path, id, "", "entry "+id, nil)
					}
				}
				again := call
				if test.retries {
					again = retrying(call)
				}
				if test.prepare != nil {
					test.prepare(w)
				}
				var addresses []string
				for i, e := range w.leaders(ModelOfTwo) {
					if i < test.leaders || test.leaders < 0 {
						addresses = append(addresses, e.addr)
					}
				}
				for i, p := range w.Plains {
					if i < test.plains || test.plains < 0 {
						addresses = append(addresses, p.addr)
					}
				}
				var callers sync.WaitGroup
				var responses []timedResponse
				callers.Go(func() { responses = sendEvery(w, 40*time.Millisecond, 10*time.Second, again) })
				time.Sleep(2 * time.Second) // streams are under way
				for _, a := range addresses {
					w.SetServerPausing(a, test.pausing)
				}
				callers.Wait()
				assert.DeepEqual(t, w.Violations(), []string(nil))
				served := 0
				for _, r := range responses {
					if r.Status == http.StatusOK {
						served++
						assert.Check(t, test.leaders == 0 || r.IsComplete(r.id), "%s: %v", r.id, r.Err)
					}
				}
				assert.Check(t, served*100 >= len(responses)*test.served, "%d of %d requests served", served, len(responses))
				for _, a := range addresses {
					n := w.PausingArrivals(a)
					assert.Check(t, n > 0, "%s got no request", a)
					assert.Check(t, !test.taken || n >= 10, "%s got %d requests, of which it turned one away", a, n)
					w.SetServerPausing(a, Pausing{})
				}
				if !test.retries && test.served == 0 {
					checkRefusals(t, responses)
					checkRetryAfter(t, responses, test.pausing.Pause)
				}
				time.Sleep(test.pausing.Pause)
				served = 0
				after := sendEvery(w, 80*time.Millisecond, 3*time.Second, call)
				for _, r := range after {
					if r.Status == http.StatusOK {
						served++
					}
				}
				assert.Check(t, served*100 >= len(after)*95, "%d of %d requests served after the pauses", served, len(after))
			})
		})
	}
}

// A daemon that started long after a server had said that it leaves did not know,
// and where it led, formed groups that the other daemons did not use.
func TestRestartedDaemonDidNotKnowThatAServerLeaves(t *testing.T) {
	runWorld(t, func(t *testing.T, w *World) {
		p := w.Plains[0]
		w.SetServerLeaving(p.addr, false)
		for n := range 20 {
			w.Call(w.Daemons[0], http.MethodPost, "/safe/x", fmt.Sprintf("l-%d", n), "", "entry", nil)
		}
		_, told := w.LateArrivals(p.addr)
		assert.Assert(t, told)
		time.Sleep(time.Minute)
		w.Daemons[1].Kill()
		assert.NilError(t, w.Daemons[1].Start(false))
		time.Sleep(time.Minute)
		for n := range 20 {
			r := w.Call(w.Daemons[1], http.MethodPost, "/safe/x", fmt.Sprintf("r-%d", n), "", "entry", nil)
			assert.Equal(t, r.Status, http.StatusOK)
		}
		late, _ := w.LateArrivals(p.addr)
		assert.Equal(t, late, 0)
	})
}
