package site

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// timedResponse is a response and how long its caller waited for it.
type timedResponse struct {
	Response
	id   string
	took time.Duration
}

// sendEvery sends a request to all daemons in turn, one every interval, and
// returns the responses in no particular order.
func sendEvery(w *World, interval, forTime time.Duration, call func(d *Daemon, id string) Response) []timedResponse {
	var mu sync.Mutex
	var responses []timedResponse
	var callers sync.WaitGroup
	end := time.Now().Add(forTime)
	for n := 0; time.Now().Before(end); n++ {
		d, id := w.Daemons[n%len(w.Daemons)], fmt.Sprintf("limit-%d-%d", time.Since(w.started).Milliseconds(), n)
		callers.Go(func() {
			began := time.Now()
			r := call(d, id)
			mu.Lock()
			responses = append(responses, timedResponse{r, id, time.Since(began)})
			mu.Unlock()
		})
		time.Sleep(interval)
	}
	callers.Wait()
	return responses
}

// leaders returns the leaders of the open groups of a model, all models if empty.
func (w *World) leaders(model string) []*Engine {
	w.shared.mu.Lock()
	defer w.shared.mu.Unlock()
	var out []*Engine
	for _, e := range w.shared.engines {
		if m := e.membership; m != nil && !e.dead && m.Rank == 0 && m.State == "open" && (model == "" || m.model == model) {
			out = append(out, e)
		}
	}
	return out
}

// Backend servers named the requests a second that they take from all daemons
// together, and got as many as before.
func TestServerGotMoreRequestsThanItAnnounced(t *testing.T) {
	const limitedFor = 20 * time.Second
	for _, test := range []struct {
		name    string
		daemons int
		// perSecond is the rate that each leader of a group announces, or each
		// plain server if plain is set.
		perSecond float64
		plain     bool
		interval  time.Duration // between requests to all daemons together
		// during runs while the limits are in force.
		during func(t *testing.T, w *World)
	}{
		{name: "leaders", daemons: 3, perSecond: 1, interval: 30 * time.Millisecond},
		{name: "leaders, below one a second", daemons: 3, perSecond: 0.4, interval: 30 * time.Millisecond},
		{name: "plain servers", daemons: 3, perSecond: 2.5, plain: true, interval: 50 * time.Millisecond},
		{name: "nine daemons", daemons: 9, perSecond: 1, interval: 30 * time.Millisecond},
		{name: "more daemons than requests that are taken", daemons: 24, perSecond: 2, plain: true, interval: 20 * time.Millisecond},
		{name: "a daemon restarts", daemons: 4, perSecond: 1.5, interval: 30 * time.Millisecond, during: func(t *testing.T, w *World) {
			w.Daemons[1].Kill()
			time.Sleep(time.Second)
			assert.NilError(t, w.Daemons[1].Start(false))
		}},
		{name: "a daemon is stopped", daemons: 4, perSecond: 1.5, interval: 30 * time.Millisecond, during: func(t *testing.T, w *World) {
			w.Daemons[2].Drain()
			assert.NilError(t, w.Daemons[2].Start(false))
		}},
		{name: "the store is away and the lease holder ends", daemons: 4, perSecond: 1, interval: 30 * time.Millisecond, during: func(t *testing.T, w *World) {
			w.Store.SetUnavailable(true)
			time.Sleep(3 * time.Second)
			for _, d := range w.Daemons {
				if d.HoldsLease() {
					d.Kill()
					time.Sleep(2 * time.Second)
					assert.NilError(t, d.Start(false))
					break
				}
			}
			w.Store.SetUnavailable(false)
		}},
		{name: "daemons are cut off from each other", daemons: 4, perSecond: 1, plain: true, interval: 30 * time.Millisecond, during: func(_ *testing.T, w *World) {
			w.Net.CutBoth(w.Daemons[0].ip, w.Daemons[1].ip)
			w.Net.CutBoth(w.Daemons[0].ip, w.Daemons[2].ip)
			w.Net.CutBoth(w.Daemons[0].ip, w.Daemons[3].ip)
			time.Sleep(8 * time.Second)
			for _, d := range w.Daemons[1:] {
				w.Net.Heal(w.Daemons[0].ip, d.ip)
			}
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w, err := New(Options{Daemons: test.daemons, Engines: 24, Plains: 3})
				assert.NilError(t, err)
				defer time.Sleep(settleTime) // lets pending dials end
				defer w.Close()
				time.Sleep(leadTime)
				call := func(d *Daemon, id string) Response { return w.Stream(d, id, ModelOfTwo) }
				if test.plain {
					call = func(d *Daemon, id string) Response {
						return w.Call(d, http.MethodPost, "/safe/x", id, "", "entry "+id, nil)
					}
				}
				var addresses []string
				sendEvery(w, test.interval, 3*time.Second, call)
				for _, e := range w.leaders(ModelOfTwo) {
					addresses = append(addresses, e.addr)
				}
				if test.plain {
					addresses = nil
					for _, p := range w.Plains {
						addresses = append(addresses, p.addr)
					}
				}
				for _, a := range addresses {
					w.SetRequestLimit(a, test.perSecond)
				}
				var tasks sync.WaitGroup
				if test.during != nil {
					tasks.Go(func() {
						time.Sleep(5 * time.Second)
						test.during(t, w)
					})
				}
				responses := sendEvery(w, test.interval, limitedFor, call)
				tasks.Wait()
				assert.DeepEqual(t, w.Violations(), []string(nil))
				total, taken := 0, 0.0
				for _, a := range addresses {
					n, since := w.LimitedArrivals(a)
					total += n
					taken += test.perSecond * since.Seconds()
				}
				// Without this, a daemon could keep the rule by dropping the servers.
				assert.Check(t, float64(total) >= 0.5*taken, "%d requests sent to servers that took %.0f", total, taken)
				checkRefusals(t, responses)
				for _, a := range addresses {
					w.SetRequestLimit(a, 0)
				}
				sendEvery(w, test.interval, 6*time.Second, call) // in which daemons learn that the limits have ended
				served := 0
				after := sendEvery(w, 4*test.interval, 4*time.Second, call)
				for _, r := range after {
					if r.Status == http.StatusOK {
						served++
					}
				}
				assert.Check(t, served*100 >= len(after)*95, "%d of %d requests served after the limits ended", served, len(after))
				assert.DeepEqual(t, w.Violations(), []string(nil))
			})
		})
	}
}

// checkRefusals checks that requests that can't be served are refused at once, as
// not run and with the time to come back.
func checkRefusals(t *testing.T, responses []timedResponse) {
	t.Helper()
	refused, slow := 0, 0
	for _, r := range responses {
		if r.Status != http.StatusServiceUnavailable {
			continue
		}
		refused++
		if r.took > 200*time.Millisecond {
			slow++
		}
		after, err := strconv.ParseFloat(r.Header.Get("Retry-After"), 64)
		assert.Check(t, err == nil && after > 0, "Retry-After %q of %s", r.Header.Get("Retry-After"), r.id)
	}
	assert.Check(t, slow*20 <= refused, "%d of %d refusals took more than 200 ms", slow, refused)
}
