package proxy

import (
	"errors"
	"time"

	"github.com/silverdeck/silverdeck/gateway/balance"
	"github.com/silverdeck/silverdeck/gateway/policy"
	"github.com/silverdeck/silverdeck/routes"
	"github.com/silverdeck/silverdeck/verdict"
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
		if !c.headSent { // else the answer would be cut where all are full
			q.MaxLoad = p.maxLoad(c)
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
