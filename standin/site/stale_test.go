package site

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// interpose puts a handler before that of a server.
func (w *World) interpose(server *http.Server, handle func(rw http.ResponseWriter, r *http.Request, next http.Handler)) {
	w.Update(func() {
		next := server.Handler
		server.Handler = http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { handle(rw, r, next) })
	})
}

// A faulty server wrote the rejection of an earlier request once more, for a request
// that it ran: the caller was told "not run, try again", or another server ran the
// request as well.
func TestRejectionOfAnEarlierRequestWasBelieved(t *testing.T) {
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusMisdirectedRequest} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			runWorld(t, func(t *testing.T, w *World) {
				for _, p := range w.Plains {
					w.interpose(p.server, func(rw http.ResponseWriter, r *http.Request, next http.Handler) {
						next.ServeHTTP(httptest.NewRecorder(), r) // the request runs
						rw.Header().Set("X-Carawayproxy-Attempt-Id", "earlier")
						if status != http.StatusMisdirectedRequest {
							rw.Header().Set("X-Carawayproxy-Not-Executed", "1")
						}
						rw.WriteHeader(status)
					})
				}
				for n := range 5 {
					id := fmt.Sprintf("u-%d", n)
					r := w.Call(w.Daemons[0], http.MethodPost, "/unsafe/x", id, "", "once", nil)
					assert.Equal(t, r.Status, http.StatusBadGateway)
					assert.Equal(t, w.RunCount(id), 1)
				}
				r := w.Call(w.Daemons[0], http.MethodPost, "/safe/x", "s-1", "", "b", nil)
				assert.Equal(t, r.Status, http.StatusBadGateway)
				assert.Equal(t, w.RunCount("s-1"), 2)
			})
		})
	}
}

// A stream had begun and broke off, and the next engine's answer was no continuation
// of it. Callers found its text in the middle of their stream, or a stream that ended
// as if it were complete.
func TestNextEngineDidNotContinueTheStream(t *testing.T) {
	proven := func(rw http.ResponseWriter, r *http.Request) http.Header {
		rw.Header().Set("X-Carawayproxy-Attempt-Id", r.Header.Get("X-Carawayproxy-Attempt-Id"))
		rw.Header().Set("X-Carawayproxy-Server-Stamp", "proof")
		return rw.Header()
	}
	for name, answer := range map[string]func(rw http.ResponseWriter, r *http.Request, next http.Handler){
		"error": func(rw http.ResponseWriter, r *http.Request, _ http.Handler) {
			proven(rw, r)
			http.Error(rw, "out of memory\n", http.StatusInternalServerError)
		},
		"error with the status of a success": func(rw http.ResponseWriter, r *http.Request, _ http.Handler) {
			proven(rw, r).Set("Content-Type", "text/event-stream")
			_, _ = rw.Write([]byte("HTTP/1.1 500 Internal Server Error\nX-Text: out of memory\n\n"))
		},
		"page": func(rw http.ResponseWriter, r *http.Request, _ http.Handler) {
			proven(rw, r).Set("Content-Type", "text/html")
			_, _ = rw.Write([]byte("id: 6\n<p>out of memory</p>\n\n"))
		},
		"empty, with a length": func(rw http.ResponseWriter, r *http.Request, _ http.Handler) {
			proven(rw, r).Set("Content-Length", "0")
		},
		"empty, ends with its connection": func(rw http.ResponseWriter, r *http.Request, _ http.Handler) {
			proven(rw, r).Set("Transfer-Encoding", "identity")
			rw.WriteHeader(http.StatusOK)
		},
		"another run": func(rw http.ResponseWriter, r *http.Request, next http.Handler) {
			r.Header.Del("Last-Event-Id")
			next.ServeHTTP(rw, r)
		},
	} {
		t.Run(name, func(t *testing.T) {
			runWorld(t, func(t *testing.T, w *World) {
				resumed := 0
				for _, e := range w.Engines {
					w.interpose(e.server, func(rw http.ResponseWriter, r *http.Request, next http.Handler) {
						if r.Header.Get("Last-Event-Id") == "" {
							next.ServeHTTP(rw, r)
							return
						}
						w.Update(func() { resumed++ })
						answer(rw, r, next)
					})
				}
				w.Update(func() { w.shared.cuts = 1 })
				r := w.Stream(w.Daemons[0], "s", ModelOfTwo)
				assert.Equal(t, r.Status, http.StatusOK)
				var got strings.Builder
				for n := 1; n < cutAfterEvents; n++ {
					fmt.Fprintf(&got, "id: %d\ndata: s-%d\n\n", n, n)
				}
				assert.Equal(t, r.Body, got.String())
				assert.Assert(t, r.Err != nil, "the caller cannot tell that the stream was broken off")
				assert.Assert(t, resumed > 0)
			})
		})
	}
}
