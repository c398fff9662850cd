package proxy

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/silverdeck/silverdeck/gateway/policy"
	"github.com/silverdeck/silverdeck/verdict"
)

// finalLimit is how long a final answer may take to be written. It fits into the buffers of
// the kernel, so that only a standstill of this process in the middle of it takes time: VMs
// stand still for up to seconds.
const finalLimit = 10 * time.Second

// fail gives the caller a final answer that is not an endpoint's. A caller that has
// got a part of its answer already sees its connection end.
func (p *Proxy) fail(w http.ResponseWriter, c *call, e *verdict.Error) {
	p.logFailure(c, e)
	if c.headSent {
		panic(http.ErrAbortHandler)
	}
	// A process that stood still past the time set for the answer of an endpoint still tells
	// its caller how the request ended. It fails only once the caller is gone.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(finalLimit))
	status := policy.Status(e)
	h := w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set(p.cfg.Headers.RequestID, c.id)
	h.Set(verdict.Header, e.Verdict.String())
	if status == http.StatusServiceUnavailable && e.RetryAfter > 0 {
		h.Set(p.cfg.Headers.RetryAfter, strconv.FormatFloat(e.RetryAfter.Seconds(), 'f', 3, 64))
	}
	message := string(e.Code) + ": " + e.Detail + "\n"
	h.Set("Content-Length", strconv.Itoa(len(message)))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, message) // a caller that is gone needs no answer
}
