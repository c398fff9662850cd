package proxy

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/silverdeck/silverdeck/gateway/balance"
	"github.com/silverdeck/silverdeck/gateway/policy"
	"github.com/silverdeck/silverdeck/gateway/work"
	"github.com/silverdeck/silverdeck/routes"
	"github.com/silverdeck/silverdeck/verdict"
	"github.com/silverdeck/silverdeck/wait"
)

// query returns the requirements for selecting an endpoint.
func (p *Proxy) query(c *call) *balance.Query {
	q := &balance.Query{Service: c.service, Regions: c.regions, Exclude: c.attempted, LeastLoaded: policy.RequiresIsolation(c.crashCount)}
	if c.lastAttempt() {
		q.Exclude, q.Include = []string{c.current}, c.attempted
	}
	if c.route.Kind == routes.Stream {
		q.Model = c.model
		q.Reloaded = balance.Reloaded{ID: c.current, FromVersion: c.currentWeights}
		q.MinVersion = p.cfg.MinVersion(c.model)
		q.Prefill = c.prefill()
		q.Work = c.work(time.Now())
		// A response that has begun has no load limit: it would be cut if all endpoints were full.
		if c.headSent {
			q.LatestVersion = p.cfg.NewestVersion(c.model)
		} else {
			q.MaxLoad = p.maxLoad(c)
			if g := c.grant; g != nil && g.Enforced {
				q.Admitted, q.Vacated = true, g.Vacated
			}
		}
	}
	return q
}

// pickFailure converts an error of endpoint selection to the failure reported to the caller. It
// returns nil if err is nil.
func (p *Proxy) pickFailure(c *call, err error) *verdict.Error {
	var full *balance.FullError
	var tooLate *balance.DeadlineError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &tooLate):
		p.cfg.Metrics.TooLate.Inc(1)
		return verdict.NewError(verdict.Unsent{}, policy.CodeTooLate, "no endpoint of %s would finish in time", c.service)
	case errors.As(err, &full):
		if !c.late() {
			p.refusals.record(c.service, time.Now())
		}
		if full.OpensIn > 0 {
			return p.closedFailure(c.service, full.OpensIn)
		}
		return p.shortageFailure(c, policy.CodeFull, "all endpoints of %s are full")
	}
	cause := fmt.Errorf("%w: %s", err, p.cfg.Balancer.Exclusions(p.query(c)))
	return p.shortageFailure(c, verdict.CodeNoEndpoint, "no endpoint of %s").WithCause(cause)
}

// pickOrAwaitLoad selects an endpoint and counts the request there. A resumed response waits for
// a limited time if the selected endpoint is about to load weights, or if all that would be
// suitable are loading.
func (p *Proxy) pickOrAwaitLoad(ctx context.Context, c *call) (*balance.Lease, *verdict.Error) {
	startedAt := time.Now()
	for {
		lease, err := p.pick(ctx, c)
		if !policy.WaitsForLoad(c.headSent, awaitsWeights(lease, err), time.Since(startedAt)) {
			return lease, p.pickFailure(c, err)
		}
		if lease != nil {
			lease.Done(balance.Neutral, time.Now())
		}
		if !wait.For(ctx, policy.LoadPollInterval) {
			return nil, verdict.Classify(verdict.Answering, context.Cause(ctx))
		}
	}
}

// maxPicks is how often an endpoint is picked for one attempt while endpoints have used up their rate
// limits. Each time another gateway may be asked, which takes a few milliseconds.
const maxPicks = 4

// pick selects an endpoint. If all endpoints have stated that they take no requests for now, it asks
// the gateways that hold some of them for permission to send a request there, and waits for one that
// opens soon enough for the caller.
func (p *Proxy) pick(ctx context.Context, c *call) (*balance.Lease, error) {
	until := time.Now().Add(c.waitLimit())
	for n := 1; ; n++ {
		lease, err := p.cfg.Balancer.Pick(p.query(c), time.Now())
		var full *balance.FullError
		if !errors.As(err, &full) || n == maxPicks || !p.awaitOpening(ctx, full, until) {
			return lease, err
		}
	}
}

// awaitOpening requests a token if one can be requested, waits until an endpoint accepts a request, but
// not beyond until, and returns whether an endpoint should be picked again.
func (p *Proxy) awaitOpening(ctx context.Context, full *balance.FullError, until time.Time) bool {
	opensIn, asked := full.OpensIn, full.TokenFrom.ID != ""
	if asked {
		d, granted := p.cfg.RequestToken(ctx, full.TokenFrom)
		if !granted {
			return true // to ask another gateway
		}
		opensIn = d
	}
	if opensIn > time.Until(until) || opensIn <= 0 {
		return asked
	}
	return wait.For(ctx, opensIn)
}

// awaitsWeights reports whether the selected endpoint is about to load weights, or whether none
// could be selected because endpoints are loading or have stated that they accept requests again
// soon.
func awaitsWeights(lease *balance.Lease, err error) bool {
	var noEndpoint *balance.NoEndpointError
	if errors.As(err, &noEndpoint) {
		return noEndpoint.Loading
	}
	var full *balance.FullError
	if errors.As(err, &full) {
		return policy.ReopensSoon(full.OpensIn)
	}
	return lease != nil && lease.Paused(time.Now())
}

// maxLoad returns the load at which an endpoint counts as full for a new stream.
func (p *Proxy) maxLoad(c *call) float64 {
	limit := policy.MaxLoad(c.engine(), c.config.LongestTarget(c.service), c.promptTokens)
	if !c.late() || c.grant != nil && c.grant.Enforced {
		return limit
	}
	return policy.LateMaxLoad(limit, p.refusals.sinceLast(c.service, time.Now()))
}

// closedFailure returns the failure of a request when all endpoints have stated that they take
// no requests until opensIn has passed.
func (p *Proxy) closedFailure(service string, opensIn time.Duration) *verdict.Error {
	e := verdict.NewError(verdict.Unsent{}, policy.CodeClosed, "all endpoints of %s take no more for now, by their own word", service)
	return e.WithRetryAfter(policy.RetryAfterReopening(opensIn, p.cfg.Random()))
}

// shortageFailure returns the failure of a request for which no endpoint is available. Its caller returns
// early enough for the request to end, if it can.
func (p *Proxy) shortageFailure(c *call, code verdict.Code, format string) *verdict.Error {
	needs := work.SlotTime(c.engine(), c.tokens())
	after := policy.ReturnToEnd(policy.RetryAfterShortage(p.cfg.Random()), time.Until(c.deadline), needs)
	return verdict.NewError(verdict.Unsent{}, code, format, c.service).WithRetryAfter(after)
}
