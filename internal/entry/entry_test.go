package entry

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"carawayproxy.example/caraway/internal/event"
	"carawayproxy.example/caraway/internal/routes"
)

type keyMeta struct{}

func (keyMeta) Decode(h http.Header) (Meta, error) {
	return Meta{Request: "r", Key: h.Get("X-Key")}, nil
}

// A request for a route or with a key that a newer document may have was answered as if
// it were wrong, and its caller did not come back.
func TestRequestThatANewerDocumentMayAllow(t *testing.T) {
	document := testDocument()
	document.Routes[0].PathPrefix = "/known/"
	document.Workspaces = []routes.Workspace{{Name: "w", Keys: []string{"key"}}}
	current := &routes.CurrentDocument{}
	assert.Assert(t, current.Update(document))
	for _, test := range []struct {
		name, path, key string
		outdated        bool
		want            int
	}{
		{"unknown route", "/other/x", "key", false, http.StatusNotFound},
		{"unknown key", "/known/x", "other", false, http.StatusUnauthorized},
		{"unknown route, a newer document", "/other/x", "key", true, http.StatusServiceUnavailable},
		{"unknown key, a newer document", "/known/x", "other", true, http.StatusServiceUnavailable},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := NewHandler(Config{
				Codec: keyMeta{}, Routes: current, Draining: func() bool { return false }, IsOutdated: func() bool { return test.outdated },
				StopsAt: func() time.Time { return time.Time{} }, Events: event.Discard(),
			})
			r := httptest.NewRequest(http.MethodGet, "http://h.example"+test.path, nil)
			r.RequestURI = test.path
			r.Header.Set("X-Key", test.key)
			w := httptest.NewRecorder()
			h.ServeHTTP(w, r)
			assert.Equal(t, w.Code, test.want, w.Body.String())
			assert.Equal(t, w.Header().Get("Retry-After") != "", test.outdated)
		})
	}
}
