package site

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Streams may have neither a length nor chunks and end with their connection. One
// that ends inside an event was broken off: it resumes at another engine, and if
// that breaks off too, the caller must be able to tell.
func TestUnframedStreams(t *testing.T) {
	for _, test := range []struct {
		name     string
		unframed bool
		cuts     int
		complete bool
	}{
		{"whole", true, 0, true},
		{"broken off once", true, 1, true},
		{"broken off at each attempt", true, 3, false},
		{"in chunks, broken off once", false, 1, true},
		{"in chunks, broken off at each attempt", false, 3, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			runWorld(t, func(t *testing.T, w *World) {
				w.Update(func() { w.shared.unframed, w.shared.cuts = test.unframed, test.cuts })
				r := w.Stream(w.Daemons[0], "s", ModelOfTwo)
				assert.Equal(t, r.Status, http.StatusOK)
				assert.Equal(t, r.IsComplete("s"), test.complete, "%v, %q", r.Err, r.Body)
				if !test.complete {
					assert.Assert(t, r.Err != nil, "the caller cannot tell that the stream was broken off: %q", r.Body)
					assert.Assert(t, strings.HasSuffix(r.Body, "\n\n"), "a part of an event was passed on: %q", r.Body)
				}
			})
		})
	}
}

// A document shortens a route's time-out. A request that no engine answers gets
// its final answer at the time-out, not at the caller's deadline.
func TestRouteTimeoutIsKept(t *testing.T) {
	runWorld(t, func(t *testing.T, w *World) {
		document := Document(2)
		for _, route := range document["routes"].([]any) {
			route.(map[string]any)["timeoutMs"] = 1500
		}
		w.Publish(document)
		time.Sleep(2 * time.Second)
		w.Update(func() {
			for _, e := range w.Engines {
				e.dead = true
			}
		})
		began := time.Now()
		r := w.Stream(w.Daemons[1], "s", ModelOfTwo)
		took := time.Since(began)
		assert.Assert(t, r.Status != http.StatusOK && r.Err == nil, "status %d, %v", r.Status, r.Err)
		assert.Assert(t, took <= 2*time.Second, "answered after %s, the route's time-out is 1.5 s", took)
	})
}

// A server's answer ended inside its head. Callers must not get it as a success, with an
// empty or a shorter body.
func TestAnswerThatEndedInItsHeadWasPassedOn(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Carawayproxy-Attempt-Id: %s\r\nX-Carawayproxy-Server-Stamp: proof\r\nContent-Type: text/event-stream\r\n%s\r\n"
	for name, framing := range map[string]string{"no length": "", "length": "Content-Length: 0\r\n", "chunks": "Transfer-Encoding: chunked\r\n"} {
		t.Run(name, func(t *testing.T) {
			runWorld(t, func(t *testing.T, w *World) {
				sent := 0 // bytes of the head, set between requests
				cut := func(rw http.ResponseWriter, r *http.Request, _ http.Handler) {
					_, _ = io.Copy(io.Discard, r.Body)
					conn, _, err := http.NewResponseController(rw).Hijack()
					if err != nil {
						panic(err)
					}
					answer := fmt.Sprintf(head, r.Header.Get("X-Carawayproxy-Attempt-Id"), framing)
					_, _ = io.WriteString(conn, answer[:sent])
					_ = conn.Close()
				}
				for _, p := range w.Plains {
					w.interpose(p.server, cut)
				}
				for _, e := range w.Engines {
					w.interpose(e.server, cut)
				}
				length := len(fmt.Sprintf(head, "u-000", framing))
				for ; sent < length-1; sent++ {
					for _, path := range []string{"/unsafe/x", "/safe/x"} {
						r := w.Call(w.Daemons[sent%3], http.MethodPost, path, fmt.Sprintf("%c-%03d", path[1], sent), "", "b", nil)
						assert.Check(t, r.Status != http.StatusOK, "%s after %d bytes: %d, %q, %v", path, sent, r.Status, r.Body, r.Err)
					}
					if sent%10 == 0 {
						r := w.Stream(w.Daemons[sent%3], fmt.Sprintf("s-%03d", sent), ModelOfTwo)
						assert.Check(t, r.Status != http.StatusOK || r.Err != nil, "stream after %d bytes: %d, %q", sent, r.Status, r.Body)
					}
				}
				sent = length
				r := w.Call(w.Daemons[0], http.MethodPost, "/unsafe/x", "u-all", "", "b", nil)
				assert.Equal(t, r.Status == http.StatusOK, name != "chunks", "a whole head: status %d", r.Status)
			})
		})
	}
}

// An engine's process ended while it gave streams that have neither a length nor chunks.
// Callers got a shorter stream as a complete one, though the rest could be had elsewhere.
func TestUnframedStreamWhoseEngineCrashedLookedComplete(t *testing.T) {
	runWorld(t, func(t *testing.T, w *World) {
		w.Update(func() { w.shared.unframed = true })
		w.runAfter(time.Second, func() { w.CrashEngine(w.Member(ModelOfTwo, 0)) })
		responses := sendStreams(w, ModelOfTwo, 3*time.Second)
		for id, r := range responses {
			assert.Check(t, r.Status != http.StatusOK || r.Err != nil || r.IsComplete(id), "%s ends as complete after %d events", id, strings.Count(r.Body, "\n\n"))
		}
		cut, rejected := countCutAndRejected(t, responses)
		assert.Equal(t, cut, 0)
		assert.Assert(t, rejected <= len(responses)/10, "%d of %d rejected", rejected, len(responses))
	})
}
