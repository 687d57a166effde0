//go:build linux

package crowd

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carawayproxy.example/caraway/standin/site"
)

const (
	// uploadBytes is the size of a long body, more than the socket buffers take.
	uploadBytes = 16 << 20
	// uploadMemoryMiB is the memory limit of a daemon that has room for such a body.
	uploadMemoryMiB = 512
	// arrivalTime is many times what bytes need on loopback. A reset discards those that
	// have not arrived.
	arrivalTime = 5 * time.Millisecond
)

// server is a backend server that answers a request as soon as it has read its head.
type server struct {
	// answer is the text of the answer to a request.
	answer func(id string) string
	// end ends the connection after the answer; nil closes it.
	end      func(conn *net.TCPConn)
	requests atomic.Int64
}

// startServer starts a server and a daemon before it, with a plain and a streaming route for
// requests that may run again, and one of each for others. It returns the daemon once it
// forwards requests.
func startServer(t *testing.T, s *server) *process {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(conn.(*net.TCPConn))
		}
	}()
	p := startBefore(t, uploadMemoryMiB, site.Options{}, func(w *site.World) map[string]any {
		entry, err := json.Marshal(map[string]any{
			"service": site.PlainService, "addr": l.Addr().String(), "zone": "a", "version": "v1", "slots": site.Slots,
			"state": "ready", "coldLeftMs": 0, "seq": 0, "born": 1,
		})
		assert.NilError(t, err)
		w.Store.Put("keyed.servers", "p-broken", entry)
		document := document(uploadBytes)
		routes := document["routes"].([]any)
		for name, resumable := range map[string]bool{"resumable": true, "not-resumable": false} {
			routes = append(routes, map[string]any{
				"name": name, "host": site.HostName, "pathPrefix": "/" + name + "/", "routeKind": "streaming", "timeoutMs": 8000, "sloMs": 400,
				"gapSloMs": 300, "priority": 1, "service": site.PlainService, "maxAttempts": 3, "resumable": resumable,
			})
		}
		document["routes"] = routes
		return document
	})
	for end := time.Now().Add(answerTime); s.requests.Load() == 0; {
		assert.Assert(t, time.Now().Before(end), "no request was forwarded within %s", answerTime)
		p.send("/safe/x", "first", "b")
		time.Sleep(retryPause)
	}
	return p
}

// serve answers one request.
func (s *server) serve(conn *net.TCPConn) {
	defer conn.Close()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return // the daemon has only dialed
	}
	s.requests.Add(1)
	_, _ = io.WriteString(conn, s.answer(r.Header.Get("X-Carawayproxy-Attempt-Id")))
	time.Sleep(arrivalTime)
	if s.end != nil {
		s.end(conn)
	}
}

// send sends a request with a body.
func (p *process) send(path, id, body string) site.Response {
	return p.world.CallAt("http://"+p.callers+path, http.MethodPost, id, "", body, nil)
}

// exchange is an answer and its end, and whether callers are to get it.
type exchange struct {
	name   string
	answer func(id string) string
	end    func(conn *net.TCPConn)
	whole  bool
}

// checkExchanges sends requests with long bodies on all routes, and checks that callers get
// the answers that are whole, and no other.
func checkExchanges(t *testing.T, body string, exchanges []exchange) {
	const rounds = 20
	for _, x := range exchanges {
		t.Run(x.name, func(t *testing.T) {
			s := &server{answer: x.answer, end: x.end}
			p := startServer(t, s)
			upload := strings.Repeat("u", uploadBytes)
			for _, route := range []string{"safe", "unsafe", "resumable", "not-resumable"} {
				before, got := s.requests.Load(), 0
				for n := range rounds {
					r := p.send("/"+route+"/x", fmt.Sprintf("%s-%d", route, n), upload)
					if r.Err == nil && r.Status == http.StatusOK {
						got++
						assert.Check(t, !x.whole || r.Body == body, "%s: body %q", route, r.Body)
					} else {
						assert.Check(t, !x.whole, "%s: status %d, %v, %q", route, r.Status, r.Err, r.Body)
					}
				}
				assert.Check(t, x.whole || got == 0, "%s: callers got %d of %d answers", route, got, rounds)
				assert.Check(t, s.requests.Load() > before, "%s: no request was forwarded", route)
			}
		})
	}
}

// readUpload ends the answer and reads the rest of the request.
func readUpload(conn *net.TCPConn) {
	_ = conn.CloseWrite()
	_, _ = io.Copy(io.Discard, conn)
}

// answerWith returns answers with a status, the fields that callers need, further lines of
// the head, and a body.
func answerWith(status, lines, body string) func(id string) string {
	return func(id string) string {
		return "HTTP/1.1 " + status + "\r\nX-Carawayproxy-Attempt-Id: " + id + "\r\nX-Carawayproxy-Server-Stamp: s\r\nContent-Type: text/event-stream\r\n" +
			lines + "\r\n" + body
	}
}

// An engine answered a long upload at once with a 200 without a length, sent a part of the
// body and reset the connection during the upload. The caller got the part as a complete
// answer.
func TestResetDuringTheUploadEndedAnAnswer(t *testing.T) {
	const body = "id: 1\ndata: x\n\n"
	answer := answerWith("200 OK", "", body)
	checkExchanges(t, body, []exchange{
		{"reset", answer, func(conn *net.TCPConn) { _ = conn.SetLinger(0) }, false},
		{"ended, and the upload read", answer, readUpload, true},
	})
}

// An engine in trouble sends an answer whose status is 000.
func TestStatusThatIsNoFinalAnswer(t *testing.T) {
	const (
		body   = "id: 1\ndata: x\n\n"
		chunks = "f\r\n" + body + "\r\n0\r\n\r\n"
	)
	checkExchanges(t, body, []exchange{
		{"000, with a length", answerWith("000 None", "Content-Length: 15\r\n", body), readUpload, false},
		{"000, in chunks", answerWith("000 None", "Transfer-Encoding: chunked\r\n", chunks), readUpload, false},
		{"000, ended with its connection", answerWith("000 None", "", body), readUpload, false},
		{"099", answerWith("099 None", "Content-Length: 15\r\n", body), readUpload, false},
		{"200, in chunks", answerWith("200 OK", "Transfer-Encoding: chunked\r\n", chunks), readUpload, true},
	})
}

// An engine in trouble sent an answer in whose head the name of a field held a blank or a
// control byte. The caller got it as an answer, without that line, and the chunks that it
// announced as the body.
func TestNamesThatAreNoTokens(t *testing.T) {
	const (
		body   = "id: 1\ndata: x\n\n"
		length = "Content-Length: 15\r\n"
		chunks = "f\r\n" + body + "\r\n0\r\n\r\n"
	)
	checkExchanges(t, body, []exchange{
		{"blank", answerWith("200 OK", "X Field: 1\r\n"+length, body), readUpload, false},
		{"blank at the end", answerWith("200 OK", "X-Field : 1\r\n", body), readUpload, false},
		{"blank after a framing field", answerWith("200 OK", "Transfer-Encoding : chunked\r\n", chunks), readUpload, false},
		{"tab", answerWith("200 OK", "X-Field\t: 1\r\n"+length, body), readUpload, false},
		{"control byte", answerWith("200 OK", "X\x01Field: 1\r\n"+length, body), readUpload, false},
		{"zero byte", answerWith("200 OK", "X-Field\x00: 1\r\n", body), readUpload, false},
		{"folded line", answerWith("200 OK", "X-Field: 1\r\n X-Folded: 2\r\n", body), readUpload, true},
		{"empty value, lower case", answerWith("200 OK", "x-field:\r\n"+length, body), readUpload, true},
	})
}
