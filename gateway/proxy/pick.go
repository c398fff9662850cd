package proxy

import (
	"context"
	"errors"
	"time"

	"github.com/silverdeck/silverdeck/gateway/balance"
	"github.com/silverdeck/silverdeck/gateway/policy"
	"github.com/silverdeck/silverdeck/routes"
	"github.com/silverdeck/silverdeck/verdict"
	"github.com/silverdeck/silverdeck/wait"
)

// query returns what an endpoint is wanted for.
func (p *Proxy) query(c *call) *balance.Query {
	q := &balance.Query{Service: c.service, Exclude: c.attempted, Apart: policy.RunsApart(c.ends)}
	if c.lastAttempt() {
		q.Exclude, q.Among = []string{c.current}, c.attempted
	}
	if c.route.Kind == routes.Stream {
		q.Model = c.model
		q.MinVersion = p.cfg.MinVersion(c.model)
		q.Prefill = c.prefill()
		if c.headSent {
			q.Lasting = p.cfg.Newest(c.model)
		} else {
			q.MaxLoad = p.maxLoad(c) // a begun answer would be cut where all are full
		}
	}
	return q
}

// pick chooses an endpoint and counts the request there.
func (p *Proxy) pick(c *call) (*balance.Lease, *verdict.Error) {
	lease, err := p.cfg.Balancer.Pick(p.query(c), time.Now())
	var full *balance.FullError
	switch {
	case err == nil:
		return lease, nil
	case errors.As(err, &full):
		if !c.late() {
			p.refusals.note(c.service, time.Now())
		}
		return nil, p.shortage(policy.CodeFull, "all endpoints of %s are full", c.service)
	}
	return nil, p.shortage(verdict.CodeNoEndpoint, "no endpoint of %s", c.service)
}

// pickLoaded chooses an endpoint as pick does, and waits for a while where the rest of an
// answer would go to one that is about to load weights.
func (p *Proxy) pickLoaded(ctx context.Context, c *call) (*balance.Lease, *verdict.Error) {
	lease, failure := p.pick(c)
	began := time.Now()
	for failure == nil && policy.AwaitsLoad(c.headSent, lease.Paused(time.Now()), time.Since(began)) {
		lease.Done(balance.Neutral, time.Now())
		if !wait.For(ctx, policy.PauseWait) {
			return nil, verdict.Classify(verdict.Answering, context.Cause(ctx))
		}
		lease, failure = p.pick(c)
	}
	return lease, failure
}

// maxLoad returns the load at which an endpoint is full for a stream that has not begun.
func (p *Proxy) maxLoad(c *call) float64 {
	limit := policy.MaxLoad(c.engine(), c.config.LongestTarget(c.service), c.promptTokens)
	if !c.late() {
		return limit
	}
	return policy.LateMaxLoad(limit, p.refusals.ago(c.service, time.Now()))
}

// shortage returns the failure of a request that found no endpoint.
func (p *Proxy) shortage(code verdict.Code, format, service string) *verdict.Error {
	return verdict.NewError(verdict.NotRun, code, format, service).After(policy.ShortageRetry(p.cfg.Random()))
}
