package reach

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A server sent a part of an answer without a length and reset the connection during the
// upload. Through another daemon, that looked like the end of the answer.
func TestResetDuringTheUploadEndedAnAnswerThroughATunnel(t *testing.T) {
	const (
		rounds = 50
		moment = 10 * time.Millisecond
		text   = "HTTP/1.1 200 OK\r\n\r\nid: 1\ndata: x\n\n"
	)
	upload := bytes.Repeat([]byte("u"), 16<<20) // more than the socket buffers take
	for _, test := range []struct {
		name string
		// end ends the connection after the answer. read gets a value once that has been read.
		end   func(c *net.TCPConn, read <-chan struct{})
		whole bool
	}{
		{"reset", func(c *net.TCPConn, _ <-chan struct{}) { _ = c.SetLinger(0) }, false},
		{"ended, and the upload read", func(c *net.TCPConn, _ <-chan struct{}) {
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, c)
		}, true},
		{"ended, and nothing read", func(c *net.TCPConn, read <-chan struct{}) {
			_ = c.CloseWrite()
			<-read
		}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			read := make(chan struct{}, rounds)
			w := newTestWorld(t, 2)
			address := w.serve(t, func(c *net.TCPConn) {
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return // a check of the links
				}
				_, _ = io.WriteString(c, text)
				time.Sleep(moment) // a reset discards bytes that have not been sent
				test.end(c, read)
			})
			w.serve(t, idle)
			w.daemons[0].refusing.Store(true)
			client := &http.Client{Transport: &http.Transport{DialContext: w.daemons[0].DialContext, DisableKeepAlives: true}}
			complete, last := 0, error(nil)
			for range rounds {
				res, err := client.Post("http://"+address+"/", "text/plain", bytes.NewReader(upload))
				if err == nil {
					_, err = io.ReadAll(res.Body)
					assert.Check(t, res.Body.Close())
				}
				read <- struct{}{}
				if last = err; err == nil {
					complete++
				}
			}
			if test.whole {
				assert.Equal(t, complete, rounds, "%v", last)
			} else {
				assert.Equal(t, complete, 0, "parts that looked complete, of %d", rounds)
			}
		})
	}
}
