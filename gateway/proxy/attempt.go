package proxy

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/silverdeck/silverdeck/gateway/balance"
	"github.com/silverdeck/silverdeck/gateway/policy"
	"github.com/silverdeck/silverdeck/gateway/upstream"
	"github.com/silverdeck/silverdeck/routes"
	"github.com/silverdeck/silverdeck/verdict"
)

// run sends the request to one endpoint after another until one answers, or
// returns the failure to tell the caller.
func (p *Proxy) run(ctx context.Context, w http.ResponseWriter, c *call) *verdict.Error {
	var last *verdict.Error
	for range c.route.Attempts {
		if len(c.attempted) > 0 && !p.retries(ctx, c, last) {
			break
		}
		last = p.attempt(ctx, w, c)
		if last == nil {
			return nil
		}
		if last.Verdict != verdict.NotRun {
			c.mayHaveRun = true
		}
	}
	if c.ended == "" {
		c.ended = endedByAttempts
	}
	return final(ctx, c, last)
}

// retries returns whether the request goes to another endpoint, and takes the
// retry from the budget.
func (p *Proxy) retries(ctx context.Context, c *call, last *verdict.Error) bool {
	decision := policy.DecideRetry(policy.Failure{
		Code:       last.Code,
		Verdict:    last.Verdict,
		Repeatable: c.route.Repeatable(),
		Canceled:   ctx.Err() != nil,
		Left:       time.Until(c.deadline),
	})
	switch decision {
	case policy.FreeRetry:
		return true
	case policy.BudgetedRetry:
		if p.cfg.Budget.Take(c.service, c.purpose(), time.Now()) {
			return true
		}
		c.ended = endedByBudget
	default:
		c.ended = decision.String()
	}
	return false
}

// final returns the failure as the caller is told it.
func final(ctx context.Context, c *call, last *verdict.Error) *verdict.Error {
	e := *last
	if c.mayHaveRun {
		e.Verdict = verdict.MayHaveRun
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		e.Code = verdict.CodeCanceled
	}
	if e.Verdict == verdict.NotRun {
		e.RetryAfter = policy.RetryAfter(e.RetryAfter, time.Until(c.deadline))
	}
	return &e
}

// attempt sends the request to one endpoint.
func (p *Proxy) attempt(ctx context.Context, w http.ResponseWriter, c *call) *verdict.Error {
	lease, failure := p.pick(c)
	if failure != nil {
		return failure
	}
	c.attempted = append(c.attempted, lease.Record.ID)
	sentAt := time.Now()
	outcome := balance.Neutral
	defer func() { lease.Done(outcome, time.Now()) }()
	failure, outcome = p.exchange(ctx, w, c, lease, sentAt)
	if outcome == balance.Failed && c.route.Kind == routes.Stream &&
		lease.Idle(sentAt, time.Now()) > policy.EndpointIdleLimit(c.route.GapTarget) {
		outcome = balance.Unresponsive
	}
	if failure != nil {
		p.logAttempt(c, lease, sentAt, failure)
	}
	return failure
}

// pick chooses an endpoint and counts the request there.
func (p *Proxy) pick(c *call) (*balance.Lease, *verdict.Error) {
	q := &balance.Query{Service: c.service, Exclude: c.attempted}
	if c.route.Kind == routes.Stream {
		q.Model = c.model
		q.MinVersion = p.cfg.MinVersion(c.model)
		q.Prefill = c.prefill()
		if !c.headSent { // else the answer would be cut where all are full
			q.MaxLoad = p.maxLoad(c)
		}
	}
	lease, err := p.cfg.Balancer.Pick(q, time.Now())
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

// exchange sends the request by lease, at sentAt, and passes the answer on.
func (p *Proxy) exchange(ctx context.Context, w http.ResponseWriter, c *call, lease *balance.Lease, sentAt time.Time) (*verdict.Error, balance.Outcome) {
	x, failure := p.send(ctx, c, lease)
	if failure != nil {
		return failure, sendOutcome(failure)
	}
	defer x.Close()
	if x.NewConnection {
		p.cfg.Metrics.Connections.Inc(1)
	}
	if failure, outcome := p.judge(c, x); failure != nil {
		return failure, outcome
	}
	if c.headSent && x.Status != http.StatusOK {
		return verdict.NewError(verdict.MayHaveRun, verdict.CodeEngine, "status %d for the rest of a stream", x.Status), balance.Failed
	}
	if c.route.Kind == routes.Stream && x.Status == http.StatusOK {
		p.noteWeights(c, x, lease, sentAt)
		return p.stream(ctx, w, c, x, lease)
	}
	return p.whole(w, c, x)
}

// send sends the request with what differs from one endpoint to the next.
func (p *Proxy) send(ctx context.Context, c *call, lease *balance.Lease) (*upstream.Exchange, *verdict.Error) {
	names := &p.cfg.Headers
	q := *c.request
	q.Header = c.request.Header.Clone()
	q.Header.Set(names.Instance, lease.Record.ID)
	left := time.Until(c.deadline)
	if left < time.Millisecond { // the header holds whole milliseconds
		return nil, verdict.NewError(verdict.NotRun, verdict.CodeDeadline, "no time left")
	}
	q.Header.Set(names.Deadline, strconv.FormatInt(left.Milliseconds(), 10))
	if c.lastEventID != "" {
		q.Header.Set(names.LastEvent, c.lastEventID)
	}
	if c.headSent {
		q.Header.Set(names.Priority, strconv.Itoa(c.priority()))
	}
	fresh := !c.route.Repeatable() && len(c.attempted) > 1
	return p.cfg.Client.Do(ctx, lease.Record.Addr, &q, upstream.Options{Fresh: fresh, GiveUp: p.giveUp(c, lease)})
}

// sendOutcome returns what a failure of sending says of the endpoint.
func sendOutcome(e *verdict.Error) balance.Outcome {
	switch {
	case e.Code == verdict.CodeCanceled:
		return balance.Neutral
	case e.Verdict == verdict.NotRun:
		return balance.Unreachable
	}
	return balance.Failed
}
