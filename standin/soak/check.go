package soak

import (
	"fmt"
	"net/http"

	"carawayproxy.example/caraway/standin/site"
)

// ObservedCall is one call with the response that its caller received.
type ObservedCall struct {
	ID         string
	Stream     bool
	AtMostOnce bool   // the request must not run twice
	WantBody   string // expected body of the response
	Response   site.Response
}

// Check returns the fault of a response, or "" if it has none.
func (c ObservedCall) Check() string {
	r := c.Response
	if r.Err != nil {
		return "" // the caller can tell that the response was cut
	}
	echo := r.Header.Get("X-Carawayproxy-Attempt-Id")
	switch {
	case r.Status == http.StatusOK && echo != c.ID:
		return fmt.Sprintf("%s got the response of request %q", c.ID, echo)
	case r.Status == http.StatusOK && c.Stream && !r.IsComplete(c.ID):
		return fmt.Sprintf("%s got a truncated or wrong stream without an error: %q", c.ID, r.Body)
	case r.Status == http.StatusOK && !c.Stream && r.Body != c.WantBody:
		return fmt.Sprintf("%s got body %q, want %q", c.ID, r.Body, c.WantBody)
	case r.Status == http.StatusOK && r.Header.Get("X-Carawayproxy-Server-Stamp") == "":
		return c.ID + " got status 200 without a server stamp"
	case r.Status/100 == 4:
		return fmt.Sprintf("valid request %s got status %d", c.ID, r.Status)
	}
	return ""
}
