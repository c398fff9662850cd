package proxy

import (
	"sync"
	"time"

	"github.com/silverdeck/silverdeck/gateway/balance"
	"github.com/silverdeck/silverdeck/gateway/policy"
	"github.com/silverdeck/silverdeck/roster"
)

// endCacheTTL is how long the result for an endpoint that ended is reused for other requests that
// were in progress there. Their connections break within milliseconds of each other, or within
// about 100 ms on a busy VM.
const endCacheTTL = time.Second

// endDetector determines whether an endpoint has ended, with a single check for all requests
// that were in progress there. It is safe for concurrent use.
type endDetector struct {
	// refuses reports whether connections to an address are refused.
	refuses func(addr string) bool

	mu     sync.Mutex
	checks map[roster.Incarnation]*endCheck
}

// endCheck is the check of one endpoint.
type endCheck struct {
	at time.Time
	// done is closed once ended is set.
	done  chan struct{}
	ended bool
}

func newEndDetector(refuses func(addr string) bool) *endDetector {
	return &endDetector{refuses: refuses, checks: map[roster.Incarnation]*endCheck{}}
}

// hasEnded reports whether an endpoint has ended after a connection to it broke. Concurrent
// callers share one check.
func (d *endDetector) hasEnded(e *roster.Endpoint, now time.Time) bool {
	check, first := d.lookup(e.Incarnation(), now)
	if first {
		check.ended = d.refuses(e.Addr)
		d.discardUnlessEnded(e.Incarnation(), check)
		close(check.done)
	}
	<-check.done
	return check.ended
}

// discardUnlessEnded removes the check from the cache if the endpoint is alive, because it may
// end at any moment.
func (d *endDetector) discardUnlessEnded(l roster.Incarnation, e *endCheck) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !e.ended && d.checks[l] == e {
		delete(d.checks, l)
	}
}

// lookup returns the check of an endpoint's life, and whether the caller created it and has to
// perform it.
func (d *endDetector) lookup(l roster.Incarnation, now time.Time) (*endCheck, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for other, e := range d.checks {
		if now.Sub(e.at) > endCacheTTL {
			delete(d.checks, other)
		}
	}
	if e := d.checks[l]; e != nil {
		return e, false
	}
	e := &endCheck{at: now, done: make(chan struct{})}
	d.checks[l] = e
	return e, true
}

// detectEnd checks whether the endpoint of a failed attempt ended while it had the request. An
// endpoint that ended is marked unreachable, so that other requests do not each have to find out
// by a failed connection: without this, 3 of 200 requests failed in the test of requests that
// run beside one that ends endpoints.
func (p *Proxy) detectEnd(c *call, a *attempt) {
	if !policy.MayHaveCrashed(a.failure) || a.lease.Leaving() || !p.endpointEnds.hasEnded(a.lease.Record, time.Now()) {
		return
	}
	a.outcome = balance.Unreachable
	p.logEndpointEnded(c, a.lease)
	p.cfg.Poison.RecordCrash(c.copies, a.lease.Record.Incarnation(), time.Now())
}
