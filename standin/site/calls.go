package site

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Response is the response that a caller received.
type Response struct {
	Status     int
	Header     http.Header
	Body       string
	Err        error         // connection error, or a response body that was cut off
	FirstByte  time.Duration // time until the first bytes of the body
	LongestGap time.Duration // longest pause between bytes of the body
}

// IsComplete reports whether a stream's response has every event of request id
// once and in order.
func (r Response) IsComplete(id string) bool {
	if r.Err != nil || r.Status != http.StatusOK {
		return false
	}
	var want strings.Builder
	for n := 1; n <= eventsPerStream; n++ {
		fmt.Fprintf(&want, "id: %d\ndata: %s-%d\n\n", n, id, n)
	}
	return r.Body == want.String()
}

// Call sends a request to a daemon and reads the response. It sets the attempt
// id, the API key and a deadline; header replaces or adds header fields.
func (w *World) Call(d *Daemon, method, path, id, model, body string, header http.Header) Response {
	return w.CallAt(d.URL(path), method, id, model, body, header)
}

// CallAt is Call with the full URL of the request.
func (w *World) CallAt(url, method, id, model, body string, header http.Header) Response {
	ctx, cancel := context.WithTimeout(w.ctx, 10*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return Response{Err: err}
	}
	req.Host = HostName
	req.Header.Set("X-Carawayproxy-Attempt-Id", id)
	req.Header.Set("X-Carawayproxy-Key", Key)
	req.Header.Set("X-Carawayproxy-Deadline-Ms", "6000")
	req.Header.Set(headerSentAt, strconv.FormatInt(time.Since(w.shared.started).Milliseconds(), 10))
	if model != "" {
		req.Header.Set("X-Carawayproxy-Model", model)
		req.Header.Set("X-Carawayproxy-Token-Usage", "700,100")
	}
	for name, values := range header {
		req.Header[name] = values
	}
	began := time.Now()
	res, err := w.client.Do(req)
	if err != nil {
		return Response{Err: err}
	}
	defer res.Body.Close()
	r := Response{Status: res.StatusCode, Header: res.Header}
	var b strings.Builder
	buf := make([]byte, 4096)
	last := time.Now()
	for {
		n, err := res.Body.Read(buf)
		b.Write(buf[:n])
		if n > 0 {
			if r.FirstByte == 0 {
				r.FirstByte = time.Since(began)
			} else {
				r.LongestGap = max(r.LongestGap, time.Since(last))
			}
			last = time.Now()
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			r.Err = err
			break
		}
	}
	r.Body = b.String()
	return r
}

// Stream sends a streaming request for a model.
func (w *World) Stream(d *Daemon, id, model string) Response {
	return w.Call(d, http.MethodPost, "/stream/x", id, model, "prompt", nil)
}

func withTimeout(w *World, d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(w.ctx, d)
}
