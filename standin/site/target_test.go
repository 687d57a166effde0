package site

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A path that begins with two slashes reached its server as an absolute address, which is
// another path at another host. A target reaches the server byte for byte, or is refused
// as malformed.
func TestTargetWasChangedOnTheWay(t *testing.T) {
	runWorld(t, func(t *testing.T, w *World) {
		document := Document(2)
		for _, r := range document["routes"].([]any) {
			if route := r.(map[string]any); route["name"] == "unsafe" {
				route["pathPrefix"] = "/"
			}
		}
		w.Publish(document)
		time.Sleep(documentBound)
		for i, test := range []struct {
			target string
			status int
		}{
			{"/a", http.StatusOK},
			{"//lohu930/2f", http.StatusOK},
			{"//", http.StatusOK},
			{"///a//b/", http.StatusOK},
			{"//10.0.0.9:80/x?y", http.StatusOK},
			{"//user@host/x?", http.StatusOK},
			{"/a//../b/./c?d?e=%zz", http.StatusOK},
			{"/%2F%2fa/%2e%2e/%00?", http.StatusOK},
			{"/a:80/\xff{|}\"", http.StatusOK},
			{"//a?{|}\xff", http.StatusOK},
			{"//a{b}", http.StatusBadRequest},
			{"//\xff", http.StatusBadRequest},
			{"*", http.StatusBadRequest},
			{"http://" + HostName + "/a", http.StatusBadRequest},
			{"http://other.example/a", http.StatusBadRequest},
		} {
			d := w.Daemons[i%len(w.Daemons)]
			seen, status := callRaw(t, w, d, fmt.Sprint("target-", i), test.target)
			assert.Check(t, status == test.status, "%q: status %d, want %d", test.target, status, test.status)
			if status == http.StatusOK {
				assert.Check(t, seen == test.target, "%q reached the server as %q", test.target, seen)
			}
		}
	})
}

// callRaw sends a request with a target as it is, and returns the one that the server saw.
func callRaw(t *testing.T, w *World, d *Daemon, id, target string) (seen string, status int) {
	t.Helper()
	conn, err := w.Net.Host(callerIP).Dial(t.Context(), "tcp", net.JoinHostPort(d.ip, portCallers))
	assert.NilError(t, err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Carawayproxy-Attempt-Id: %s\r\nX-Carawayproxy-Key: %s\r\nX-Carawayproxy-Deadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n", target, HostName, id, Key)
	assert.NilError(t, err)
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	defer res.Body.Close()
	return res.Header.Get("X-Seen-Target"), res.StatusCode
}
