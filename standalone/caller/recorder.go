package caller

import (
	"net/http"

	"github.com/rcrowley/go-metrics"

	"github.com/silverdeck/silverdeck/standalone/ticket"
	"github.com/silverdeck/silverdeck/verdict"
)

// recorder keeps what is written to a caller, so that the caller can have it
// again. A caller that went away does not stop it.
type recorder struct {
	http.ResponseWriter
	status int
	body   []byte
}

// WriteHeader implements http.ResponseWriter.
func (r *recorder) WriteHeader(status int) {
	r.status = status
	r.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (r *recorder) Write(b []byte) (int, error) {
	r.body = append(r.body, b...)
	_, _ = r.ResponseWriter.Write(b)
	return len(b), nil
}

// Unwrap lets http.ResponseController reach the connection.
func (r *recorder) Unwrap() http.ResponseWriter {
	return r.ResponseWriter
}

// outcome returns what was recorded of a request that ended with e.
func (r *recorder) outcome(e *verdict.Error) *ticket.Outcome {
	h := r.Header().Clone()
	h.Del("Content-Length")
	return &ticket.Outcome{Status: r.status, Header: h, Body: r.body, Err: e}
}

func (h *Handler) count(name string) {
	metrics.GetOrRegisterCounter(name, h.Registry).Inc(1)
}

// sampleSize is how many of the last values a histogram keeps.
const sampleSize = 1028

func (h *Handler) histogram(name string) metrics.Histogram {
	return metrics.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewUniformSample(sampleSize))
	}).(metrics.Histogram)
}
