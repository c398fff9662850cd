package balance

import (
	"sync/atomic"
	"time"

	"github.com/silverdeck/silverdeck/roster"
)

// Lease is a request's place at an endpoint.
type Lease struct {
	// Record is the endpoint as it stood when it was chosen.
	Record *roster.Endpoint

	shard    *shard
	endpoint *endpoint
	observe  func(Belief)
	heardAt  *atomic.Int64
	// reading is what the endpoint has yet to read for the request.
	reading time.Duration
}

// Holds returns the version of model that the endpoint is known to hold now.
func (l *Lease) Holds(model string) int64 {
	l.shard.mu.Lock()
	defer l.shard.mu.Unlock()
	return l.endpoint.holds(model)
}

// Begun notes that the endpoint has read the prompt.
func (l *Lease) Begun() {
	l.shard.mu.Lock()
	defer l.shard.mu.Unlock()
	l.read()
}

func (l *Lease) read() {
	l.endpoint.reading -= l.reading
	l.reading = 0
}

// Heard notes that bytes of an answer came from the endpoint.
func (l *Lease) Heard(now time.Time) {
	l.endpoint.heardAt.Store(now.UnixNano())
	l.heardAt.Store(now.UnixNano())
}

// deafness is for how long nothing at all may be heard before that is put down
// to this entry or its link.
const deafness = 300 * time.Millisecond

// Silence returns for how long nothing came from the endpoint, for this or any
// other request of this entry, at most since. The time in which nothing was
// heard from anybody does not count.
func (l *Lease) Silence(since, now time.Time) time.Duration {
	if heard := time.Unix(0, l.endpoint.heardAt.Load()); heard.After(since) {
		since = heard
	}
	until := now
	if last := time.Unix(0, l.heardAt.Load()); now.Sub(last) > deafness {
		until = last
	}
	return max(until.Sub(since), 0)
}

// Done gives the place back and notes the outcome.
func (l *Lease) Done(o Outcome, now time.Time) {
	l.shard.mu.Lock()
	defer l.shard.mu.Unlock()
	l.endpoint.inFlight--
	l.read()
	h := &l.endpoint.health
	before := h.ejections
	change := h.note(o, now)
	if o == Silent && l.endpoint.inFlight > 0 {
		h.darken(now)
		if h.ejections > before {
			change = Ejected
		}
	}
	if change != Unchanged && l.observe != nil {
		l.observe(Belief{Endpoint: l.Record.ID, Change: change, Failures: h.failures, Until: h.until})
	}
}

// Belief is a change of what is believed of an endpoint.
type Belief struct {
	// Endpoint is its ID.
	Endpoint string
	Change   Change
	// Failures is the failure rate that decided it.
	Failures float64
	// Until is when an endpoint that is left alone is tried again.
	Until time.Time
}

// Observe makes f hear of each change of belief. It is called under a lock and
// must not wait. It is to be called before the first Pick.
func (b *Balancer) Observe(f func(Belief)) {
	b.observe = f
}
