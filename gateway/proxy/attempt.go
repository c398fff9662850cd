package proxy

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/silverdeck/silverdeck/gateway/advisory"
	"github.com/silverdeck/silverdeck/gateway/balance"
	"github.com/silverdeck/silverdeck/gateway/header"
	"github.com/silverdeck/silverdeck/gateway/poison"
	"github.com/silverdeck/silverdeck/gateway/policy"
	"github.com/silverdeck/silverdeck/gateway/upstream"
	"github.com/silverdeck/silverdeck/routes"
	"github.com/silverdeck/silverdeck/verdict"
	"github.com/silverdeck/silverdeck/wait"
)

// attempt is the forwarding of a request to one endpoint.
type attempt struct {
	lease  *balance.Lease
	sentAt time.Time
	// firstEventAt is when the first event of a stream arrived, or zero before.
	firstEventAt time.Time
	// exchange is the response once its head was received. failure is why there is no response
	// or why it can't be used.
	exchange *upstream.Exchange
	failure  *verdict.Error
	// liveness is whether the endpoint was running after a response without a mark of its end.
	liveness upstream.Liveness
	// head is the response head as evaluated by package policy, advisory what it states about
	// the endpoint; see applyAdvisory.
	head     policy.ResponseHead
	advisory advisory.Advisory
	// outcome is what the attempt has shown about the endpoint so far.
	outcome balance.Outcome
	// cancel cancels the attempt's own context, if it has one.
	cancel context.CancelFunc
	// callerPause is the longest time for which the caller took nothing of the response.
	callerPause time.Duration
	// finished is set once finish was called.
	finished bool
}

// finish closes the exchange, if there is one, and releases the lease. Later calls have no effect.
func (a *attempt) finish() {
	if a.finished {
		return
	}
	a.finished = true
	if a.exchange != nil {
		a.exchange.Close()
	}
	if a.cancel != nil {
		a.cancel()
	}
	a.lease.Done(a.outcome, time.Now())
}

// recordWrite records that a part of the response was written to the caller from began to now.
func (a *attempt) recordWrite(began, now time.Time) {
	a.callerPause = max(a.callerPause, now.Sub(began))
}

// answeredRequest returns the ID of the request that the response belongs to, by its header, or an
// empty string if there is no response.
func (a *attempt) answeredRequest(names *header.Names) string {
	if a.exchange == nil {
		return ""
	}
	return a.exchange.Header.Get(names.RequestID)
}

// newConnection reports whether the response came on a connection that was opened for the request.
func (a *attempt) newConnection() bool {
	return a.exchange != nil && a.exchange.NewConnection
}

// receivedBody describes the body of an endpoint's response for the log.
type receivedBody struct {
	framing upstream.Framing
	bytes   int64
}

// body returns what was received of the response's body.
func (a *attempt) body() receivedBody {
	if a.exchange == nil {
		return receivedBody{}
	}
	return receivedBody{framing: a.exchange.Framing, bytes: a.exchange.BytesRead()}
}

// run sends the request to one endpoint after another until one responds. It returns the failure
// to report to the caller, or nil.
func (p *Proxy) run(ctx context.Context, w http.ResponseWriter, c *call) *verdict.Error {
	defer p.releaseTrial(c)
	defer p.releaseGrant(c)
	defer p.cancelHedge(c)
	last := p.try(ctx, w, c)
	for tries := 1; last != nil && p.shouldContinue(ctx, c, tries, last); tries++ {
		last = p.try(ctx, w, c)
	}
	if a := p.assess(c); last != nil && a.State == poison.Quarantined {
		last = withheld(a.Cause)
	}
	if last == nil || p.fallBack(w, c) {
		return nil
	}
	return final(ctx, c, last)
}

// shouldContinue reports whether another attempt follows after the given number of tries.
func (p *Proxy) shouldContinue(ctx context.Context, c *call, tries int, last *verdict.Error) bool {
	if policy.IsWithheld(last.Code) || c.crashedOnTrial || p.quarantined(c) {
		c.noRetryReason = policy.Withheld.String()
		return false
	}
	if last.Code == policy.CodeTooLate {
		c.noRetryReason = policy.NoTime.String()
		return false
	}
	if c.passedThrough {
		c.noRetryReason = noRetryPassedThrough
		return false
	}
	if c.hedge != nil {
		return true // the hedge is already in progress
	}
	if c.countedAttempts(max(tries, len(c.attempted))) >= c.route.Attempts && !mayReuseEndpoint(ctx, c, tries, last) {
		c.noRetryReason = noRetryAttempts
		return false
	}
	return len(c.attempted) == 0 || p.mayRetry(ctx, c, last)
}

// mayReuseEndpoint reports whether a response that has begun may resume at an endpoint that had
// the request before, such as one whose hedge was canceled or that was abandoned. The route
// limits the number of endpoints that are sent a request, not the number of tries. If the last
// endpoint refused the request, the function first waits for policy.ReturnPause.
func mayReuseEndpoint(ctx context.Context, c *call, tries int, last *verdict.Error) bool {
	if !c.headSent || !policy.MayReuseEndpoint(tries, c.route.Attempts, last.Code) {
		return false
	}
	return last.Verdict() != verdict.NotRun || wait.For(ctx, policy.ReuseDelay)
}

// mayRetry reports whether the request is retried at another endpoint. If necessary it takes the
// retry from the budget.
func (p *Proxy) mayRetry(ctx context.Context, c *call, last *verdict.Error) bool {
	decision := policy.DecideRetry(policy.Failure{
		Code:       last.Code,
		Verdict:    last.Verdict(),
		Repeatable: c.route.Repeatable(),
		Canceled:   ctx.Err() != nil,
		Left:       time.Until(c.deadline),
	})
	switch decision {
	case policy.UnbudgetedRetry:
		return true
	case policy.BudgetedRetry:
		if p.takeRetryBudget(c, c.purpose(), time.Now()) {
			return true
		}
		c.noRetryReason = noRetryBudget
	default:
		c.noRetryReason = decision.String()
	}
	return false
}

// final returns the failure as it is reported to the caller.
func final(ctx context.Context, c *call, last *verdict.Error) *verdict.Error {
	e := *last
	if c.mayHaveRun() {
		e.Evidence = verdict.Unknown{}
	}
	if errors.Is(context.Cause(ctx), context.Canceled) {
		e.Code = verdict.CodeCanceled
	}
	left := time.Until(c.deadline)
	switch {
	case e.Verdict() != verdict.NotRun, e.Code == policy.CodePartQuarantined:
	case e.Code == policy.CodeTooLate:
		e.RetryAfter = policy.RetryAfterTooLate(left)
	default:
		e.RetryAfter = policy.RetryAfter(e.RetryAfter, left)
	}
	return &e
}

// try makes one attempt: the hedge in progress, or a new one at an endpoint that it selects.
func (p *Proxy) try(ctx context.Context, w http.ResponseWriter, c *call) *verdict.Error {
	a, failure := p.begin(ctx, c)
	if failure != nil {
		return failure
	}
	defer a.finish()
	if a.failure == nil {
		a.failure, a.outcome = p.forward(ctx, w, c, a)
	}
	c.received = a.body()
	if a.outcome == balance.Failed && c.route.Kind == routes.Stream &&
		a.lease.Idle(a.sentAt, time.Now()) > policy.EndpointIdleLimit(c.route.GapTarget) {
		a.outcome = balance.Unresponsive
	}
	if c.withdrawn {
		a.outcome = balance.Neutral
	}
	if a.failure != nil {
		c.recordFailure(a.failure)
		p.logAttemptFailure(c, a)
		p.detectCrash(c, a)
	}
	return a.failure
}

// begin returns an attempt that has a response or has failed, or the reason why no endpoint
// could be selected.
func (p *Proxy) begin(ctx context.Context, c *call) (*attempt, *verdict.Error) {
	if h := c.hedge; h != nil {
		<-h.done
		c.hedge = nil
		c.recordAttempt(h.lease.Record.ID, h.lease.Holds(c.model))
		p.countConnection(&h.attempt)
		return &h.attempt, nil
	}
	if failure := p.admit(ctx, c); failure != nil {
		return nil, failure
	}
	if failure := p.acquireGrant(ctx, c); failure != nil {
		return nil, failure
	}
	lease, failure := p.pickOrAwaitLoad(ctx, c)
	if failure != nil {
		return nil, failure
	}
	if failure := p.admit(ctx, c); failure != nil { // crashes may have become known meanwhile
		lease.Done(balance.Neutral, time.Now())
		return nil, failure
	}
	options := p.sendOptions(ctx, c, lease)
	c.recordSend()
	c.recordAttempt(lease.Record.ID, lease.Holds(c.model))
	a := &attempt{lease: lease, sentAt: time.Now(), outcome: balance.Neutral}
	if ctx.Err() != nil || time.Until(c.deadline) < time.Millisecond { // the deadline header is in milliseconds
		a.failure = verdict.NewError(verdict.Unsent{}, verdict.CodeDeadline, "no time left")
		return a, nil
	}
	a.exchange, a.failure = p.cfg.Client.Do(ctx, lease.Record.Addr, p.prepare(c, lease), options)
	a.failure = withMalformed(a.failure)
	p.applyAdvisory(c, a)
	if a.failure != nil {
		a.outcome = outcomeOfSendFailure(a.failure)
	}
	p.countConnection(a)
	return a, nil
}

// countConnection counts the connection if a new one was opened for the response.
func (p *Proxy) countConnection(a *attempt) {
	if a.exchange != nil && a.exchange.NewConnection {
		p.cfg.Metrics.Connections.Inc(1)
	}
}

// forward relays the response of an attempt to the caller.
func (p *Proxy) forward(ctx context.Context, w http.ResponseWriter, c *call, a *attempt) (*verdict.Error, balance.Outcome) {
	if failure, outcome := p.judge(a); failure != nil {
		return failure, outcome
	}
	if a.head.Signed {
		a.lease.Accepted()
	}
	if c.headSent && a.exchange.Status != http.StatusOK {
		return statusFailure(a.exchange.Status, true), balance.Failed
	}
	if c.route.Kind == routes.Stream && a.exchange.Status == http.StatusOK {
		p.checkWeightsDeadline(c, a.exchange, a.lease, a.sentAt)
		return p.forwardStream(ctx, w, c, a)
	}
	return p.forwardBuffered(ctx, w, c, a)
}

// statusFailure returns the failure of an attempt whose response has an unusable status.
func statusFailure(status int, resumed bool) *verdict.Error {
	if resumed {
		return verdict.NewError(verdict.Unknown{}, verdict.CodeEngine, "status %d for the rest of a stream", status)
	}
	return verdict.NewError(verdict.Unknown{}, verdict.CodeEngine, "status %d of the endpoint", status)
}
