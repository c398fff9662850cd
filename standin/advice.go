package standin

import (
	"net/http"
	"strconv"
)

// LimitHeader is the requests a second that a runner says that it takes from all gateways
// together.
const LimitHeader = "Server-Limit"

// NameLimit makes the runner name a limit in requests a second in all its answers.
func (r *Runner) NameLimit(perSecond float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limit = strconv.FormatFloat(perSecond, 'g', -1, 64)
}

// LiftLimit ends that.
func (r *Runner) LiftLimit() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limit = ""
}

// advise sets the headers by which the runner tells of itself.
func (r *Runner) advise(h http.Header) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.limit != "" {
		h.Set(LimitHeader, r.limit)
	}
}
