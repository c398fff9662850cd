package balance

import (
	"time"

	"github.com/silverdeck/silverdeck/roster"
)

// Lease is a request's place at an endpoint, from Pick until Done.
type Lease struct {
	// Record is the endpoint as it stood when it was chosen.
	Record *roster.Endpoint

	balancer *Balancer
	shard    *shard
	endpoint *endpoint
	// prefill is the time that the endpoint has yet to read for the request.
	prefill time.Duration
}

// Holds returns the version of model that the endpoint is known to hold now.
func (l *Lease) Holds(model string) int64 {
	l.shard.mu.Lock()
	defer l.shard.mu.Unlock()
	return l.endpoint.holds(model)
}

// Leaving returns whether the endpoint is known to leave or to be gone: some leave without
// saying so, their record goes, and they serve on for a while.
func (l *Lease) Leaving() bool {
	l.shard.mu.Lock()
	defer l.shard.mu.Unlock()
	return l.endpoint.leaving() || !l.shard.has(l.endpoint)
}

// Paused returns whether the endpoint asked to get no requests now, since it is about to
// load weights.
func (l *Lease) Paused(now time.Time) bool {
	l.shard.mu.Lock()
	defer l.shard.mu.Unlock()
	return l.endpoint.health.paused(now)
}

// Others returns how many requests besides this one the gateway has at the endpoint.
func (l *Lease) Others() int {
	l.shard.mu.Lock()
	defer l.shard.mu.Unlock()
	return l.endpoint.inFlight - 1
}

// PrefillDone notes that the endpoint has read the prompt.
func (l *Lease) PrefillDone() {
	l.shard.mu.Lock()
	defer l.shard.mu.Unlock()
	l.releasePrefill()
}

func (l *Lease) releasePrefill() {
	l.endpoint.prefill -= l.prefill
	l.prefill = 0
}

// Received notes that bytes of an answer came from the endpoint.
func (l *Lease) Received(now time.Time) {
	l.endpoint.lastByte.note(now)
	l.balancer.NoteTraffic(now)
}

// Idle returns for how long nothing came from the endpoint, for this or any other
// request of this gateway, at most since. The time in which nothing came from
// anybody does not count.
func (l *Lease) Idle(since, now time.Time) time.Duration {
	return l.balancer.idle(l.endpoint, since, now)
}

// Done gives the place back and notes the outcome.
func (l *Lease) Done(o Outcome, now time.Time) {
	l.shard.mu.Lock()
	defer l.shard.mu.Unlock()
	l.endpoint.inFlight--
	l.releasePrefill()
	h := &l.endpoint.health
	change := h.note(o, l.endpoint.inFlight, now)
	if change != Unchanged && l.shard.has(l.endpoint) {
		l.balancer.cfg.Observe(Belief{Endpoint: l.Record.ID, Change: change, Failures: h.failures, Until: h.ejectedUntil})
	}
}

// Belief is a change of what is believed of an endpoint.
type Belief struct {
	// Endpoint is its ID.
	Endpoint string
	Change   Change
	// Failures is the failure rate that decided it, from 0 to 1.
	Failures float64
	// Until is when an endpoint that is ejected is tried again.
	Until time.Time
}
