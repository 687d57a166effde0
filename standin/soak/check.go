package soak

import (
	"fmt"
	"net/http"

	"carawayproxy.example/caraway/standin/site"
)

// Seen is one call as its caller saw it.
type Seen struct {
	ID     string
	Stream bool
	Once   bool   // must not run twice
	Body   string // that the answer must have
	Answer site.Answer
}

// Check returns what is wrong with an answer by itself, "" for nothing.
func (s Seen) Check() string {
	a := s.Answer
	if a.Err != nil {
		return "" // cut, and seen to be cut
	}
	echo := a.Header.Get("X-Carawayproxy-Attempt-Id")
	switch {
	case a.Status == http.StatusOK && echo != s.ID:
		return fmt.Sprintf("%s got the answer of %q", s.ID, echo)
	case a.Status == http.StatusOK && s.Stream && !a.Whole(s.ID):
		return fmt.Sprintf("%s looks whole and is not: %q", s.ID, a.Body)
	case a.Status == http.StatusOK && !s.Stream && a.Body != s.Body:
		return fmt.Sprintf("%s got %q in place of %q", s.ID, a.Body, s.Body)
	case a.Status == http.StatusOK && a.Header.Get("X-Carawayproxy-Server-Stamp") == "":
		return s.ID + " got a success without an engine's proof"
	case a.Status/100 == 4:
		return fmt.Sprintf("%s is proper and got %d", s.ID, a.Status)
	}
	return ""
}
