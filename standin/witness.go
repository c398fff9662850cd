package standin

import (
	"fmt"
	"sync"
	"time"
)

// Run is what is known of the runs of one request.
type Run struct {
	Count  int
	Body   string
	Tenant string
	// Working is how many of them go on.
	Working int
	// BrokenOff is set when the one that ended last was broken off by its endpoint.
	BrokenOff bool
	// BrokenOffAt is when an endpoint last broke one off.
	BrokenOffAt time.Time
}

// brokenOffWithin is how soon after its endpoint a caller's connection ends that ends with it.
const brokenOffWithin = 100 * time.Millisecond

// EndpointEnded returns whether no run goes on and an endpoint broke the last one off, or one
// right before end: then no gateway has left one that works.
func (r *Run) EndpointEnded(end time.Time) bool {
	return r.Working == 0 && (r.BrokenOff || end.Sub(r.BrokenOffAt) < brokenOffWithin)
}

// Witness remembers what ran, and which promises were broken. It is safe for
// concurrent use.
type Witness struct {
	mu     sync.Mutex
	runs   map[string]Run
	broken []string
}

// NewWitness returns a Witness of nothing.
func NewWitness() *Witness {
	return &Witness{runs: map[string]Run{}}
}

// Ran notes that an endpoint began to run the request id.
func (w *Witness) Ran(id, body, tenant string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.runs[id]
	r.Count++
	r.Working++
	r.Body, r.Tenant = body, tenant
	w.runs[id] = r
}

// Ended notes that a run of the request id is over, and whether its endpoint broke it off.
func (w *Witness) Ended(id string, brokenOff bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.runs[id]
	r.Working--
	r.BrokenOff = brokenOff
	if brokenOff {
		r.BrokenOffAt = time.Now()
	}
	w.runs[id] = r
}

// Of returns the runs of the request id.
func (w *Witness) Of(id string) Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[id]
}

// Broken notes a broken promise.
func (w *Witness) Broken(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.broken = append(w.broken, fmt.Sprintf(format, args...))
}

// Promises returns the broken promises.
func (w *Witness) Promises() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.broken...)
}
