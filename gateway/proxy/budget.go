package proxy

import (
	"sync"
	"time"
)

// Budget bounds repeated requests to this entry's part of what all entries may
// send together, for each service and in a sliding window. It is safe for
// concurrent use.
type Budget struct {
	share, extra float64
	window       time.Duration
	// entries returns how many entries share the budget, or 0 while that is
	// unknown; then nothing beyond the share of the requests is used.
	entries func() int
	epoch   time.Time

	mu       sync.Mutex
	services map[string]*history
}

// budgetSafety is the part of the budget that is used.
const budgetSafety = 0.85

// windowSteps is the number of parts that a window slides by.
const windowSteps = 10

type history struct {
	step              int64
	requests, repeats [windowSteps]int
}

// NewBudget returns a Budget of share of the requests in a window and of extra
// beyond them, for all entries together.
func NewBudget(share, extra float64, window time.Duration, entries func() int) *Budget {
	return &Budget{share: share, extra: extra, window: max(window, time.Second), entries: entries, epoch: time.Now(), services: map[string]*history{}}
}

// Request counts a request for service.
func (b *Budget) Request(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.history(service, now)
	h.requests[h.step%windowSteps]++
}

// Use says what a repeated request is for.
type Use int

// The uses of the budget.
const (
	// Retry is a request of which the caller has got nothing yet; it can be
	// told to come back.
	Retry Use = iota
	// Resume is the rest of an answer that the caller has got in part.
	Resume
)

// retryPart is the part of the budget that retries may use; the rest is kept
// for answers that would otherwise be cut.
const retryPart = 0.6

// Repeat takes one repeated request for service and returns whether there was one.
func (b *Budget) Repeat(service string, use Use, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.history(service, now)
	if !b.left(h, use) {
		return false
	}
	h.repeats[h.step%windowSteps]++
	return true
}

// Left returns whether a repeated request for service could be taken now.
func (b *Budget) Left(service string, use Use, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.left(b.history(service, now), use)
}

// left returns whether h has room for one repeated request. The caller holds
// the lock.
func (b *Budget) left(h *history, use Use) bool {
	requests, repeats := 0, 0
	for i := range windowSteps {
		requests += h.requests[i]
		repeats += h.repeats[i]
	}
	allowed := b.share * float64(requests)
	if n := b.entries(); n > 0 {
		allowed += b.extra / float64(n)
	}
	allowed *= budgetSafety
	if use == Retry {
		allowed *= retryPart
	}
	return float64(repeats+1) <= allowed
}

// history returns the counts for service, slid on to now.
func (b *Budget) history(service string, now time.Time) *history {
	h := b.services[service]
	step := int64(now.Sub(b.epoch) / (b.window / windowSteps))
	if h == nil {
		h = &history{step: step}
		b.services[service] = h
	}
	if step-h.step >= windowSteps {
		*h = history{step: step}
	}
	for h.step < step {
		h.step++
		h.requests[h.step%windowSteps] = 0
		h.repeats[h.step%windowSteps] = 0
	}
	return h
}
