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
func (s ObservedCall) Check() string {
	a := s.Response
	if a.Err != nil {
		return "" // the caller can tell that the response was cut
	}
	echo := a.Header.Get("X-Carawayproxy-Attempt-Id")
	switch {
	case a.Status == http.StatusOK && echo != s.ID:
		return fmt.Sprintf("%s got the response of request %q", s.ID, echo)
	case a.Status == http.StatusOK && s.Stream && !a.IsComplete(s.ID):
		return fmt.Sprintf("%s got a truncated or wrong stream without an error: %q", s.ID, a.Body)
	case a.Status == http.StatusOK && !s.Stream && a.Body != s.WantBody:
		return fmt.Sprintf("%s got body %q, want %q", s.ID, a.Body, s.WantBody)
	case a.Status == http.StatusOK && a.Header.Get("X-Carawayproxy-Server-Stamp") == "":
		return s.ID + " got status 200 without a server stamp"
	case a.Status/100 == 4:
		return fmt.Sprintf("valid request %s got status %d", s.ID, a.Status)
	}
	return ""
}
