package proxy

import (
	"sync"
	"time"
)

// refusals remembers when each service last refused a caller who could have been served
// in time. It is safe for concurrent use.
type refusals struct {
	mu   sync.Mutex
	last map[string]time.Time
}

func newRefusals() *refusals {
	return &refusals{last: map[string]time.Time{}}
}

func (r *refusals) note(service string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last[service] = now
}

// ago returns how long ago service last refused such a caller.
func (r *refusals) ago(service string, now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Sub(r.last[service])
}
