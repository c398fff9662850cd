package balance

import (
	"time"

	"github.com/silverdeck/silverdeck/gateway/work"
	"github.com/silverdeck/silverdeck/roster"
)

// Lease is a request counted at an endpoint, from Pick until Done.
type Lease struct {
	// Record is the endpoint's record at the time of selection.
	Record *roster.Endpoint

	balancer *Balancer
	shard    *shard
	endpoint *endpoint
	// prefill is the pending prefill time of the request.
	prefill time.Duration
	// expected holds the expected times of the request.
	expected work.Times
}

// Expected returns the expected times of the request, counted from Pick.
func (l *Lease) Expected() work.Times {
	return l.expected
}

// ObserveStream records that a stream ended whole that had the given number of events, the last of
// which arrived the given time after the first. It corrects the estimate of the endpoint's pace.
func (l *Lease) ObserveStream(events int, duration time.Duration, now time.Time) {
	l.balancer.observe(l.shard, l.endpoint, events, duration, now)
}

// Holds returns the version of model that the endpoint is currently known to hold, or 0.
func (l *Lease) Holds(model string) int64 {
	l.shard.mu.Lock()
	defer l.shard.mu.Unlock()
	return l.endpoint.holds(model)
}

// Leaving reports whether the endpoint is known to be leaving or removed. Some endpoints
// leave without announcing it: their record is removed while they continue to serve for
// some time.
func (l *Lease) Leaving() bool {
	l.shard.mu.Lock()
	defer l.shard.mu.Unlock()
	return l.endpoint.leaving() || !l.shard.isCurrent(l.endpoint)
}

// Paused reports whether the endpoint currently asks for no requests because it is about to
// load weights.
func (l *Lease) Paused(now time.Time) bool {
	l.shard.mu.Lock()
	defer l.shard.mu.Unlock()
	return l.endpoint.health.paused(now)
}

// OtherInFlight returns the number of this gateway's other requests at the endpoint.
func (l *Lease) OtherInFlight() int {
	l.shard.mu.Lock()
	defer l.shard.mu.Unlock()
	return l.endpoint.inFlight - 1
}

// PrefillDone records that the endpoint has processed the prompt.
func (l *Lease) PrefillDone() {
	l.shard.mu.Lock()
	defer l.shard.mu.Unlock()
	l.releasePrefill()
}

func (l *Lease) releasePrefill() {
	l.endpoint.prefill -= l.prefill
	l.prefill = 0
}

// Received records that response bytes were received from the endpoint.
func (l *Lease) Received(now time.Time) {
	l.endpoint.lastByte.store(now)
	l.balancer.NoteTraffic(now)
}

// Accepted records that the endpoint began to answer the request, so that its weights serve others as well.
func (l *Lease) Accepted() {
	l.shard.mu.Lock()
	defer l.shard.mu.Unlock()
	l.endpoint.health.prepare()
}

// Idle returns how long nothing has been received from the endpoint, on this or any other
// request of this gateway, counted from since at the earliest. Time in which nothing was
// received from any process does not count.
func (l *Lease) Idle(since, now time.Time) time.Duration {
	return l.balancer.idle(l.endpoint, since, now)
}

// Done releases the lease and records the outcome of the request.
func (l *Lease) Done(o Outcome, now time.Time) {
	l.shard.mu.Lock()
	defer l.shard.mu.Unlock()
	l.shard.removeRequest(l.endpoint)
	l.releasePrefill()
	h := &l.endpoint.health
	if o == Misdirected {
		h.reassigned = l.Record.Addr
	}
	change := h.record(o, l.endpoint.inFlight, now)
	if change != Unchanged && l.shard.isCurrent(l.endpoint) {
		l.balancer.cfg.OnHealthChange(HealthEvent{Endpoint: l.Record.ID, Change: change, FailureRate: h.failureRate, EjectedUntil: later(h.ejectedUntil, h.unpreparedUntil)})
	}
}

// HealthEvent is a health change of an endpoint.
type HealthEvent struct {
	// Endpoint is the endpoint's ID.
	Endpoint string
	Change   Change
	// FailureRate is the endpoint's failure rate after the change, from 0 to 1.
	FailureRate float64
	// EjectedUntil is when an ejected or unprepared endpoint is probed.
	EjectedUntil time.Time
}
