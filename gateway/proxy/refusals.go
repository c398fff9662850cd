package proxy

import (
	"sync"
	"time"
)

// refusals records when each service last refused a caller that could still have been served
// within its latency target. It is safe for concurrent use.
type refusals struct {
	mu   sync.Mutex
	last map[string]time.Time
}

func newRefusals() *refusals {
	return &refusals{last: map[string]time.Time{}}
}

func (r *refusals) record(service string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last[service] = now
}

// sinceLast returns the time since the last such refusal by service.
func (r *refusals) sinceLast(service string, now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Sub(r.last[service])
}
