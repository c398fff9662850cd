package standin

import (
	"net/http"
	"strconv"
	"time"
)

// Response headers in which a runner describes its own state.
const (
	// LimitHeader is the number of requests per second that the runner accepts from all
	// gateways together.
	LimitHeader = "Server-Limit"
	// LeavingHeader is set in all responses of a draining runner.
	LeavingHeader = "Server-Leaving"
)

// refusalPeriod is the number of requests from one refusal with Retry-After to the next.
const refusalPeriod = 3

// advisory is the state that a runner describes in its response headers.
type advisory struct {
	// limit is the value of LimitHeader, or empty.
	limit    string
	draining bool
	// retryAfter is the delay that refusals ask for, or 0 for no refusals; requests is the
	// number of requests received while it is set.
	retryAfter time.Duration
	requests   int
}

// SetRateLimit makes the runner state a limit in requests per second in all its responses.
func (r *Runner) SetRateLimit(perSecond float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advisory.limit = strconv.FormatFloat(perSecond, 'g', -1, 64)
}

// ClearRateLimit makes the runner omit the rate limit from its responses.
func (r *Runner) ClearRateLimit() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advisory.limit = ""
}

// SetDrainingHeader makes the runner state in all its responses that it is draining. Its record
// in the store remains unchanged.
func (r *Runner) SetDrainingHeader() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advisory.draining = true
}

// SetRetryAfter makes the runner refuse one of every refusalPeriod requests with a Retry-After
// of d; 0 turns this off.
func (r *Runner) SetRetryAfter(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advisory.retryAfter = d
}

func (r *Runner) setAdvisoryHeaders(h http.Header) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.advisory.limit != "" {
		h.Set(LimitHeader, r.advisory.limit)
	}
	if r.advisory.draining {
		h.Set(LeavingHeader, "1")
	}
}

// nextRetryAfter returns the Retry-After with which to refuse the next request, or 0 if it is
// not refused.
func (r *Runner) nextRetryAfter() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.advisory.retryAfter == 0 {
		return 0
	}
	r.advisory.requests++
	if r.advisory.requests%refusalPeriod != 1 {
		return 0
	}
	return r.advisory.retryAfter
}
