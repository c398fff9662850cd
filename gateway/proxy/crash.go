package proxy

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/silverdeck/silverdeck/gateway/balance"
	"github.com/silverdeck/silverdeck/gateway/policy"
	"github.com/silverdeck/silverdeck/gateway/upstream"
	"github.com/silverdeck/silverdeck/roster"
	"github.com/silverdeck/silverdeck/verdict"
)

// crashCacheTTL is how long the result for an endpoint that crashed is reused for other requests that
// were in progress there. Their connections break within milliseconds of each other, or within
// about 100 ms on a busy VM.
const crashCacheTTL = time.Second

// crashDetector determines whether an endpoint has crashed, with a single check for all requests
// that were in progress there. It is safe for concurrent use.
type crashDetector struct {
	// checkLiveness opens a connection to an address.
	checkLiveness func(addr string) upstream.Liveness

	mu     sync.Mutex
	checks map[roster.Incarnation]*crashCheck
}

// crashCheck is the check of one endpoint.
type crashCheck struct {
	at time.Time
	// done is closed once result is set.
	done   chan struct{}
	result upstream.Liveness
}

func newCrashDetector(checkLiveness func(addr string) upstream.Liveness) *crashDetector {
	return &crashDetector{checkLiveness: checkLiveness, checks: map[roster.Incarnation]*crashCheck{}}
}

// hasCrashed reports whether an endpoint has crashed after a connection to it broke.
func (d *crashDetector) hasCrashed(e *roster.Endpoint, brokeAt time.Time) bool {
	return d.check(e, brokeAt) == upstream.Terminated
}

// check returns whether the process of an endpoint was running after a connection to it ended at
// endedAt. Concurrent callers share one check, except that one which began before the connection ended
// can't show that the endpoint survived.
func (d *crashDetector) check(e *roster.Endpoint, endedAt time.Time) upstream.Liveness {
	for {
		check, first := d.lookup(e.Incarnation(), time.Now())
		if first {
			check.result = d.checkLiveness(e.Addr)
			d.discardUnlessCrashed(e.Incarnation(), check)
			close(check.done)
		}
		<-check.done
		if check.result == upstream.Terminated || !check.at.Before(endedAt) {
			return check.result
		}
	}
}

// discardUnlessCrashed removes the check from the cache if the endpoint is alive, because it may
// crash at any moment.
func (d *crashDetector) discardUnlessCrashed(l roster.Incarnation, e *crashCheck) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e.result != upstream.Terminated && d.checks[l] == e {
		delete(d.checks, l)
	}
}

// lookup returns the check of an endpoint's incarnation, and whether the caller created it and has to
// perform it.
func (d *crashDetector) lookup(l roster.Incarnation, now time.Time) (*crashCheck, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for other, e := range d.checks {
		if now.Sub(e.at) > crashCacheTTL {
			delete(d.checks, other)
		}
	}
	if e := d.checks[l]; e != nil {
		return e, false
	}
	e := &crashCheck{at: now, done: make(chan struct{})}
	d.checks[l] = e
	return e, true
}

// checkUnmarkedEnd returns why a response that ended with its connection was cut, or nil if it may be
// complete. The end of the connection is the same in both cases, but an endpoint that crashed refuses
// further ones. The connection opened to find out replaces the one that the response took.
func (p *Proxy) checkUnmarkedEnd(a *attempt, end policy.UnmarkedEnd) *verdict.Error {
	failure := policy.CheckUnmarkedEnd(end)
	if failure == nil {
		a.liveness = p.crashes.check(a.lease.Record, time.Now())
	}
	if a.liveness == upstream.Terminated {
		failure = verdict.NewError(verdict.Executed{}, verdict.CodeCut, "the endpoint crashed as the answer ended")
	}
	if failure == nil {
		return nil
	}
	return failure.WithCause(io.ErrUnexpectedEOF)
}

// recordCompleted records that a successful response ended at endedAt, if the endpoint is known to have
// survived it. Without a mark of the end, only the endpoint's liveness afterwards shows that.
func (c *call) recordCompleted(a *attempt, endedAt time.Time) {
	survived := a.exchange.Framing != upstream.FramedByClose || a.liveness == upstream.Listening
	if a.exchange.Status < http.StatusMultipleChoices && survived {
		c.completedAt = endedAt
	}
}

// detectCrash checks whether the endpoint of a failed attempt crashed while it had the request. An
// endpoint that crashed is marked unreachable, so that other requests do not each have to find out
// by a failed connection: without this, 3 of 200 requests failed in the test of requests that
// run beside one that crashes endpoints.
func (p *Proxy) detectCrash(c *call, a *attempt) {
	if !policy.MayHaveCrashed(a.failure) || a.lease.Leaving() || !p.crashes.hasCrashed(a.lease.Record, time.Now()) {
		return
	}
	a.outcome = balance.Unreachable
	p.logEndpointCrash(c, a.lease)
	c.crashedOnTrial = c.crashedOnTrial || c.triesPart()
	p.cfg.Poison.RecordCrash(&c.suspects, a.lease.Record.Incarnation(), time.Now())
}
