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

// poisonState returns whether the call's request is suspected or quarantined.
func (p *Proxy) poisonState(c *call) poison.State {
	state, _ := p.cfg.Poison.Lookup(c.copies)
	return state
}

func (p *Proxy) quarantined(c *call) bool {
	return p.poisonState(c) == poison.Quarantined
}

// admit returns why the call's request must not be sent to an endpoint now, or nil. Endpoints
// are worth more than a response to a request that crashes them: a quarantined request is sent
// to none, and of a suspected request only one copy in the fleet is in progress at a time, so
// that its effect is known before the next copy is sent. Without this, 60 endpoints crashed under
// one request in a soak run of 15 s.
func (p *Proxy) admit(ctx context.Context, c *call) *verdict.Error {
	state, key := p.cfg.Poison.Lookup(c.copies)
	switch state {
	case poison.Quarantined:
		return withheld(policy.CodeQuarantined)
	case poison.Clear:
		return nil
	}
	c.crashCount = len(p.cfg.Poison.Record(key).Crashes)
	if c.releaseLease != nil {
		return nil
	}
	return p.acquireTrial(ctx, c, key)
}

// trialPollInterval is the time between two requests for a lease: a third of the smallest gap
// target of streams on the deployed sites.
const trialPollInterval = 100 * time.Millisecond

// acquireTrial acquires the lease on a suspected request, or returns why the request is
// withheld. A resumed response waits for the lease, because its caller can't be told to retry.
func (p *Proxy) acquireTrial(ctx context.Context, c *call, key poison.Key) *verdict.Error {
	for {
		release, granted := p.cfg.AcquireTrial(ctx, key, time.Until(c.deadline))
		if granted {
			c.releaseLease = release
			return nil
		}
		switch {
		case p.quarantined(c): // the gateway that grants the lease may have reported it
			return withheld(policy.CodeQuarantined)
		case !c.headSent || !wait.For(ctx, trialPollInterval):
			return withheld(policy.CodeOnTrial)
		case p.poisonState(c) == poison.Clear:
			return nil
		}
	}
}

// releaseTrial releases the lease on the call's request, if it holds one.
func (p *Proxy) releaseTrial(c *call) {
	if c.releaseLease != nil {
		c.releaseLease()
	}
}

// withheld returns the failure reported for a request that is sent to no endpoint. Copies of a
// quarantined request have run, and a retry would fail as well, so its failure has no retry
// time.
func withheld(code verdict.Code) *verdict.Error {
	if code == policy.CodeOnTrial {
		return verdict.NewError(verdict.NotRun, code, "an endpoint ended under this request, of which another copy is being tried").WithRetryAfter(policy.RetryAfterTrial)
	}
	return verdict.NewError(verdict.MayHaveRun, code, "endpoints ended under this request")
}

// withdrawIfQuarantined reports whether the request is withdrawn from its endpoint because it
// was quarantined after it was sent. It may still be queued there, and an endpoint ends only
// once it begins to run the request.
func (p *Proxy) withdrawIfQuarantined(c *call, lease *balance.Lease) bool {
	if c.headSent || !p.quarantined(c) {
		return false
	}
	c.withdrawn = true
	p.logWithdrawn(c, lease)
	return true
}
