package site

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A record that holds no key ended each read of its topic. The daemons followed
// neither the list nor the routing document any more.
func TestRecordWithoutKeyStoppedTheDaemons(t *testing.T) {
	runWorld(t, func(t *testing.T, w *World) {
		w.Store.PutRaw("keyed.servers", []byte("\xff"))
		w.Store.PutRaw("keyed.op", []byte("\xff"))
		w.Plains[0].announce("draining")
		document := Document(9)
		document["routes"] = document["routes"].([]any)[1:]
		w.Publish(document)
		time.Sleep(drainBound)
		for _, d := range w.Daemons {
			for n := range 10 {
				r := w.Call(d, http.MethodPost, "/unsafe/x", fmt.Sprintf("u-%s-%d", d.name, n), "", "", nil)
				assert.Equal(t, r.Header.Get("X-Carawayproxy-Server-Stamp"), "proof-p-01", "the list")
			}
			r := w.Stream(d, "s-"+d.name, ModelOfTwo)
			assert.Equal(t, r.Status, http.StatusNotFound, "the routing document")
		}
	})
}

// foreignEntry returns an entry of a server that does not exist, in a place of a
// group.
func foreignEntry(t *testing.T, service string, group map[string]any) []byte {
	t.Helper()
	body, err := json.Marshal(map[string]any{
		"service": service, "addr": "10.77.0.1:8001", "zone": "a", "slots": Slots, "state": "ready", "seq": 0, "born": 1, "domain": "d0", "group": group,
	})
	assert.NilError(t, err)
	return body
}

// One entry of another writer that names a group took it over at every daemon, and
// its streams had to move.
func TestEntryTookAGroupOver(t *testing.T) {
	for _, test := range []struct {
		name, service string
		later, rank   uint64
		state         string
	}{
		{"leader of a later epoch, other service", PlainService, 1, 0, "open"},
		{"leader of the same epoch, other service", PlainService, 0, 0, "open"},
		{"leader of a later epoch", EngineService, 1 << 40, 0, "open"},
		{"member of a later epoch", EngineService, 1, 1, "joining"},
		{"rank beyond the size", EngineService, 1, 900, "ready"},
		{"leader of the same epoch", EngineService, 0, 0, "open"},
		{"closing leader of the same epoch", EngineService, 0, 0, "closing"},
		{"broken leader of the same epoch", EngineService, 0, 0, "broken"},
		{"member of the same epoch", EngineService, 0, 1, "ready"},
	} {
		t.Run(test.name, func(t *testing.T) {
			runWorld(t, func(t *testing.T, w *World) {
				whole := func(d *Daemon) int { return d.process().CountWholeGroups(ModelService(ModelOfThree)) }
				before := whole(w.Daemons[0])
				assert.Assert(t, before >= 2)
				orders := w.OrderCount()
				leader := w.Member(ModelOfThree, 0)
				var place groupMembership
				w.Update(func() { place = *leader.membership })
				w.runAfter(time.Second, func() {
					w.Store.Put("keyed.servers", "foreign", foreignEntry(t, test.service, map[string]any{
						"name": place.Name, "epoch": place.Epoch + test.later, "rank": test.rank, "state": test.state,
					}))
				})
				for id, r := range sendStreams(w, ModelOfThree, 4*time.Second) {
					assert.Check(t, r.IsComplete(id), "%s: status %d, %v, %q", id, r.Status, r.Err, r.Body)
					assert.Check(t, r.LongestGap < 200*time.Millisecond, "%s: a pause of %s", id, r.LongestGap)
				}
				for _, d := range w.Daemons {
					assert.Check(t, whole(d) == before, "%s has %d whole groups, %d before", d.name, whole(d), before)
				}
				if test.service != EngineService { // a listed engine may be wanted for a group of spares
					assert.Equal(t, w.OrderCount(), orders, "orders for an entry of another writer")
				}
			})
		})
	}
}
