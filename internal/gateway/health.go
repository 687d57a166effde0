package gateway

import (
	"fmt"
	"net/http"
)

// Health adds the balancer's checks to mux: /healthz answers 200 while the
// process lives, /readyz answers 200 while ready says so and 503 with the
// reason otherwise.
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
