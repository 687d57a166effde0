package site

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A server's entry was deleted while, or soon after, the list could not be read. The
// daemons kept the server for 2 s from when they noticed, or from when a peer told
// them, as one that might return. So long after it has left they must have stopped.
func TestServerThatLeftWasKeptAsOneThatMayReturn(t *testing.T) {
	const (
		pause  = 700 * time.Millisecond
		outage = 5300 * time.Millisecond
		stable = 3 * time.Second // after an outage, until the bound holds again
	)
	leave := func(w *World) { w.Store.Put("keyed.servers", w.Plains[0].ID, nil) }
	for _, test := range []struct {
		name string
		// run deletes the entry, and returns the daemons that must not use the server
		// drainBound later.
		run func(w *World, phase time.Duration) (bound []*Daemon)
	}{
		{"answers are lost", func(w *World, phase time.Duration) []*Daemon {
			w.Store.DropPendingReads("keyed.servers")
			time.Sleep(phase)
			leave(w)
			return w.Daemons
		}},
		{"reader stands still", func(w *World, phase time.Duration) []*Daemon {
			time.Sleep(phase)
			reader := readerOf(w)
			w.Net.Freeze(reader.ip)
			w.runAfter(pause, func() { w.Net.Thaw(reader.ip) })
			time.Sleep(pause / 2)
			leave(w)
			return except(w.Daemons, reader)
		}},
		{"after an outage that refuses", func(w *World, phase time.Duration) []*Daemon {
			time.Sleep(phase)
			w.Store.SetUnavailable(true)
			time.Sleep(outage)
			w.Store.SetUnavailable(false)
			time.Sleep(stable)
			leave(w)
			return w.Daemons
		}},
		{"after a silent outage", func(w *World, phase time.Duration) []*Daemon {
			time.Sleep(phase)
			w.Store.SetSilent(true)
			time.Sleep(outage)
			w.Store.SetSilent(false)
			time.Sleep(stable)
			leave(w)
			return w.Daemons
		}},
		{"just before an outage", func(w *World, phase time.Duration) []*Daemon {
			time.Sleep(phase)
			w.Store.SetSilent(true)
			leave(w)
			time.Sleep(outage)
			w.Store.SetSilent(false)
			time.Sleep(stable - drainBound)
			return w.Daemons
		}},
		{"just before an outage that drops the history", func(w *World, phase time.Duration) []*Daemon {
			time.Sleep(phase)
			w.Store.SetSilent(true)
			leave(w)
			time.Sleep(outage)
			w.Store.TruncateHistory("keyed.servers")
			w.Store.SetSilent(false)
			time.Sleep(stable - drainBound)
			return w.Daemons
		}},
	} {
		for _, daemons := range []int{7, 24} {
			for n, phase := range []time.Duration{0, 230 * time.Millisecond, 490 * time.Millisecond, 810 * time.Millisecond} {
				if underRace && n > 0 {
					continue
				}
				t.Run(fmt.Sprintf("%s, %d daemons, %s", test.name, daemons, phase), func(t *testing.T) {
					runLargerWorld(t, daemons, func(t *testing.T, w *World) {
						bound := test.run(w, phase)
						time.Sleep(drainBound)
						for _, d := range bound {
							for n := range 4 {
								r := w.Call(d, http.MethodPost, "/unsafe/x", fmt.Sprintf("late-%s-%d", d.name, n), "", "", nil)
								assert.Check(t, r.Header.Get("X-Carawayproxy-Server-Stamp") == "proof-p-01", "%s: status %d, stamp %q", d.name, r.Status, r.Header.Get("X-Carawayproxy-Server-Stamp"))
							}
						}
					})
				})
			}
		}
	}
}

// except returns all daemons but one.
func except(all []*Daemon, one *Daemon) (others []*Daemon) {
	for _, d := range all {
		if d != one {
			others = append(others, d)
		}
	}
	return others
}

// All entries expire in an outage and return just in time. The daemons must use the
// servers all the while, those too that do not read the list by themselves.
func TestServersWhoseEntriesExpiredWereDropped(t *testing.T) {
	for _, daemons := range []int{7, 24} {
		for _, outage := range []time.Duration{2200 * time.Millisecond, 5300 * time.Millisecond} {
			t.Run(fmt.Sprintf("%d daemons, %s", daemons, outage), func(t *testing.T) {
				runLargerWorld(t, daemons, func(t *testing.T, w *World) {
					w.Store.SetSilent(true)
					time.Sleep(outage)
					for _, e := range w.Engines {
						w.Store.Put("keyed.servers", e.ID, nil)
						w.runAfter(1500*time.Millisecond, e.announce)
					}
					w.Store.SetSilent(false)
					cut, rejected := countCutAndRejected(t, sendStreams(w, ModelOfTwo, 4*time.Second))
					assert.Equal(t, cut+rejected, 0)
				})
			})
		}
	}
}

// A server was chosen, and left while the connection to it was being opened. The request
// was sent to it all the same, up to 0.4 s later.
func TestRequestSentToAServerThatLeftWhileItWasDialed(t *testing.T) {
	for name, leave := range map[string]func(w *World){
		"draining": func(w *World) { w.Plains[0].announce("draining") },
		"deleted":  func(w *World) { w.Store.Put("keyed.servers", w.Plains[0].ID, nil) },
	} {
		t.Run(name, func(t *testing.T) {
			runWorld(t, func(t *testing.T, w *World) {
				const (
					requests = 8                      // one server can run all of them
					chosen   = 10 * time.Millisecond  // by then each has its server
					known    = 300 * time.Millisecond // by then the leaving is, and no dial has timed out
				)
				plain, _, err := net.SplitHostPort(w.Plains[0].addr)
				assert.NilError(t, err)
				separate := func(f func(a, b string)) {
					for _, d := range w.Daemons {
						f(d.ip, plain)
					}
				}
				separate(w.Net.CutBoth)
				var calls sync.WaitGroup
				for n := range requests {
					calls.Go(func() {
						method, path := http.MethodPost, "/unsafe/x"
						if n%2 == 0 {
							method, path = http.MethodGet, "/safe/x"
						}
						r := w.Call(w.Daemons[0], method, path, fmt.Sprint("dialed-", n), "", "", nil)
						stamp := r.Header.Get("X-Carawayproxy-Server-Stamp")
						assert.Check(t, r.Status == http.StatusOK && stamp == "proof-"+w.Plains[1].ID, "%s: status %d, stamp %q, %v, %s", path, r.Status, stamp, r.Err, r.Body)
					})
				}
				time.Sleep(chosen)
				leave(w)
				time.Sleep(known - chosen)
				separate(w.Net.Heal)
				calls.Wait()
			})
		})
	}
}
