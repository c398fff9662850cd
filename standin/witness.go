package standin

import (
	"fmt"
	"sync"
)

// Run is what is known of the runs of one request.
type Run struct {
	Count  int
	Body   string
	Tenant string
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
	w.runs[id] = Run{Count: r.Count + 1, Body: body, Tenant: tenant}
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
