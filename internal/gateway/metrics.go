package gateway

import (
	"net/http"

	"github.com/rcrowley/go-metrics"
)

// Metrics serves the registry as JSON.
func Metrics(r metrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		metrics.WriteJSONOnce(r, w)
	})
}
