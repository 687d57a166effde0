package site

import (
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
