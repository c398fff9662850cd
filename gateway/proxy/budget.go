package proxy

import (
	"sync"
	"time"
)

// Budget limits retried requests to this gateway's share of what all gateways together may send,
// for each service and in a sliding window. It is safe for concurrent use.
type Budget struct {
	ratio, extra float64
	window       time.Duration
	// gatewayCount returns how many gateways share the budget, or 0 while that is unknown.
	// Without it, only the ratio of the requests is available.
	gatewayCount func() int
	epoch        time.Time

	mu       sync.Mutex
	services map[string]*usage
}

// Parameters of the budget.
const (
	// budgetUtilization is the fraction of the budget that this gateway uses. The operator
	// counts requests in its own windows, which end at different times.
	budgetUtilization = 0.85
	// retryShare is the fraction available to retries and hedges. The rest is reserved for
	// resuming responses that would otherwise be cut.
	retryShare = 0.6
	// windowSteps is the number of steps into which the window is divided.
	windowSteps = 10
)

// usage counts the requests sent for one service, by steps of the window.
type usage struct {
	step     int64
	requests [windowSteps]int
	repeats  [purposeCount][windowSteps]int
	// reportedAt is when exhaustion of the budget was last reported.
	reportedAt time.Time
}

// NewBudget returns a Budget that allows ratio times the requests in a window plus extra, for
// all gateways together.
func NewBudget(ratio, extra float64, window time.Duration, gatewayCount func() int) *Budget {
	return &Budget{ratio: ratio, extra: extra, window: max(window, time.Second), gatewayCount: gatewayCount, epoch: time.Now(), services: map[string]*usage{}}
}

// Request counts a request for service.
func (b *Budget) Request(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.usage(service, now)
	u.requests[u.step%windowSteps]++
}

// Purpose is what a repeated request is for.
type Purpose int

// Purposes of repeated requests.
const (
	// Retry repeats a request whose caller has received nothing yet and can be told to come
	// back.
	Retry Purpose = iota
	// Hedge sends a request to a second endpoint while the first is still waited for.
	Hedge
	// Resume requests the rest of a response that the caller has received in part.
	Resume
	// purposeCount is the number of purposes.
	purposeCount = int(Resume) + 1
)

// Take takes one repeated request for service from the budget and reports whether it is allowed.
func (b *Budget) Take(service string, purpose Purpose, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.usage(service, now)
	if !b.allows(u, purpose) {
		return false
	}
	u.repeats[purpose][u.step%windowSteps]++
	return true
}

// BudgetUse is how the retry budget of a service was used within the window.
type BudgetUse struct {
	Requests, Retries, Hedges, Resumes int
	// Allowed is the total number of repeated requests allowed, for all purposes together.
	Allowed float64
}

// reportInterval is the minimum time between two reports that the budget of a service is
// exhausted.
const reportInterval = time.Second

// ReportExhausted returns how the budget of a service that has just refused a request was used,
// or false if that was reported less than reportInterval ago.
func (b *Budget) ReportExhausted(service string, now time.Time) (BudgetUse, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.usage(service, now)
	if now.Sub(u.reportedAt) < reportInterval {
		return BudgetUse{}, false
	}
	u.reportedAt = now
	return BudgetUse{
		Requests: sum(u.requests),
		Retries:  sum(u.repeats[Retry]),
		Hedges:   sum(u.repeats[Hedge]),
		Resumes:  sum(u.repeats[Resume]),
		Allowed:  b.allowed(u),
	}, true
}

// sum adds the counts of all steps.
func sum(parts [windowSteps]int) int {
	n := 0
	for _, part := range parts {
		n += part
	}
	return n
}

// allows reports whether the budget has room for one more repeated request. The caller holds
// b.mu.
func (b *Budget) allows(u *usage, purpose Purpose) bool {
	repeats := 0
	for _, parts := range u.repeats {
		repeats += sum(parts)
	}
	allowed := b.allowed(u)
	if purpose != Resume {
		allowed *= retryShare
	}
	return float64(repeats+1) <= allowed
}

// allowed returns the number of repeated requests allowed in the window, for all purposes. The
// caller holds b.mu.
func (b *Budget) allowed(u *usage) float64 {
	allowed := b.ratio * float64(sum(u.requests))
	if n := b.gatewayCount(); n > 0 {
		allowed += b.extra / float64(n)
	}
	return allowed * budgetUtilization
}

// usage returns the counts for service after advancing its window to now. The caller holds b.mu.
func (b *Budget) usage(service string, now time.Time) *usage {
	u := b.services[service]
	step := int64(now.Sub(b.epoch) / (b.window / windowSteps))
	if u == nil {
		u = &usage{step: step}
		b.services[service] = u
	}
	if step-u.step >= windowSteps {
		*u = usage{step: step, reportedAt: u.reportedAt}
	}
	for u.step < step {
		u.step++
		u.requests[u.step%windowSteps] = 0
		for p := range u.repeats {
			u.repeats[p][u.step%windowSteps] = 0
		}
	}
	return u
}
