package telemetry

import (
	"encoding/json"
	"net/http"

	"github.com/rcrowley/go-metrics"
)

// Observed is what a process shows of itself.
type Observed interface {
	// Ready returns nil when the process can do its work, or why not.
	Ready() error
	// State returns what the person on call wants to see, encodable as JSON.
	State() any
}

// NewObserveHandler returns the handler of /metrics, /healthz, /readyz and
// /debug/state.
func NewObserveHandler(r metrics.Registry, o Observed) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := o.Ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ok\n"))
	})
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		_ = WriteMetrics(w, r) // who asked is gone
	})
	mux.HandleFunc("GET /debug/state", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		_ = e.Encode(o.State()) // who asked is gone
	})
	return mux
}
