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

// suspicion returns how far the call's request is suspected.
func (p *Proxy) suspicion(c *call) poison.State {
	state, _ := p.cfg.Poison.Lookup(c.copies)
	return state
}

func (p *Proxy) quarantined(c *call) bool {
	return p.suspicion(c) == poison.Quarantined
}

// admit returns why the call's request must not go to an endpoint now, or nil. Endpoints
// are worth more than an answer to a request that ends them: one that is quarantined goes
// to none, and of one that is suspected a single copy in the fleet, so that the next end is
// known before another copy is sent. Without it 60 endpoints ended under one request in a
// soak of 15 s.
func (p *Proxy) admit(ctx context.Context, c *call) *verdict.Error {
	state, key := p.cfg.Poison.Lookup(c.copies)
	switch state {
	case poison.Quarantined:
		return withheld(policy.CodeQuarantined)
	case poison.Clear:
		return nil
	}
	c.ends = len(p.cfg.Poison.Record(key).Crashes)
	if c.trial != nil {
		return nil
	}
	return p.beginTrial(ctx, c, key)
}

// trialPause is the time between two questions for a lease. A third of the shortest pause
// between events at which the sites' streams are still in time.
const trialPause = 100 * time.Millisecond

// beginTrial takes the lease on a suspected request, or returns why it is withheld. The rest of
// an answer that has begun waits for the lease: its caller can't be told to come back.
func (p *Proxy) beginTrial(ctx context.Context, c *call, key poison.Key) *verdict.Error {
	for {
		end, given := p.cfg.Trial(ctx, key, time.Until(c.deadline))
		if given {
			c.trial = end
			return nil
		}
		switch {
		case p.quarantined(c): // as who keeps the lease may have told
			return withheld(policy.CodeQuarantined)
		case !c.headSent || !wait.For(ctx, trialPause):
			return withheld(policy.CodeOnTrial)
		case p.suspicion(c) == poison.Clear:
			return nil
		}
	}
}

// endTrial gives back the lease on the call's request, if it has one.
func (p *Proxy) endTrial(c *call) {
	if c.trial != nil {
		c.trial()
	}
}

// withheld returns what the caller of a request is told that goes to no endpoint. Of a
// quarantined one copies have run, and another try would fail as well: no time to come back.
func withheld(code verdict.Code) *verdict.Error {
	if code == policy.CodeOnTrial {
		return verdict.NewError(verdict.NotRun, code, "an endpoint ended under this request, of which another copy is being tried").After(policy.RetryAfterTrial)
	}
	return verdict.NewError(verdict.MayHaveRun, code, "endpoints ended under this request")
}

// withdraws returns whether a request is withdrawn from its endpoint because it was
// quarantined since it was sent. It may still wait there: endpoints end once they begin it.
func (p *Proxy) withdraws(c *call, lease *balance.Lease) bool {
	if c.headSent || !p.quarantined(c) {
		return false
	}
	c.withdrawn = true
	p.logWithdrawn(c, lease)
	return true
}
