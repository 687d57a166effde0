package site

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// Answer is what a caller got.
type Answer struct {
	Status int
	Header http.Header
	Body   string
	Err    error         // of the connection, or of an answer that was cut
	First  time.Duration // until the first bytes of the body
	Gap    time.Duration // the longest pause between bytes of the body
}

// Whole reports whether a stream's answer has every event of the request once
// and in order.
func (a Answer) Whole(id string) bool {
	if a.Err != nil || a.Status != http.StatusOK {
		return false
	}
	var want strings.Builder
	for n := 1; n <= events; n++ {
		fmt.Fprintf(&want, "id: %d\ndata: %s-%d\n\n", n, id, n)
	}
	return a.Body == want.String()
}

// Call sends a request to a daemon and reads its answer.
func (w *World) Call(d *Daemon, method, path, id, model, body string, more http.Header) Answer {
	return w.CallAt(d.URL(path), method, id, model, body, more)
}

// CallAt sends a request to a URL and reads its answer.
func (w *World) CallAt(url, method, id, model, body string, more http.Header) Answer {
	ctx, cancel := context.WithTimeout(w.ctx, 10*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return Answer{Err: err}
	}
	req.Host = HostName
	req.Header.Set("X-Carawayproxy-Attempt-Id", id)
	req.Header.Set("X-Carawayproxy-Key", Key)
	req.Header.Set("X-Carawayproxy-Deadline-Ms", "6000")
	if model != "" {
		req.Header.Set("X-Carawayproxy-Model", model)
		req.Header.Set("X-Carawayproxy-Token-Usage", "700,100")
	}
	for name, values := range more {
		req.Header[name] = values
	}
	began := time.Now()
	res, err := w.client.Do(req)
	if err != nil {
		return Answer{Err: err}
	}
	defer res.Body.Close()
	a := Answer{Status: res.StatusCode, Header: res.Header}
	var b strings.Builder
	buf := make([]byte, 4096)
	last := time.Now()
	for {
		n, err := res.Body.Read(buf)
		b.Write(buf[:n])
		if n > 0 {
			if a.First == 0 {
				a.First = time.Since(began)
			} else {
				a.Gap = max(a.Gap, time.Since(last))
			}
			last = time.Now()
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			a.Err = err
			break
		}
	}
	a.Body = b.String()
	return a
}

// Stream sends a request for a stream of a model.
func (w *World) Stream(d *Daemon, id, model string) Answer {
	return w.Call(d, http.MethodPost, "/stream/x", id, model, "prompt", nil)
}

func contextWithTimeout(w *World, d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(w.ctx, d)
}
