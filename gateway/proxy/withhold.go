package proxy

import (
	"context"
	"time"

	"github.com/silverdeck/silverdeck/gateway/balance"
	"github.com/silverdeck/silverdeck/gateway/poison"
	"github.com/silverdeck/silverdeck/gateway/policy"
	"github.com/silverdeck/silverdeck/verdict"
	"github.com/silverdeck/silverdeck/wait"
)

// assess returns what earlier crashes mean for the call's request.
func (p *Proxy) assess(c *call) poison.Assessment {
	return p.cfg.Poison.Assess(&c.suspects, time.Now())
}

// quarantined reports whether the call's request must not be sent to any endpoint.
func (p *Proxy) quarantined(c *call) bool {
	return p.assess(c).State == poison.Quarantined
}

// admit returns why the call's request must not be sent to an endpoint now, or nil. Endpoints
// are worth more than a response to a request that crashes them: a quarantined request is sent
// to none, and of a request on trial only one copy in the fleet is in progress at a time, so
// that its effect is known before the next copy is sent. Without this, 60 endpoints crashed under
// one request in a soak run of 15 s.
func (p *Proxy) admit(ctx context.Context, c *call) *verdict.Error {
	a := p.assess(c)
	c.crashCount = a.Crashes
	switch a.State {
	case poison.Quarantined:
		return withheld(a.Cause)
	case poison.Clear, poison.Suspected:
		return nil
	}
	for _, k := range a.Trials {
		if c.releaseTrials[k] != nil {
			continue
		}
		if failure := p.acquireTrial(ctx, c, k); failure != nil {
			return failure
		}
	}
	return nil
}

// trialPollInterval is the time between two requests for a lease: a third of the smallest gap
// target of streams on the deployed sites.
const trialPollInterval = 100 * time.Millisecond

// acquireTrial acquires the lease on a suspect of the call's request, or returns why the request is
// withheld. A resumed response waits for the lease, because its caller can't be told to retry.
func (p *Proxy) acquireTrial(ctx context.Context, c *call, k poison.Key) *verdict.Error {
	for {
		release, granted := p.cfg.AcquireTrial(ctx, k, c.suspects.Parts, time.Until(c.deadline))
		if granted {
			if c.releaseTrials == nil {
				c.releaseTrials = map[poison.Key]func(){}
			}
			c.releaseTrials[k] = release
			return nil
		}
		a := p.assess(c)
		switch {
		case a.State == poison.Quarantined: // the gateway that grants the lease may have reported it
			return withheld(a.Cause)
		case !c.headSent || !wait.For(ctx, trialPollInterval):
			return onTrial(k)
		case p.assess(c).State < poison.OnTrial:
			return nil
		}
	}
}

// triesPart reports whether the call's request is on trial because of a part of its prompt.
func (c *call) triesPart() bool {
	for k := range c.releaseTrials {
		if k.Kind == poison.KindPart {
			return true
		}
	}
	return false
}

// releaseTrial releases the leases on the call's request.
func (p *Proxy) releaseTrial(c *call) {
	for _, release := range c.releaseTrials {
		release()
	}
}

// withheld returns the failure reported for a request that is sent to no endpoint because of a suspect.
// Copies of a quarantined request have run; of one with a quarantined part, others have. A retry would
// fail as well, so neither has a retry time.
func withheld(cause poison.Key) *verdict.Error {
	if cause.Kind == poison.KindPart {
		return verdict.NewError(verdict.Unsent{}, policy.CodePartQuarantined, "endpoints ended under requests with part %s of the prompt", poison.PartID(cause.Digest))
	}
	return verdict.NewError(verdict.Unknown{}, policy.CodeQuarantined, "endpoints ended under this request")
}

// onTrial returns the failure reported for a request while another has the lease with key k: a copy of it,
// or a request with a suspected part.
func onTrial(k poison.Key) *verdict.Error {
	message := "an endpoint ended under this request, of which another copy is being tried"
	if k.Kind == poison.KindPart {
		message = "endpoints ended under requests with a part of the prompt, of which another is being tried"
	}
	return verdict.NewError(verdict.Unsent{}, policy.CodeOnTrial, "%s", message).WithRetryAfter(policy.RetryAfterTrial)
}

// withdrawIfQuarantined reports whether the request is withdrawn from its endpoint, to which it was sent
// at sentAt, because it was quarantined since. It may still be queued there, and an endpoint ends only
// once it begins to run the request.
func (p *Proxy) withdrawIfQuarantined(c *call, lease *balance.Lease, sentAt time.Time) bool {
	if c.lastEventAt.After(sentAt) || c.passedThrough || !p.quarantined(c) {
		return false
	}
	c.withdrawn = true
	p.logWithdrawn(c, lease)
	return true
}
