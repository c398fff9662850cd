package snapshot

import (
	"sync"
	"sync/atomic"
)

// Holder keeps the newest snapshot that a process has seen. It only moves
// forward. It is safe for concurrent use.
//
// Spec step: config.pml, "learn".
type Holder struct {
	current atomic.Pointer[Snapshot]

	mu      sync.Mutex
	changed chan struct{}
}

// NewHolder returns a Holder of the empty snapshot, revision 0.
func NewHolder() *Holder {
	h := &Holder{changed: make(chan struct{})}
	h.current.Store(&Snapshot{})
	return h
}

// Current returns the newest snapshot. It must not be changed.
func (h *Holder) Current() *Snapshot {
	return h.current.Load()
}

// Advance makes s current if it is newer, and returns whether it was.
func (h *Holder) Advance(s *Snapshot) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s.Revision <= h.current.Load().Revision {
		return false
	}
	h.current.Store(s)
	close(h.changed)
	h.changed = make(chan struct{})
	return true
}

// Changed returns a channel that is closed at the next Advance.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}
