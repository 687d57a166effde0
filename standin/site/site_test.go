package site

import (
	"fmt"
	"io"

	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// settleTime outlasts every dial.
const settleTime = 10 * time.Second

// run plays a world of the usual size after its groups have formed.
func run(t *testing.T, play func(t *testing.T, w *World)) {
	t.Helper()
	runDaemons(t, 3, play)
}

// runDaemons is run with another number of daemons.
func runDaemons(t *testing.T, daemons int, play func(t *testing.T, w *World)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w, err := New(Options{Daemons: daemons, Engines: 24, Plains: 2})
		assert.NilError(t, err)
		defer time.Sleep(settleTime) // dials that were under way end
		defer w.Close()
		time.Sleep(leadTime)
		play(t, w)
		assert.DeepEqual(t, w.Violations(), []string(nil))
	})
}

// load sends streams of a model to all daemons for a time, a few at once, and
// returns the answers by id.
func load(w *World, model string, forTime time.Duration) map[string]Answer {
	var mu sync.Mutex
	answers := map[string]Answer{}
	var callers sync.WaitGroup
	end := time.Now().Add(forTime)
	for n := 0; time.Now().Before(end); n++ {
		d := w.Daemons[n%len(w.Daemons)]
		id := fmt.Sprintf("%s-%d-%d", model, time.Since(w.began).Milliseconds(), n)
		callers.Go(func() {
			a := w.Stream(d, id, model)
			mu.Lock()
			answers[id] = a
			mu.Unlock()
		})
		time.Sleep(120 * time.Millisecond)
	}
	callers.Wait()
	return answers
}

func cutOrRefused(t *testing.T, answers map[string]Answer) (cut, refused int) {
	t.Helper()
	for id, a := range answers {
		switch {
		case a.Status == http.StatusServiceUnavailable:
			refused++
		case !a.Whole(id):
			t.Logf("%s: status %d, error %v, body %q", id, a.Status, a.Err, a.Body)
			cut++
		}
	}
	return cut, refused
}

func TestCalmSite(t *testing.T) {
	run(t, func(t *testing.T, w *World) {
		assert.Assert(t, w.Open(ModelOfTwo) >= 2 && w.Open(ModelOfThree) >= 2, "groups: %d of two, %d of three", w.Open(ModelOfTwo), w.Open(ModelOfThree))
		for id, a := range load(w, ModelOfThree, 3*time.Second) {
			assert.Assert(t, a.Whole(id), "%s: status %d, %v, %q", id, a.Status, a.Err, a.Body)
			assert.Assert(t, a.First < 200*time.Millisecond && a.Gap < 100*time.Millisecond, "first event after %s, longest pause %s", a.First, a.Gap)
			assert.Equal(t, a.Header.Get("X-Carawayproxy-Attempt-Id"), id)
		}
		a := w.Call(w.Daemons[0], http.MethodPost, "/unsafe/a%2Fb/../c?x=%20y", "u-1", "", "an entry", nil)
		assert.Equal(t, a.Status, http.StatusOK)
		assert.Equal(t, a.Body, "an entry")
		assert.Equal(t, a.Header.Get("X-Seen-Target"), "/unsafe/a%2Fb/../c?x=%20y")
		assert.Equal(t, a.Header.Get("X-Seen-Tenant"), Workspace)
		assert.Equal(t, a.Header.Get("X-Seen-Key"), "", "the key is passed on")
	})
}

// A steady system gives no orders and makes few calls to the store.
func TestCalmSiteGivesNoOrders(t *testing.T) {
	run(t, func(t *testing.T, w *World) {
		time.Sleep(2 * time.Second)
		orders, calls := w.Orders(), w.Store.Calls()
		time.Sleep(20 * time.Second)
		assert.Equal(t, w.Orders(), orders)
		perSecond := float64(w.Store.Calls()-calls) / 20
		assert.Assert(t, perSecond < 4*float64(len(w.Daemons)), "%.1f calls to the store a second", perSecond)
	})
}

// A group that loses a member stands still and goes on accepting requests. Its
// streams go on elsewhere, and a spare takes the member's place.
func TestStreamsOutliveALostMember(t *testing.T) {
	for _, test := range []struct {
		name string
		rank int
	}{{"head", 0}, {"member", 1}} {
		t.Run(test.name, func(t *testing.T) {
			run(t, func(t *testing.T, w *World) {
				groups := w.Open(ModelOfThree)
				w.later(time.Second, func() { w.Darken(w.Member(ModelOfThree, test.rank)) })
				answers := load(w, ModelOfThree, 4*time.Second)
				cut, refused := cutOrRefused(t, answers)
				assert.Equal(t, cut, 0)
				assert.Assert(t, refused*20 <= len(answers), "%d of %d refused", refused, len(answers))
				for id, a := range answers {
					assert.Assert(t, a.Gap < 2*time.Second && a.First < 2*time.Second, "%s: first event after %s, pause of %s", id, a.First, a.Gap)
				}
				time.Sleep(loadTime + 2*time.Second)
				assert.Equal(t, w.Open(ModelOfThree), groups, "the group was not repaired")
			})
		})
	}
}

// Daemons that start together agree on one that leads, and keep it.
func TestOneDaemonLeadsFromTheStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, err := New(Options{Daemons: 7, Engines: 24, Plains: 2})
		assert.NilError(t, err)
		defer time.Sleep(settleTime) // dials that were under way end
		defer w.Close()
		time.Sleep(time.Second)
		first := leaders(w)
		assert.Equal(t, len(first), 1, "nobody leads after a second")
		for range 50 {
			time.Sleep(100 * time.Millisecond)
			assert.DeepEqual(t, leaders(w), first)
		}
		assert.Assert(t, w.Open(ModelOfTwo) >= 2 && w.Open(ModelOfThree) >= 2, "groups: %d of two, %d of three", w.Open(ModelOfTwo), w.Open(ModelOfThree))
	})
}

func leaders(w *World) []string {
	var names []string
	for _, d := range w.Daemons {
		if d.Leads() {
			names = append(names, d.name)
		}
	}
	return names
}

// The daemon that gives orders dies while groups are there. Another one takes
// over, gives no group up, and repairs what breaks.
func TestTakeoverKeepsGroups(t *testing.T) {
	run(t, func(t *testing.T, w *World) {
		groups := w.Open(ModelOfThree) + w.Open(ModelOfTwo)
		var dead *Daemon
		for _, d := range w.Daemons {
			if d.Leads() {
				dead = d
			}
		}
		assert.Assert(t, dead != nil, "nobody leads")
		dead.Kill()
		time.Sleep(2 * time.Second)
		leads := 0
		for _, d := range w.Daemons {
			if d != dead && d.Leads() {
				leads++
			}
		}
		assert.Equal(t, leads, 1, "nobody took over within 2 s of the kill")
		time.Sleep(2 * time.Second)
		assert.Equal(t, w.Open(ModelOfThree)+w.Open(ModelOfTwo), groups)

		w.Daemons[0], w.Daemons[1], w.Daemons[2] = live(w, dead), live(w, dead), live(w, dead)
		w.Darken(w.Member(ModelOfTwo, 1))
		cut, _ := cutOrRefused(t, load(w, ModelOfTwo, 3*time.Second))
		assert.Equal(t, cut, 0)
		assert.Equal(t, w.Open(ModelOfThree)+w.Open(ModelOfTwo), groups)
	})
}

// A daemon that is started again and takes over knows the engines' places as they
// are, whatever older news its peers still pass on.
func TestRestartedDaemonTakesOver(t *testing.T) {
	run(t, func(t *testing.T, w *World) {
		groups := w.Open(ModelOfThree) + w.Open(ModelOfTwo)
		var leader, restarted *Daemon
		for _, d := range w.Daemons {
			if d.Leads() {
				leader = d
			} else {
				restarted = d
			}
		}
		restarted.Kill()
		time.Sleep(time.Second)
		assert.NilError(t, restarted.Start(false))
		time.Sleep(time.Second)
		assert.Equal(t, restarted.run.Whole(ModelService(ModelOfThree))+restarted.run.Whole(ModelService(ModelOfTwo)), groups)
		leader.Kill()
		for _, d := range w.Daemons {
			if d != leader && d != restarted {
				d.Kill()
			}
		}
		time.Sleep(4 * time.Second)
		assert.Assert(t, restarted.Leads())
		assert.Equal(t, w.Open(ModelOfThree)+w.Open(ModelOfTwo), groups)
	})
}

// Engines that are cut from the store have other places than the list shows. A
// new holder asks them before it acts.
func TestTakeoverWithAStaleList(t *testing.T) {
	run(t, func(t *testing.T, w *World) {
		groups := w.Open(ModelOfThree) + w.Open(ModelOfTwo)
		head := w.Member(ModelOfThree, 0)
		var member *Engine
		w.Switch(func() {
			for _, id := range head.place.members {
				w.site.engines[id].unheard = true
			}
			member = w.site.engines[head.place.members[1]]
		})
		w.Darken(member)
		cutOrRefused(t, load(w, ModelOfThree, 3*time.Second))
		time.Sleep(loadTime + 5*time.Second)
		assert.Equal(t, w.Open(ModelOfThree)+w.Open(ModelOfTwo), groups)
		time.Sleep(30 * time.Second) // nobody passes the news on any more

		var leader, restarted *Daemon
		for _, d := range w.Daemons {
			if d.Leads() {
				leader = d
			} else {
				restarted = d
			}
		}
		restarted.Kill()
		time.Sleep(time.Second)
		assert.NilError(t, restarted.Start(false))
		time.Sleep(time.Second)
		leader.Kill()
		for _, d := range w.Daemons {
			if d != leader && d != restarted {
				d.Kill()
			}
		}
		time.Sleep(3 * time.Second)
		assert.Assert(t, restarted.Leads())
		assert.Equal(t, restarted.run.Whole(ModelService(ModelOfThree))+restarted.run.Whole(ModelService(ModelOfTwo)), groups)
	})
}

func live(w *World, dead *Daemon) *Daemon {
	for _, d := range w.Daemons {
		if d != dead {
			return d
		}
	}
	return nil
}

// Orders that get no answer and are carried out seconds later place no engine
// in two groups and open none without its members.
func TestLateOrders(t *testing.T) {
	run(t, func(t *testing.T, w *World) {
		w.Switch(func() {
			for n, e := range w.Engines {
				if n%2 == 0 {
					e.LateOrders = 2500 * time.Millisecond
				}
			}
		})
		w.Darken(w.Member(ModelOfThree, 1))
		w.Darken(w.Member(ModelOfTwo, 0))
		load(w, ModelOfThree, 6*time.Second)
		w.Switch(func() {
			for _, e := range w.Engines {
				e.LateOrders = 0
			}
		})
		time.Sleep(6 * time.Second)
		cut, refused := cutOrRefused(t, load(w, ModelOfThree, time.Second))
		assert.Equal(t, cut+refused, 0)
	})
}

// With the store away, what is known stands: requests are served, and a group
// that breaks is passed over.
func TestServesWithoutTheStore(t *testing.T) {
	run(t, func(t *testing.T, w *World) {
		w.Store.SetAway(true)
		time.Sleep(3 * time.Second)
		cut, refused := cutOrRefused(t, load(w, ModelOfThree, 2*time.Second))
		assert.Equal(t, cut+refused, 0)
		w.Darken(w.Member(ModelOfThree, 1))
		cut, _ = cutOrRefused(t, load(w, ModelOfThree, 3*time.Second))
		assert.Equal(t, cut, 0)
		w.Store.SetAway(false)
		time.Sleep(6 * time.Second)
		cut, refused = cutOrRefused(t, load(w, ModelOfThree, time.Second))
		assert.Equal(t, cut+refused, 0)
	})
}

// A head that refuses everything while the list can't tell of it has nothing in
// flight and would be each request's first choice.
func TestHeadThatRefusesIsPassedOver(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(e *Engine)
		// most is how many requests each daemon may send it in three seconds.
		most int
	}{
		{"elsewhere", func(e *Engine) { e.place = nil }, 2},
		{"closed", func(e *Engine) { e.place.State = "closing" }, 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			run(t, func(t *testing.T, w *World) {
				w.Store.SetAway(true)
				head := w.Member(ModelOfThree, 0)
				w.Switch(func() {
					test.change(head)
					head.arrivals = 0
				})
				cut, refused := cutOrRefused(t, load(w, ModelOfThree, 3*time.Second))
				assert.Equal(t, cut+refused, 0)
				w.Switch(func() {
					assert.Assert(t, head.arrivals <= test.most*len(w.Daemons), "%d requests to a head that refuses", head.arrivals)
				})
				w.Store.SetAway(false)
			})
		})
	}
}

// While the store is away for everybody, the daemon that leads goes on: a group
// that breaks is repaired.
func TestRepairsWithoutTheStore(t *testing.T) {
	run(t, func(t *testing.T, w *World) {
		groups, first := w.Open(ModelOfThree), leaders(w)
		w.Store.SetAway(true)
		time.Sleep(2 * time.Second)
		w.Darken(w.Member(ModelOfThree, 1))
		cut, _ := cutOrRefused(t, load(w, ModelOfThree, 3*time.Second))
		assert.Equal(t, cut, 0)
		time.Sleep(loadTime + 2*stagedTime) // onto the host, and from it
		assert.Equal(t, w.Open(ModelOfThree), groups, "the group was not repaired")
		assert.DeepEqual(t, leaders(w), first)
		for _, d := range w.Daemons {
			assert.Equal(t, d.run.Whole(ModelService(ModelOfThree)), groups, "%s does not know of the repair", d.name)
		}
		w.Store.SetAway(false)
		time.Sleep(3 * time.Second)
		assert.DeepEqual(t, leaders(w), first)
	})
}

// A daemon that leads and that alone the store turns away gives way to another.
func TestLeaderThatIsTurnedAwayGivesWay(t *testing.T) {
	run(t, func(t *testing.T, w *World) {
		var first *Daemon
		for _, d := range w.Daemons {
			if d.Leads() {
				first = d
			}
		}
		w.Net.CutBoth(first.ip, storeIP)
		defer w.Net.Heal(first.ip, storeIP)
		for range 100 {
			time.Sleep(20 * time.Millisecond)
			assert.Assert(t, len(leaders(w)) <= 1)
		}
		assert.Equal(t, len(leaders(w)), 1, "nobody took over within two seconds")
		assert.Assert(t, !first.Leads())
	})
}

// Entries that lapse while the store is away come back within two seconds of
// its return; the daemons keep the servers meanwhile.
func TestLapsedEntriesComeBack(t *testing.T) {
	run(t, func(t *testing.T, w *World) {
		w.Store.SetAway(true)
		time.Sleep(2 * time.Second)
		for _, e := range w.Engines {
			w.Store.Put("keyed.servers", e.ID, nil)
		}
		w.Store.SetAway(false)
		for _, e := range w.Engines {
			w.later(1500*time.Millisecond, e.announce)
		}
		cut, refused := cutOrRefused(t, load(w, ModelOfTwo, 4*time.Second))
		assert.Equal(t, cut+refused, 0)
	})
}

// The store forgets its history while daemons follow it.
func TestHistoryIsForgotten(t *testing.T) {
	run(t, func(t *testing.T, w *World) {
		w.Store.Put("keyed.servers", "p-00", nil)
		w.Store.Forget("keyed.servers")
		w.Store.Forget("keyed.op")
		w.Publish(without(Document(2), "safe"))
		time.Sleep(2 * time.Second)
		for _, d := range w.Daemons {
			assert.Equal(t, w.Call(d, http.MethodGet, "/safe/x", "s-1", "", "", nil).Status, http.StatusNotFound)
			a := w.Call(d, http.MethodPost, "/unsafe/x", "u-"+d.name, "", "b", nil)
			assert.Equal(t, a.Header.Get("X-Carawayproxy-Server-Stamp"), "proof-p-01")
		}
	})
}

// without is a document without one of its routes.
func without(document map[string]any, name string) map[string]any {
	var kept []any
	for _, r := range document["routes"].([]any) {
		if r.(map[string]any)["name"] != name {
			kept = append(kept, r)
		}
	}
	document["routes"] = kept
	return document
}

// The answers of reads that wait are lost, on connections that stay open. A new
// document is in force within its bound of two seconds all the same.
func TestLostAnswersDelayNoDocument(t *testing.T) {
	for _, daemons := range []int{3, 12} { // of twelve most rely on the others
		t.Run(fmt.Sprint(daemons), func(t *testing.T) { loseAnswers(t, daemons) })
	}
}

func loseAnswers(t *testing.T, daemons int) {
	t.Helper()
	runDaemons(t, daemons, func(t *testing.T, w *World) {
		for version := range 6 {
			time.Sleep(350 * time.Millisecond) // another moment of the waits
			w.Store.Mute("keyed.op")
			document := Document(version + 2)
			if version%2 == 0 {
				document = without(document, "safe")
			}
			w.Publish(document)
			time.Sleep(1950 * time.Millisecond)
			want := map[bool]int{true: http.StatusNotFound, false: http.StatusOK}[version%2 == 0]
			for _, d := range w.Daemons {
				id := fmt.Sprintf("s-%s-%d", d.name, version)
				assert.Equal(t, w.Call(d, http.MethodGet, "/safe/x", id, "", "", nil).Status, want, id)
			}
		}
	})
}

// A document with a lower version than the one in force changes nothing, and
// neither does one that can't be read.
func TestDocumentNeverGoesBack(t *testing.T) {
	run(t, func(t *testing.T, w *World) {
		w.Publish(Document(5))
		time.Sleep(time.Second)
		w.Publish(without(Document(4), "safe"))
		w.Store.Put("keyed.op", "config", []byte(`{"version": 9, "routes": [{"name": "x", "routeKind": "often"}]}`))
		w.Store.Put("keyed.op", "config", []byte(`{"version": `))
		time.Sleep(2 * time.Second)
		assert.Equal(t, w.Call(w.Daemons[0], http.MethodGet, "/safe/x", "s-1", "", "", nil).Status, http.StatusOK)
	})
}

// What was sent and got no answer may have run: it is never sent again, and
// the caller is not told that it has not run.
func TestUnsafeRunsOnce(t *testing.T) {
	run(t, func(t *testing.T, w *World) {
		w.Switch(func() {
			for _, p := range w.Plains {
				p.DropAnswers = true
			}
		})
		a := w.Call(w.Daemons[0], http.MethodPost, "/unsafe/x", "u-1", "", "once", nil)
		assert.Equal(t, a.Status, http.StatusBadGateway)
		assert.Equal(t, w.Runs("u-1"), 1)
		a = w.Call(w.Daemons[0], http.MethodGet, "/safe/x", "s-1", "", "", nil)
		assert.Equal(t, a.Status, http.StatusBadGateway)
		assert.Equal(t, w.Runs("s-1"), 2)
	})
}

// A safe request that one server answers with a failure is asked of another;
// when that fails too, the caller gets a server's own answer.
func TestSafeIsAskedElsewhere(t *testing.T) {
	run(t, func(t *testing.T, w *World) {
		w.Switch(func() { w.Plains[0].Fail = true })
		for n := range 10 {
			a := w.Call(w.Daemons[0], http.MethodGet, "/safe/x", fmt.Sprintf("s-%d", n), "", "", nil)
			assert.Equal(t, a.Status, http.StatusOK)
		}
		w.Switch(func() { w.Plains[1].Fail = true })
		a := w.Call(w.Daemons[0], http.MethodGet, "/safe/x", "s-x", "", "", nil)
		assert.Equal(t, a.Status, http.StatusInternalServerError)
		assert.Assert(t, a.Header.Get("X-Carawayproxy-Server-Stamp") != "")
	})
}

// A server that says that it leaves gets nothing new within the bound.
func TestLeavingServerGetsNothingNew(t *testing.T) {
	run(t, func(t *testing.T, w *World) {
		w.Plains[0].announce("draining")
		time.Sleep(1500 * time.Millisecond)
		for n := range 10 {
			for _, d := range w.Daemons {
				a := w.Call(d, http.MethodPost, "/unsafe/x", fmt.Sprintf("u-%s-%d", d.name, n), "", "", nil)
				assert.Equal(t, a.Header.Get("X-Carawayproxy-Server-Stamp"), "proof-p-01")
			}
		}
	})
}

// What can't be passed on is refused at once with the status that says why.
func TestRefusals(t *testing.T) {
	run(t, func(t *testing.T, w *World) {
		d := w.Daemons[0]
		for _, test := range []struct {
			name   string
			path   string
			header http.Header
			body   string
			status int
		}{
			{"no route", "/nowhere/x", nil, "", http.StatusNotFound},
			{"unknown key", "/unsafe/x", http.Header{"X-Carawayproxy-Key": {"of nobody"}}, "", http.StatusUnauthorized},
			{"no key", "/unsafe/x", http.Header{"X-Carawayproxy-Key": nil}, "", http.StatusUnauthorized},
			{"body too large", "/unsafe/x", nil, string(make([]byte, 1<<20+1)), http.StatusRequestEntityTooLarge},
			{"headers too large", "/unsafe/x", http.Header{"X-Long": {strings.Repeat("x", 16<<10)}}, "", http.StatusRequestHeaderFieldsTooLarge},
			{"bad size", "/stream/x", http.Header{"X-Carawayproxy-Token-Usage": {"many"}}, "", http.StatusBadRequest},
			{"bad parts", "/stream/x", http.Header{"X-Carawayproxy-Prefix-Hash": {"xyz:1"}}, "", http.StatusBadRequest},
			{"unknown model", "/stream/x", http.Header{"X-Carawayproxy-Model": {"nobody"}}, "", http.StatusServiceUnavailable},
		} {
			began := time.Now()
			a := w.Call(d, http.MethodPost, test.path, "r-"+test.name, "", test.body, test.header)
			assert.Equal(t, a.Status, test.status, test.name)
			assert.Assert(t, time.Since(began) < 100*time.Millisecond, "%s took %s", test.name, time.Since(began))
		}
	})
}

// A connection may be idle, and a request's headers may take, for as long as the
// document in force says.
func TestConnectionsKeepToTheDocument(t *testing.T) {
	run(t, func(t *testing.T, w *World) {
		d := w.Daemons[0]
		open := func() (lasts func(most time.Duration) time.Duration, send func(text string)) {
			c, err := w.Net.Host(callerIP).Dial(w.ctx, "tcp", d.host.Addr(portCallers))
			assert.NilError(t, err)
			closed := make(chan struct{})
			began := time.Now()
			go func() {
				defer close(closed)
				_, _ = io.Copy(io.Discard, c)
			}()
			lasts = func(most time.Duration) time.Duration {
				select {
				case <-closed:
				case <-time.After(most):
				}
				took := time.Since(began)
				_ = c.Close()
				return took.Round(100 * time.Millisecond)
			}
			return lasts, func(text string) {
				_, err := c.Write([]byte(text))
				assert.NilError(t, err)
			}
		}
		const request = "GET /nowhere HTTP/1.1\r\nHost: site.example\r\n\r\n"
		idle, send := open()
		send(request)
		assert.Equal(t, idle(time.Minute), 15*time.Second)
		slow, send := open()
		send(request[:10])
		assert.Equal(t, slow(time.Minute), 3*time.Second)

		kept, send := open()
		send(request)
		longer := Document(2)
		longer["limits"].(map[string]any)["idleTimeoutMs"] = 40000
		w.Publish(longer)
		time.Sleep(10 * time.Second)
		send(request) // a bound holds from when a connection falls idle
		assert.Equal(t, kept(time.Minute), 50*time.Second)
	})
}

// A caller that leaves ends its stream at the engine within half a second.
func TestCallerLeaves(t *testing.T) {
	run(t, func(t *testing.T, w *World) {
		ctx, leave := contextWithTimeout(w, 300*time.Millisecond)
		defer leave()
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, w.Daemons[0].URL("/stream/x"), nil)
		assert.NilError(t, err)
		req.Host = HostName
		req.Header.Set("X-Carawayproxy-Attempt-Id", "g-1")
		req.Header.Set("X-Carawayproxy-Key", Key)
		req.Header.Set("X-Carawayproxy-Model", ModelOfTwo)
		res, err := w.client.Do(req)
		assert.NilError(t, err)
		defer res.Body.Close()
		time.Sleep(300*time.Millisecond + 400*time.Millisecond)
		w.Switch(func() {
			for _, e := range w.Engines {
				assert.Equal(t, e.active, 0, "%s still works", e.ID)
			}
		})
	})
}

// A planned stop cuts nothing: requests that have come are answered, and the
// scope goes to another daemon at once.
func TestPlannedStopCutsNothing(t *testing.T) {
	run(t, func(t *testing.T, w *World) {
		d := w.Daemons[0]
		var callers sync.WaitGroup
		var mu sync.Mutex
		answers := map[string]Answer{}
		for n := range 8 {
			id := fmt.Sprintf("d-%d", n)
			callers.Go(func() {
				a := w.Stream(d, id, ModelOfTwo)
				mu.Lock()
				answers[id] = a
				mu.Unlock()
			})
		}
		time.Sleep(100 * time.Millisecond)
		began := time.Now()
		d.Drain()
		callers.Wait()
		cut, refused := cutOrRefused(t, answers)
		assert.Equal(t, cut+refused, 0)
		assert.Assert(t, time.Since(began) < 8*time.Second, "the stop took %s", time.Since(began))
		time.Sleep(time.Second)
		assert.Assert(t, !d.Leads())
	})
}

// The daemon that reads the list for the others is turned away by the store.
// The others take a new document and a server's leaving into force in time all
// the same.
func TestReaderIsTurnedAway(t *testing.T) {
	// Whenever it comes between the readings of the others.
	for n := range 7 {
		turnReaderAway(t, 3, time.Duration(n)*time.Second)
		turnReaderAway(t, 12, time.Duration(n)*1100*time.Millisecond)
	}
}

// The calls to the store hardly grow with the daemons.
func TestCallsOfManyDaemons(t *testing.T) {
	perSecond := map[int]float64{}
	for _, daemons := range []int{6, 24} {
		runDaemons(t, daemons, func(t *testing.T, w *World) {
			time.Sleep(5 * time.Second)
			calls := w.Store.Calls()
			time.Sleep(60 * time.Second)
			perSecond[daemons] = float64(w.Store.Calls()-calls) / 60
		})
	}
	slope := (perSecond[24] - perSecond[6]) / 18
	assert.Assert(t, slope < 0.4, "each daemon adds %.2f calls a second: %v", slope, perSecond)
}

func turnReaderAway(t *testing.T, daemons int, after time.Duration) {
	t.Helper()
	runDaemons(t, daemons, func(t *testing.T, w *World) {
		time.Sleep(after)
		var reader *Daemon
		for _, d := range w.Daemons {
			if d.Leads() {
				reader = d
				w.Net.CutBoth(d.ip, storeIP)
				defer w.Net.Heal(d.ip, storeIP)
			}
		}
		w.Publish(without(Document(2), "safe"))
		w.Plains[0].announce("draining")
		time.Sleep(1900 * time.Millisecond)
		for _, d := range w.Daemons {
			if d == reader {
				continue
			}
			assert.Equal(t, w.Call(d, http.MethodGet, "/safe/x", "s-"+d.name, "", "", nil).Status, http.StatusNotFound, d.name)
			a := w.Call(d, http.MethodPost, "/unsafe/x", "u-"+d.name, "", "b", nil)
			assert.Equal(t, a.Header.Get("X-Carawayproxy-Server-Stamp"), "proof-p-01", d.name)
		}
	})
}
