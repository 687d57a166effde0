package site

import (
	"flag"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// documentDaemons is a further number of daemons, such as 195.
var documentDaemons = flag.Int("document-daemons", 0, "daemons in a further case of TestLargeDocumentTookEffectLate")

// Links of the large deployment.
const (
	thinLink = 20e6 / 8 / 2 // bytes a second; streams take the other half
	// storeReads is the rate in bytes a second that all reads of the store share, for each
	// of the 195 daemons there.
	storeReads = 80e6 / 195
	// largeDocumentBound is how long after a new version of the document requests may
	// still be handled by an earlier one there.
	largeDocumentBound = 4 * time.Second
)

// largeDocument returns a document with many more routes, which no request uses but those
// to addedRoute.
func largeDocument(version, routes int) map[string]any {
	document := Document(version)
	list := document["routes"].([]any)
	for i := range routes {
		id := fmt.Sprintf("%08x", uint32(i)*2654435761)
		list = append(list, map[string]any{
			"name": "added-" + id, "host": HostName, "pathPrefix": addedRoute(i), "routeKind": "unsafe", "timeoutMs": 8000, "sloMs": 400,
			"gapSloMs": 300, "priority": i % 4, "service": PlainService, "maxAttempts": 1, "resumable": false, "sticky": false,
		})
	}
	document["routes"] = list
	return document
}

// addedRoute returns the prefix of one of the routes of largeDocument.
func addedRoute(i int) string { return fmt.Sprintf("/%08x/", uint32(i)*2654435761) }

// checkAdded checks that the daemons know a route that was added.
func checkAdded(t *testing.T, w *World, route int, name string) {
	t.Helper()
	for _, d := range w.Daemons {
		r := w.Call(d, http.MethodPost, addedRoute(route)+"x", fmt.Sprintf("%s-%s", name, d.name), "", "", nil)
		assert.Check(t, r.Status == http.StatusOK, "%s: status %d, %v, %s", d.name, r.Status, r.Err, r.Body)
	}
}

// A document grew by many routes, and changes followed each other. All daemons read each
// version in full from the store, whose reads share a rate, and a daemon that was behind
// all versions since: reads were given up, their bytes thrown away, and the next ones were
// larger. Routes that all versions since had were answered with 404.
func TestLargeDocumentTookEffectLate(t *testing.T) {
	const routes = 1900
	sizes := []int{3, 24}
	if *documentDaemons > 0 {
		sizes = append(sizes, *documentDaemons)
	}
	for _, storm := range []struct {
		changes int
		gap     time.Duration
	}{{12, 330 * time.Millisecond}, {60, 150 * time.Millisecond}} {
		for _, daemons := range sizes {
			if underRace && daemons > 3 {
				continue
			}
			t.Run(fmt.Sprintf("%d daemons, a change every %s", daemons, storm.gap), func(t *testing.T) {
				o := Options{Daemons: daemons, Engines: 8, Plains: 2, Zones: 3}
				runWorldWith(t, o, func(t *testing.T, w *World) {
					w.Net.SetLinkRate(storeIP, storeReads*float64(daemons))
					for _, d := range w.Daemons {
						w.Net.SetLinkRate(d.ip, thinLink)
					}
					var checks sync.WaitGroup
					for n := range storm.changes {
						w.Publish(largeDocument(2+n, routes+n))
						if n%10 == 0 || n == storm.changes-1 {
							checks.Go(func() {
								time.Sleep(largeDocumentBound)
								checkAdded(t, w, max(routes+n-1, 0), fmt.Sprint("version-", n))
							})
						}
						time.Sleep(storm.gap)
					}
					checks.Wait()
				})
			})
		}
	}
}
