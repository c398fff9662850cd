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

// hedge is an attempt at another endpoint that begins while the request's endpoint is
// still waited for. Its place and its retry are taken before anything is given up, and
// the endpoint is left only once the hedge has an answer. Before, endpoints were left on the
// mere check that there was another: 143 requests of two soaks with engines that stall were
// cut while their endpoints were at work, and none since (docs/incidents). Hedges leave to
// rests of answers that broke off what the retry budget keeps for those.
type hedge struct {
	attempt
	// done is closed once the attempt has an answer or has failed.
	done chan struct{}
}

// hedge sends the request to another endpoint with a load below maxLoad, in requests for
// each slot, or 0 for any, that was not idle for longer than maxIdle, or 0 for any time. One
// that is idle itself would use up the retry budget, which streams need that are cut. It
// returns false where none can take it now or the retry budget has no retry; then nothing
// has changed.
func (p *Proxy) hedge(ctx context.Context, c *call, maxLoad float64, maxIdle time.Duration) bool {
	if p.suspicion(c) != poison.Clear {
		return false // its endpoint may end under it, and another one as well
	}
	now := time.Now()
	q := p.query(c)
	q.Healthy, q.MaxIdle = true, maxIdle
	if maxLoad > 0 && (q.MaxLoad == 0 || maxLoad < q.MaxLoad) {
		q.MaxLoad = maxLoad
	}
	lease, err := p.cfg.Balancer.Pick(q, now)
	if err != nil {
		return false // the endpoint is waited for as before
	}
	if !p.takeRepeat(c, Hedge, now) { // a begun answer, too, goes on without it
		lease.Done(balance.Neutral, now)
		return false
	}
	c.attempted = append(c.attempted, lease.Record.ID)
	h := &hedge{attempt: attempt{lease: lease, sentAt: now}, done: make(chan struct{})}
	ctx, h.cancel = context.WithCancel(ctx)
	c.hedge = h
	request, resumed := p.prepare(c, lease), c.headSent
	go func() { // reads nothing of c that changes
		defer c.watch.Load().Wake()
		defer close(h.done)
		h.x, h.failure = p.cfg.Client.Do(ctx, lease.Record.Addr, request, p.hedgeOptions(c, lease))
		p.hear(c, &h.attempt)
		p.settle(c, &h.attempt, resumed)
	}()
	return true
}

// answeringLimit returns for how long an endpoint may have been idle that is asked as well;
// 0 for plain answers, whose endpoints send nothing before the end.
func (p *Proxy) answeringLimit(c *call) time.Duration {
	if c.route.Kind != routes.Stream {
		return 0
	}
	return policy.HedgeTargetIdleLimit(c.route.GapTarget)
}

// hedgeOptions returns how a hedge is sent. It is withdrawn where its endpoint's weights
// get too old for a stream to begin on.
func (p *Proxy) hedgeOptions(c *call, lease *balance.Lease) upstream.Options {
	if c.route.Kind != routes.Stream {
		return upstream.Options{}
	}
	model := c.model
	return upstream.Options{Watch: upstream.NewWatch(func() bool {
		return lease.Holds(model) < p.cfg.MinVersion(model)
	})}
}

// settle looks at the head of a hedge's answer. One that is no better than waiting counts
// as failed: what serves a caller is an answer that is, or goes on as, a success.
func (p *Proxy) settle(c *call, a *attempt, resumed bool) {
	if a.failure != nil {
		a.outcome = sendOutcome(a.failure)
		return
	}
	a.failure, a.outcome = p.judge(a)
	if a.failure == nil && !better(c.route.Kind, a.x.Status) {
		a.failure, a.outcome = errorAnswer(a.x.Status, resumed), balance.Failed
	}
}

// better returns whether an answer with a status serves a caller whose endpoint may still
// answer.
func better(k routes.Kind, status int) bool {
	if k == routes.Stream {
		return status == http.StatusOK
	}
	return status < http.StatusInternalServerError
}

// hedged returns whether the endpoint that is waited for is left now, because the hedge has
// an answer. A hedge that failed is forgotten.
func (p *Proxy) hedged(c *call) bool {
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
	c.noteFailure(h.failure)
	p.logAttempt(c, h.lease, h.sentAt, h.failure)
	p.noteEnd(c, &h.attempt)
	h.end()
	return false
}

// dropHedge withdraws a hedge, since the endpoint has answered or the request is over.
func (p *Proxy) dropHedge(c *call) {
	p.hedged(c) // one that has failed tells of its endpoint
	h := c.hedge
	if h == nil {
		return
	}
	c.hedge = nil
	h.cancel()
	<-h.done
	h.outcome = balance.Neutral
	h.end()
	p.logHedgeDropped(c, h)
}

// leaves carries out a decision about waiting: it returns whether the endpoint of lease is
// left now.
func (p *Proxy) leaves(ctx context.Context, c *call, lease *balance.Lease, s *policy.Stall, w policy.WaitDecision) bool {
	left := false
	switch w := w.(type) {
	case policy.Abandon:
		left = true
	case policy.Hedge:
		if c.hedge == nil && p.hedge(ctx, c, w.MaxLoad, p.answeringLimit(c)) {
			p.logHedge(c, lease, s)
		}
	case policy.KeepWaiting:
	}
	left = left || p.hedged(c)
	if left {
		p.logLeft(c, lease, s)
	}
	return left
}
