// Package drain counts the requests in progress and waits until none is left. Its users have
// to report the beginning and the end of each request.
package drain

import (
	"context"
	"sync"
)

// Tracker counts requests in progress. It is safe for concurrent use; requests may begin
// while Wait is blocked.
type Tracker struct {
	mu   sync.Mutex
	n    int
	idle chan struct{}
}

// NewTracker returns a Tracker with no request in progress.
func NewTracker() *Tracker {
	return &Tracker{}
}

// Enter records the beginning of a request.
func (t *Tracker) Enter() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.n++
}

// Leave records the end of a request.
func (t *Tracker) Leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.n--
	if t.n == 0 && t.idle != nil {
		close(t.idle)
		t.idle = nil
	}
}

// Wait blocks until no request is in progress, and returns nil, or until ctx is done, and
// returns its error.
func (t *Tracker) Wait(ctx context.Context) error {
	t.mu.Lock()
	if t.n == 0 {
		t.mu.Unlock()
		return nil
	}
	if t.idle == nil {
		t.idle = make(chan struct{})
	}
	idle := t.idle
	t.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Count returns the number of requests in progress.
func (t *Tracker) Count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.n
}
