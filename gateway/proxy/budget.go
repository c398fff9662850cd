package proxy

import (
	"sync"
	"time"
)

// Budget bounds repeated requests to this gateway's part of what all gateways may
// send together, for each service and in a sliding window. It is safe for
// concurrent use.
type Budget struct {
	ratio, extra float64
	window       time.Duration
	// sharers returns how many gateways share the budget, or 0 while that is
	// unknown; then nothing beyond the ratio of the requests is used.
	sharers func() int
	epoch   time.Time

	mu       sync.Mutex
	services map[string]*history
}

// How much of the budget is used.
const (
	// budgetSafety is the part of the budget that this gateway takes: the operator counts
	// requests in windows of its own, which end at other moments.
	budgetSafety = 0.85
	// retryPart is the part of that which retries may take; the rest is kept for answers
	// that would otherwise be cut.
	retryPart = 0.6
	// windowSteps is the number of parts that a window slides by.
	windowSteps = 10
)

// history counts what was sent for one service, by parts of the window.
type history struct {
	step     int64
	requests [windowSteps]int
	repeats  [purposes][windowSteps]int
	// toldAt is when it was last told that the budget is used up.
	toldAt time.Time
}

// NewBudget returns a Budget of ratio of the requests in a window and of extra
// beyond them, for all gateways together.
func NewBudget(ratio, extra float64, window time.Duration, sharers func() int) *Budget {
	return &Budget{ratio: ratio, extra: extra, window: max(window, time.Second), sharers: sharers, epoch: time.Now(), services: map[string]*history{}}
}

// Request counts a request for service.
func (b *Budget) Request(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.history(service, now)
	h.requests[h.step%windowSteps]++
}

// Purpose says what a repeated request is for.
type Purpose int

// The purposes of a repetition.
const (
	// Retry is a request of which the caller has got nothing yet, which can be told to
	// come back.
	Retry Purpose = iota
	// Hedge is a request whose endpoint is still waited for.
	Hedge
	// Resume is the rest of an answer that the caller has got in part.
	Resume
	// purposes is how many there are.
	purposes = int(Resume) + 1
)

// Take takes one repeated request for service and returns whether there was one.
func (b *Budget) Take(service string, purpose Purpose, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.history(service, now)
	if !b.allows(h, purpose) {
		return false
	}
	h.repeats[purpose][h.step%windowSteps]++
	return true
}

// BudgetUse is what a service's retry budget was used for within the window.
type BudgetUse struct {
	Requests, Retries, Hedges, Resumes int
	// Allowed is how many repetitions there may be in all, for any purpose.
	Allowed float64
}

// toldEvery is how often it is told that the budget of a service is used up.
const toldEvery = time.Second

// UsedUp returns what the budget of a service that has just refused a repetition was used
// for, or false where that was told a moment ago.
func (b *Budget) UsedUp(service string, now time.Time) (BudgetUse, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.history(service, now)
	if now.Sub(h.toldAt) < toldEvery {
		return BudgetUse{}, false
	}
	h.toldAt = now
	return BudgetUse{
		Requests: sum(h.requests),
		Retries:  sum(h.repeats[Retry]),
		Hedges:   sum(h.repeats[Hedge]),
		Resumes:  sum(h.repeats[Resume]),
		Allowed:  b.allowed(h),
	}, true
}

// sum adds the parts of a window.
func sum(parts [windowSteps]int) int {
	n := 0
	for _, part := range parts {
		n += part
	}
	return n
}

// allows returns whether h has room for one repeated request. The caller holds
// the lock.
func (b *Budget) allows(h *history, purpose Purpose) bool {
	repeats := 0
	for _, parts := range h.repeats {
		repeats += sum(parts)
	}
	allowed := b.allowed(h)
	if purpose != Resume {
		allowed *= retryPart
	}
	return float64(repeats+1) <= allowed
}

// allowed returns how many repeated requests there may be in the window, for any purpose.
// The caller holds the lock.
func (b *Budget) allowed(h *history) float64 {
	allowed := b.ratio * float64(sum(h.requests))
	if n := b.sharers(); n > 0 {
		allowed += b.extra / float64(n)
	}
	return allowed * budgetSafety
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
		*h = history{step: step, toldAt: h.toldAt}
	}
	for h.step < step {
		h.step++
		h.requests[h.step%windowSteps] = 0
		for p := range h.repeats {
			h.repeats[p][h.step%windowSteps] = 0
		}
	}
	return h
}
