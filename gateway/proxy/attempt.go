package proxy

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/silverdeck/silverdeck/gateway/advisory"
	"github.com/silverdeck/silverdeck/gateway/balance"
	"github.com/silverdeck/silverdeck/gateway/policy"
	"github.com/silverdeck/silverdeck/gateway/upstream"
	"github.com/silverdeck/silverdeck/routes"
	"github.com/silverdeck/silverdeck/verdict"
	"github.com/silverdeck/silverdeck/wait"
)

// attempt is a request at one endpoint.
type attempt struct {
	lease  *balance.Lease
	sentAt time.Time
	// x is the answer once it has begun; failure says why there is none, or why it is of no
	// use.
	x       *upstream.Exchange
	failure *verdict.Error
	// head is the answer's head as it is judged, told what it says of the endpoint; see hear.
	head policy.ResponseHead
	told advisory.Advisory
	// outcome is what is known of the endpoint by now.
	outcome balance.Outcome
	// cancel ends the attempt where it has a context of its own.
	cancel context.CancelFunc
}

// end closes the exchange, if there is one, and gives the place back.
func (a *attempt) end() {
	if a.x != nil {
		a.x.Close()
	}
	if a.cancel != nil {
		a.cancel()
	}
	a.lease.Done(a.outcome, time.Now())
}

// run sends the request to one endpoint after another until one answers, or
// returns the failure to tell the caller.
func (p *Proxy) run(ctx context.Context, w http.ResponseWriter, c *call) *verdict.Error {
	defer p.endTrial(c)
	defer p.dropHedge(c)
	last := p.try(ctx, w, c)
	for tries := 1; last != nil && p.goesOn(ctx, c, tries, last); tries++ {
		last = p.try(ctx, w, c)
	}
	if last != nil && p.quarantined(c) {
		last = withheld(policy.CodeQuarantined)
	}
	if last == nil || p.fallBack(w, c) {
		return nil
	}
	return final(ctx, c, last)
}

// goesOn returns whether there is another attempt after so many.
func (p *Proxy) goesOn(ctx context.Context, c *call, tries int, last *verdict.Error) bool {
	if policy.IsWithheld(last.Code) || p.quarantined(c) {
		c.ended = policy.Withheld.String()
		return false
	}
	if c.hedge != nil {
		return true // it is under way
	}
	if c.reached(max(tries, len(c.attempted))) >= c.route.Attempts && !returns(ctx, c, tries, last) {
		c.ended = endedByAttempts
		return false
	}
	return len(c.attempted) == 0 || p.retries(ctx, c, last)
}

// returns returns whether an answer that has begun goes on, after so many attempts, at an
// endpoint that had it before: one whose hedge was dropped, or that was left. The route
// bounds how many endpoints a request is sent to, not how often. Where one has just
// refused it, it waits before that.
func returns(ctx context.Context, c *call, tries int, last *verdict.Error) bool {
	if !c.headSent || !policy.MayReuseEndpoint(tries, c.route.Attempts, last.Code) {
		return false
	}
	return last.Verdict != verdict.NotRun || wait.For(ctx, policy.ReuseDelay)
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
	case policy.UnbudgetedRetry:
		return true
	case policy.BudgetedRetry:
		if p.takeRepeat(c, c.purpose(), time.Now()) {
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
	if errors.Is(context.Cause(ctx), context.Canceled) {
		e.Code = verdict.CodeCanceled
	}
	if e.Verdict == verdict.NotRun {
		e.RetryAfter = policy.RetryAfter(e.RetryAfter, time.Until(c.deadline))
	}
	return &e
}

// try makes one attempt: the hedge that is under way, or one at an endpoint that it chooses.
func (p *Proxy) try(ctx context.Context, w http.ResponseWriter, c *call) *verdict.Error {
	a, failure := p.begin(ctx, c)
	if failure != nil {
		return failure
	}
	defer a.end()
	if a.failure == nil {
		a.failure, a.outcome = p.pass(ctx, w, c, a)
	}
	if a.outcome == balance.Failed && c.route.Kind == routes.Stream &&
		a.lease.Idle(a.sentAt, time.Now()) > policy.EndpointIdleLimit(c.route.GapTarget) {
		a.outcome = balance.Unresponsive
	}
	if c.withdrawn {
		a.outcome = balance.Neutral
	}
	if a.failure != nil {
		c.noteFailure(a.failure)
		p.logAttempt(c, a.lease, a.sentAt, a.failure)
		p.noteEnd(c, a)
	}
	return a.failure
}

// begin returns an attempt that has an answer or has failed, or why no endpoint was found.
func (p *Proxy) begin(ctx context.Context, c *call) (*attempt, *verdict.Error) {
	if h := c.hedge; h != nil {
		<-h.done
		c.hedge = nil
		c.noteAttempt(h.lease.Record.ID, h.lease.Holds(c.model))
		p.noteConnection(&h.attempt)
		return &h.attempt, nil
	}
	if failure := p.admit(ctx, c); failure != nil {
		return nil, failure
	}
	lease, failure := p.pickLoaded(ctx, c)
	if failure != nil {
		return nil, failure
	}
	c.noteAttempt(lease.Record.ID, lease.Holds(c.model))
	a := &attempt{lease: lease, sentAt: time.Now(), outcome: balance.Neutral}
	if ctx.Err() != nil || time.Until(c.deadline) < time.Millisecond { // the header holds whole milliseconds
		a.failure = verdict.NewError(verdict.NotRun, verdict.CodeDeadline, "no time left")
		return a, nil
	}
	fresh := !c.route.Repeatable() && len(c.attempted) > 1
	a.x, a.failure = p.cfg.Client.Do(ctx, lease.Record.Addr, p.prepare(c, lease), upstream.Options{Fresh: fresh, Watch: p.watch(ctx, c, lease)})
	p.hear(c, a)
	if a.failure != nil {
		a.outcome = sendOutcome(a.failure)
	}
	p.noteConnection(a)
	return a, nil
}

// noteConnection counts a connection that was opened for an answer.
func (p *Proxy) noteConnection(a *attempt) {
	if a.x != nil && a.x.NewConnection {
		p.cfg.Metrics.Connections.Inc(1)
	}
}

// pass passes the answer of an attempt on.
func (p *Proxy) pass(ctx context.Context, w http.ResponseWriter, c *call, a *attempt) (*verdict.Error, balance.Outcome) {
	if failure, outcome := p.judge(a); failure != nil {
		return failure, outcome
	}
	if c.headSent && a.x.Status != http.StatusOK {
		return errorAnswer(a.x.Status, true), balance.Failed
	}
	if c.route.Kind == routes.Stream && a.x.Status == http.StatusOK {
		p.noteWeights(c, a.x, a.lease, a.sentAt)
		return p.stream(ctx, w, c, a.x, a.lease)
	}
	return p.whole(ctx, w, c, a.x)
}

// errorAnswer returns the failure of an attempt that was answered with a status of no use.
func errorAnswer(status int, resumed bool) *verdict.Error {
	if resumed {
		return verdict.NewError(verdict.MayHaveRun, verdict.CodeEngine, "status %d for the rest of a stream", status)
	}
	return verdict.NewError(verdict.MayHaveRun, verdict.CodeEngine, "status %d of the endpoint", status)
}

// prepare returns the request with what differs from one endpoint to the next.
func (p *Proxy) prepare(c *call, lease *balance.Lease) *upstream.Request {
	names := &p.cfg.Headers
	q := *c.request
	q.Header = c.request.Header.Clone()
	q.Header.Set(names.Instance, lease.Record.ID)
	q.Header.Set(names.Deadline, strconv.FormatInt(time.Until(c.deadline).Milliseconds(), 10))
	if c.lastEventID != "" {
		q.Header.Set(names.LastEvent, c.lastEventID)
	}
	if c.headSent {
		q.Header.Set(names.Priority, strconv.Itoa(c.priority()))
	}
	return &q
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
