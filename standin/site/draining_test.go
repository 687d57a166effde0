package site

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// drainBound is how long after a server's announcement that it leaves it may
// still receive requests.
const drainBound = 2 * time.Second

// A server announces that it leaves, and a record that cannot be read follows
// under the same key. A daemon that reads only the newest record of each key kept
// the server's last state before that, and sent requests on.
func TestUnreadableEntryHidALeavingServer(t *testing.T) {
	for _, test := range []struct {
		name        string
		historyLost bool
	}{{"history lost", true}, {"all changes read", false}} {
		t.Run(test.name, func(t *testing.T) {
			runWorld(t, func(t *testing.T, w *World) {
				if test.historyLost {
					w.Store.HoldReads("keyed.servers", true)
				}
				w.Plains[0].announce("draining")
				w.Store.Put("keyed.servers", w.Plains[0].ID, []byte(`{"service":`))
				if test.historyLost {
					w.Store.TruncateHistory("keyed.servers")
					w.Store.HoldReads("keyed.servers", false)
				}
				time.Sleep(drainBound)
				for n := range 10 {
					for _, d := range w.Daemons {
						r := w.Call(d, http.MethodPost, "/unsafe/x", fmt.Sprintf("u-%s-%d", d.name, n), "", "", nil)
						assert.Equal(t, r.Header.Get("X-Carawayproxy-Server-Stamp"), "proof-p-01")
					}
				}
				w.Plains[0].announce("ready")
				time.Sleep(drainBound)
				used := map[string]bool{}
				for n := range 20 {
					r := w.Call(w.Daemons[0], http.MethodPost, "/unsafe/x", fmt.Sprintf("r-%d", n), "", "", nil)
					used[r.Header.Get("X-Carawayproxy-Server-Stamp")] = true
				}
				assert.Assert(t, used["proof-p-00"], "the server must be used again after a valid entry")
			})
		})
	}
}
