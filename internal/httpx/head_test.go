package httpx

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// get returns the status and the body of an answer that has lines in its head and ends with
// its connection.
func get(t *testing.T, client *http.Client, lines string) (status int, body string, err error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-First: 1\r\n"+lines+"\r\nbody")
	}()
	res, err := client.Get("http://" + l.Addr().String() + "/")
	if err != nil {
		return 0, "", err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	return res.StatusCode, string(data), err
}

// An answer in whose head the name of a field held a blank was taken for a sound one. What
// that field said was unknown: chunks were taken for the body itself.
func TestNamesThatAreNoTokensWereAccepted(t *testing.T) {
	const token = "!#$%&'*+-.^_`|~"
	client := NewPollClient(Dialer())
	for b := range 256 {
		c := string([]byte{byte(b)})
		allowed := strings.Contains(token, c) || '0' <= b && b <= '9' || 'a' <= b|0x20 && b|0x20 <= 'z' && b < 0x80
		for _, name := range []string{"X" + c + "Field", "X-Field" + c} {
			if b == ':' || b == '\n' {
				continue // ends the name or the line
			}
			status, body, err := get(t, client, name+": 1\r\n")
			assert.Check(t, (err == nil) == allowed, "%q: status %d, %q, %v", name, status, body, err)
		}
	}
	for _, line := range []string{"Content-Length : 2", "Transfer-Encoding : chunked", "Content Length: 2", ": 1", "X-Field"} {
		status, body, err := get(t, client, line+"\r\n")
		assert.Check(t, err != nil, "%q: status %d, %q", line, status, body)
	}
}

// Heads that are unusual and sound.
func TestUnusualHeads(t *testing.T) {
	client := NewPollClient(Dialer())
	for _, lines := range []string{
		"X-Empty:\r\n", "X-Field:1\r\n", "x-field: 1\r\nX-FIELD: 2\r\n", "X-Field: 1 \t\r\n", "X-Field: a: b\r\n",
		"X-Field: 1\r\n X-Folded: 2\r\n", "X-Field: 1\n", "Content-Length: 4\r\nContent-Length: 4\r\n", "X-Long: " + strings.Repeat("a", 8<<10) + "\r\n",
		strings.Repeat("X-Many: 1\r\n", 100),
	} {
		status, body, err := get(t, client, lines)
		assert.Check(t, err == nil && status == http.StatusOK && body == "body", "%.80q: %s", lines, fmt.Sprint(status, body, err))
	}
}
