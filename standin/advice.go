package standin

import (
	"net/http"
	"strconv"
	"time"
)

// The headers by which a runner tells of itself.
const (
	// LimitHeader is the requests a second that it takes from all gateways together.
	LimitHeader = "Server-Limit"
	// LeavingHeader is set in all answers of one that leaves.
	LeavingHeader = "Server-Leaving"
)

// restEvery is how many requests a runner that asks for rest gets from one refusal to the next.
const restEvery = 3

// advice is what a runner says of itself in its answers.
type advice struct {
	// limit is the requests a second that it takes, or empty.
	limit string
	// leaving is set once it says that it leaves.
	leaving bool
	// rest is what it asks for with a refusal, or 0; asked counts requests meanwhile.
	rest  time.Duration
	asked int
}

// NameLimit makes the runner name a limit in requests a second in all its answers.
func (r *Runner) NameLimit(perSecond float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advice.limit = strconv.FormatFloat(perSecond, 'g', -1, 64)
}

// LiftLimit ends that.
func (r *Runner) LiftLimit() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advice.limit = ""
}

// SayLeaving makes the runner say in all its answers that it leaves. Its record stays.
func (r *Runner) SayLeaving() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advice.leaving = true
}

// AskRest makes the runner refuse some requests and ask for rest; 0 ends that.
func (r *Runner) AskRest(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advice.rest = d
}

// advise sets the headers by which the runner tells of itself.
func (r *Runner) advise(h http.Header) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.advice.limit != "" {
		h.Set(LimitHeader, r.advice.limit)
	}
	if r.advice.leaving {
		h.Set(LeavingHeader, "1")
	}
}

// wantsRest returns what rest the runner asks for in place of running a request, or 0.
func (r *Runner) wantsRest() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.advice.rest == 0 {
		return 0
	}
	r.advice.asked++
	if r.advice.asked%restEvery != 1 {
		return 0
	}
	return r.advice.rest
}
