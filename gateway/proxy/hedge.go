package proxy

import (
	"context"
	"net/http"
	"time"

	"github.com/silverdeck/silverdeck/gateway/balance"
	"github.com/silverdeck/silverdeck/gateway/poison"
	"github.com/silverdeck/silverdeck/gateway/policy"
	"github.com/silverdeck/silverdeck/gateway/upstream"
	"github.com/silverdeck/silverdeck/routes"
)

// hedge is an attempt at a second endpoint that starts while the first is still waited for. Its
// lease and its retry are acquired first, and the first endpoint is abandoned only once the
// hedge has a response. Earlier versions abandoned an endpoint after merely checking that
// another was available: in two soak runs with stalling engines, 143 requests were cut although
// their endpoints were working, and none since (docs/incidents). Hedges leave the part of the
// retry budget alone that is reserved for resuming responses.
type hedge struct {
	attempt
	// done is closed once the attempt has a response or has failed.
	done chan struct{}
}

// hedge sends the request to another endpoint. The endpoint's load, in requests per slot, must
// be below w.MaxLoad, and it must not have been idle for longer than maxIdle; 0 means no limit. A
// hedge to an endpoint that is idle itself would waste retry budget that interrupted streams
// need. If no endpoint qualifies or the retry budget is exhausted, hedge returns false and has
// no effect.
func (p *Proxy) hedge(ctx context.Context, c *call, w policy.Hedge, maxIdle time.Duration) bool {
	if p.assess(c).State != poison.Clear {
		return false // a second endpoint could crash under the request as well
	}
	now := time.Now()
	q := p.query(c)
	q.Healthy, q.MaxIdle = true, maxIdle
	if !c.headSent {
		q.Work.MinEvents = q.Work.Events // a hedge that its deadline would cut off is of no use
	}
	if w.MaxLoad > 0 && (q.MaxLoad == 0 || w.MaxLoad < q.MaxLoad) {
		q.MaxLoad = w.MaxLoad
	}
	if w.Vacated {
		q.Admitted, q.Vacated = true, c.grant.TakeVacated(now)
	}
	lease, err := p.cfg.Balancer.Pick(q, now)
	if err != nil {
		return false // keep waiting for the current endpoint
	}
	if w.Vacated && !policy.BeginsInTime(lease.Expected().FirstEvent, c.targetLeft(now)) {
		lease.Done(balance.Neutral, now) // a slow endpoint, which is less loaded than others
		return false
	}
	if !p.takeRetryBudget(c, Hedge, now) { // a response that has begun continues without the hedge, too
		lease.Done(balance.Neutral, now)
		return false
	}
	options := p.hedgeOptions(c, lease)
	c.attempted = append(c.attempted, lease.Record.ID)
	c.recordSend()
	h := &hedge{attempt: attempt{lease: lease, sentAt: now}, done: make(chan struct{})}
	ctx, h.cancel = context.WithCancel(ctx)
	c.hedge = h
	request, resumed := p.prepare(c, lease), c.headSent
	go func() { // reads only fields of c that do not change
		defer c.watch.Load().Wake()
		defer close(h.done)
		h.exchange, h.failure = p.cfg.Client.Do(ctx, lease.Record.Addr, request, options)
		h.failure = withMalformed(h.failure)
		p.applyAdvisory(c, &h.attempt)
		p.judgeHedge(c, &h.attempt, resumed)
	}()
	return true
}

// answeringLimit returns how long an endpoint may have been idle to be eligible for a hedge, or
// 0 for plain responses, of which nothing arrives before the end.
func (p *Proxy) answeringLimit(c *call) time.Duration {
	if c.route.Kind != routes.Stream {
		return 0
	}
	return policy.HedgeTargetIdleLimit(c.route.GapTarget)
}

// hedgeOptions returns the options for sending a hedge, before its endpoint is recorded as attempted. A stream is withdrawn if the weights of
// its endpoint become too old for it to begin.
func (p *Proxy) hedgeOptions(c *call, lease *balance.Lease) upstream.Options {
	options := upstream.Options{NewConnection: c.needsNewConnection(lease), IsForeign: p.isForeign(c)}
	if c.route.Kind != routes.Stream {
		return options
	}
	model := c.model
	options.Watchdog = upstream.NewWatchdog(func() bool {
		return lease.Holds(model) < p.cfg.MinVersion(model)
	})
	return options
}

// judgeHedge checks the head of a hedge's response. A response that is no better than waiting
// counts as a failure: the hedge is useful only if its response is a success, or resumes one.
func (p *Proxy) judgeHedge(c *call, a *attempt, resumed bool) {
	if a.failure != nil {
		a.outcome = outcomeOfSendFailure(a.failure)
		return
	}
	a.failure, a.outcome = p.judge(a)
	if a.failure == nil && !servesCaller(c.route.Kind, a.exchange.Status) {
		a.failure, a.outcome = statusFailure(a.exchange.Status, resumed), balance.Failed
	}
}

// servesCaller reports whether a response with the given status is preferable to waiting for an
// endpoint that may still respond.
func servesCaller(k routes.Kind, status int) bool {
	if k == routes.Stream {
		return status == http.StatusOK
	}
	return status < http.StatusInternalServerError
}

// hedgeAnswered reports whether the endpoint that is waited for is abandoned now because the
// hedge has a usable response. A failed hedge is discarded.
func (p *Proxy) hedgeAnswered(c *call) bool {
	h := c.hedge
	if h == nil {
		return false
	}
	select {
	case <-h.done:
	default:
		return false
	}
	if h.failure == nil {
		return true
	}
	c.hedge = nil
	c.recordFailure(h.failure)
	p.logAttemptFailure(c, &h.attempt)
	p.detectCrash(c, &h.attempt)
	h.finish()
	return false
}

// cancelHedge cancels the hedge after the endpoint has responded or the request has ended.
func (p *Proxy) cancelHedge(c *call) {
	p.hedgeAnswered(c) // records the outcome of a hedge that has already failed
	h := c.hedge
	if h == nil {
		return
	}
	c.hedge = nil
	h.cancel()
	<-h.done
	h.outcome = balance.Neutral
	h.finish()
	p.logHedgeDropped(c, h)
}

// applyWait carries out a waiting decision, and reports whether the endpoint of lease is
// abandoned now.
func (p *Proxy) applyWait(ctx context.Context, c *call, lease *balance.Lease, s *policy.Stall, w policy.WaitDecision) bool {
	abandon := false
	switch w := w.(type) {
	case policy.Abandon:
		abandon = true
	case policy.Hedge:
		if c.hedge == nil && p.hedge(ctx, c, w, p.answeringLimit(c)) {
			p.logHedge(c, lease, s)
		}
	case policy.KeepWaiting:
	}
	abandon = abandon || p.hedgeAnswered(c)
	if abandon {
		p.logEndpointLeft(c, lease, s)
	}
	return abandon
}
