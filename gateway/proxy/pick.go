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
	q := &balance.Query{Service: c.service, Exclude: c.attempted, LeastLoaded: policy.RunsApart(c.ends)}
	if c.lastAttempt() {
		q.Exclude, q.Include = []string{c.current}, c.attempted
	}
	if c.route.Kind == routes.Stream {
		q.Model = c.model
		q.Reloaded = balance.Reloaded{ID: c.current, FromVersion: c.currentWeights}
		q.MinVersion = p.cfg.MinVersion(c.model)
		q.Prefill = c.prefill()
		if c.headSent {
			q.LatestVersion = p.cfg.Newest(c.model)
		} else {
			q.MaxLoad = p.maxLoad(c) // a begun answer would be cut where all are full
		}
	}
	return q
}

// pickFailure returns what a caller is told whose request found no endpoint; nil without err.
func (p *Proxy) pickFailure(c *call, err error) *verdict.Error {
	var full *balance.FullError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &full):
		if !c.late() {
			p.refusals.note(c.service, time.Now())
		}
		if full.OpensIn > 0 {
			return p.closed(c.service, full.OpensIn)
		}
		return p.shortage(policy.CodeFull, "all endpoints of %s are full", c.service)
	}
	return p.shortage(verdict.CodeNoEndpoint, "no endpoint of %s", c.service)
}

// pickLoaded chooses an endpoint and counts the request there. The rest of an answer waits for
// a while where it would go to an endpoint that is about to load weights, or could go only to
// one that is loading them.
func (p *Proxy) pickLoaded(ctx context.Context, c *call) (*balance.Lease, *verdict.Error) {
	began := time.Now()
	for {
		lease, err := p.pick(ctx, p.query(c))
		if !policy.AwaitsLoad(c.headSent, loading(lease, err), time.Since(began)) {
			return lease, p.pickFailure(c, err)
		}
		if lease != nil {
			lease.Done(balance.Neutral, time.Now())
		}
		if !wait.For(ctx, policy.PauseWait) {
			return nil, verdict.Classify(verdict.Answering, context.Cause(ctx))
		}
	}
}

// pick chooses an endpoint. Where all take no more for now by their own word, the gateway that
// holds one of them is asked for a request there.
func (p *Proxy) pick(ctx context.Context, q *balance.Query) (*balance.Lease, error) {
	lease, err := p.cfg.Balancer.Pick(q, time.Now())
	var full *balance.FullError
	if errors.As(err, &full) && full.TokenFrom.ID != "" && p.cfg.AskToken(ctx, full.TokenFrom) {
		return p.cfg.Balancer.Pick(q, time.Now())
	}
	return lease, err
}

// loading returns whether what was chosen is about to load weights, or could have been chosen
// but for that, or but for what an endpoint said of itself a moment ago.
func loading(lease *balance.Lease, err error) bool {
	var none *balance.NoEndpointError
	if errors.As(err, &none) {
		return none.Loading
	}
	var full *balance.FullError
	if errors.As(err, &full) {
		return policy.OpensSoon(full.OpensIn)
	}
	return lease != nil && lease.Paused(time.Now())
}

// maxLoad returns the load at which an endpoint is full for a stream that has not begun.
func (p *Proxy) maxLoad(c *call) float64 {
	limit := policy.MaxLoad(c.engine(), c.config.LongestTarget(c.service), c.promptTokens)
	if !c.late() {
		return limit
	}
	return policy.LateMaxLoad(limit, p.refusals.ago(c.service, time.Now()))
}

// closed returns the failure of a request that no endpoint takes before a time has passed, by
// their own word.
func (p *Proxy) closed(service string, opensIn time.Duration) *verdict.Error {
	e := verdict.NewError(verdict.NotRun, policy.CodeClosed, "all endpoints of %s take no more for now, by their own word", service)
	return e.After(policy.OpeningRetry(opensIn, p.cfg.Random()))
}

// shortage returns the failure of a request that found no endpoint.
func (p *Proxy) shortage(code verdict.Code, format, service string) *verdict.Error {
	return verdict.NewError(verdict.NotRun, code, format, service).After(policy.ShortageRetry(p.cfg.Random()))
}
