package proxy

import (
	"context"
	"time"

	"github.com/silverdeck/silverdeck/gateway/admission"
	"github.com/silverdeck/silverdeck/gateway/policy"
	"github.com/silverdeck/silverdeck/gateway/work"
	"github.com/silverdeck/silverdeck/verdict"
)

// acquireGrant admits a call before its first attempt, or returns why it is not admitted. A call
// keeps its grant for all attempts, so that work that has begun is never limited.
func (p *Proxy) acquireGrant(ctx context.Context, c *call) *verdict.Error {
	if p.cfg.Gate == nil || c.grant != nil {
		return nil
	}
	grant, err := p.cfg.Gate.Acquire(ctx, p.admissionRequest(c))
	if refused := admission.AsRefused(err); refused != nil {
		return p.admissionFailure(c, refused)
	}
	if err != nil {
		return verdict.Classify(verdict.Dialing, err)
	}
	c.grant = grant
	return nil
}

// admissionFailure converts a refusal to the failure reported to the caller.
func (p *Proxy) admissionFailure(c *call, refused *admission.RefusedError) *verdict.Error {
	if refused.TooLate {
		p.cfg.Metrics.TooLate.Inc(1)
		return verdict.NewError(verdict.Unsent{}, policy.CodeTooLate, "%s can't serve all requests: %s, and a return would end too late", c.service, refused.Cause)
	}
	e := verdict.NewError(verdict.Unsent{}, policy.CodeNotAdmitted, "%s can't serve all requests: %s", c.service, refused.Cause)
	return e.WithRetryAfter(refused.ReturnAfter)
}

// admissionRequest returns the properties of a call that its admission depends on.
func (p *Proxy) admissionRequest(c *call) *admission.Request {
	r := &admission.Request{
		Service:  c.service,
		Rank:     c.rank(),
		SlotTime: work.SlotTime(c.engine(), c.tokens()),
		Target:   c.route.LatencyTarget,
		Left:     time.Until(c.deadline),
	}
	if c.account != nil {
		r.Account = c.account.Name
	}
	if c.lastEventID == "" {
		r.Elapsed = c.elapsed
	}
	return r
}

// releaseGrant ends the admission of a call.
func (p *Proxy) releaseGrant(c *call) {
	endpoint := ""
	if len(c.attempted) > 0 {
		endpoint = c.current
	}
	c.grant.Release(endpoint, time.Now())
}
