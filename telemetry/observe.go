package telemetry

import (
	"encoding/json"
	"net/http"
	"net/http/pprof"

	"github.com/rcrowley/go-metrics"
)

// StatusProvider reports the readiness and the state of a process.
type StatusProvider interface {
	// Ready returns nil if the process is ready to serve, or else the reason why it is not.
	Ready() error
	// State returns the state dump for operators. It must be encodable as JSON.
	State() any
}

// NewObserveHandler returns a handler that serves /metrics, /healthz, /readyz and /debug/state and,
// if profiles is set, the profiles of the Go runtime under /debug/pprof/. Taking a profile costs
// processor time and memory.
func NewObserveHandler(r metrics.Registry, p StatusProvider, profiles bool) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := p.Ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ok\n"))
	})
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		_ = WriteMetrics(w, r) // fails only if the client has disconnected
	})
	mux.HandleFunc("GET /debug/state", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		_ = e.Encode(p.State()) // fails if the client has disconnected
	})
	if profiles {
		mux.HandleFunc("GET /debug/pprof/", pprof.Index)
		mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
		mux.HandleFunc("GET /debug/pprof/trace", pprof.Trace)
	}
	return mux
}
