// Package drain tells when the requests in progress are over. It owns their count,
// under a lock, and relies on being told of each that begins and ends.
package drain

import (
	"context"
	"sync"
)

// Tracker counts requests in progress. It is safe for concurrent use, also
// while requests still come.
type Tracker struct {
	mu   sync.Mutex
	n    int
	idle chan struct{}
}

// NewTracker returns a Tracker of nothing.
func NewTracker() *Tracker {
	return &Tracker{}
}

// Enter counts a request that begins.
func (t *Tracker) Enter() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.n++
}

// Leave counts a request that is over.
func (t *Tracker) Leave() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.n--
	if t.n == 0 && t.idle != nil {
		close(t.idle)
		t.idle = nil
	}
}

// Wait returns nil once nothing is in progress, or the error of ctx.
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

// Count returns how many requests are in progress.
func (t *Tracker) Count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.n
}
