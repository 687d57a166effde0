package gateway

import (
	"fmt"
	"net/http"
)

// Health registers the health checks of a load balancer on mux: /healthz
// answers 200 while the process runs, /readyz answers 200 while ready returns
// true and otherwise 503 with the reason.
func Health(mux *http.ServeMux, ready func() (ok bool, reason string)) {
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintln(w, "alive")
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		ok, reason := ready()
		if !ok {
			http.Error(w, reason, http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintln(w, "ready")
	})
}
