package caller

import (
	"io"
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

// recordedBody is the body of an answer that is recorded. It fails after maxAnswer bytes.
type recordedBody struct {
	io.ReadCloser
	left int64
}

// newRecordedBody returns a recordedBody that reads from src.
func newRecordedBody(src io.ReadCloser) *recordedBody {
	return &recordedBody{ReadCloser: src, left: maxAnswer}
}

// Read implements io.Reader.
func (b *recordedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.left -= int64(n); b.left < 0 {
		return 0, errTooLarge()
	}
	return n, err
}

// errTooLarge returns the failure of a request whose answer has more than maxAnswer bytes.
func errTooLarge() *verdict.Error {
	return verdict.NewError(verdict.Executed{}, verdict.CodeEngine, "the answer is larger than %d bytes", maxAnswer)
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
