package exchange

import (
	"context"
	"sync"
)

// maxFirstCopies is the maximum number of first copies that wait for an upload slot. Each region
// requests few at a time.
const maxFirstCopies = 16

// Slots limits concurrent uploads. First copies for other regions go before copies within this
// one: a whole region waits for each. It is safe for concurrent use.
type Slots struct {
	mu   sync.Mutex
	free int
	// first and rest are the waiting requests, in order of arrival. A request's channel is
	// closed when it gets a slot.
	first, rest []chan struct{}
	// maxRest is the maximum length of rest.
	maxRest int
}

// NewSlots returns Slots for n concurrent uploads, with as many as waiting requests in the queue
// of each.
func NewSlots(n, waiting int) *Slots {
	return &Slots{free: n, maxRest: n * waiting}
}

// Acquire waits for a slot. first is set for a first copy for another region. It returns false if
// the queue is full or ctx is canceled.
func (s *Slots) Acquire(ctx context.Context, first bool) bool {
	ready := s.enqueue(first)
	if ready == nil {
		return false
	}
	select {
	case <-ready:
		return true
	case <-ctx.Done():
		s.abandon(ready)
		return false
	}
}

// enqueue returns a channel that is closed when the request gets a slot, or nil if the queue is
// full.
func (s *Slots) enqueue(first bool) chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	ready := make(chan struct{})
	switch {
	case s.free > 0:
		s.free--
		close(ready)
	case first && len(s.first) < maxFirstCopies:
		s.first = append(s.first, ready)
	case !first && len(s.rest) < s.maxRest:
		s.rest = append(s.rest, ready)
	default:
		return nil
	}
	return ready
}

// abandon removes a request from its queue, or releases the slot that it has got meanwhile.
func (s *Slots) abandon(ready chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, queue := range []*[]chan struct{}{&s.first, &s.rest} {
		for i, r := range *queue {
			if r == ready {
				*queue = append((*queue)[:i:i], (*queue)[i+1:]...)
				return
			}
		}
	}
	s.release()
}

// Release releases a slot.
func (s *Slots) Release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.release()
}

// release passes a slot on to the next request. The caller holds the lock.
func (s *Slots) release() {
	for _, queue := range []*[]chan struct{}{&s.first, &s.rest} {
		if len(*queue) > 0 {
			close((*queue)[0])
			*queue = (*queue)[1:]
			return
		}
	}
	s.free++
}
