package proxy

import (
	"time"

	"github.com/silverdeck/silverdeck/gateway/balance"
	"github.com/silverdeck/silverdeck/gateway/policy"
	"github.com/silverdeck/silverdeck/routes"
)

// giveUp returns what tells that an endpoint is to be given up for another, or
// nil when the request can't go elsewhere.
func (p *Proxy) giveUp(c *call, lease *balance.Lease) func() bool {
	if !c.route.Repeatable() {
		return nil
	}
	sentAt := time.Now()
	if c.route.Kind != routes.Stream {
		return func() bool {
			s := policy.Stall{LastAttempt: c.lastAttempt(), StreamIdle: time.Since(sentAt)}
			return p.leaves(c, lease, &s, policy.WaitForPlain(s.StreamIdle, c.route.LatencyTarget, s.LastAttempt))
		}
	}
	return func() bool {
		s := p.stall(c, lease, sentAt, time.Now())
		return p.leaves(c, lease, &s, policy.WaitForStream(s))
	}
}

// stall returns what is known of a stream that was sent by lease at sentAt.
func (p *Proxy) stall(c *call, lease *balance.Lease, sentAt, now time.Time) policy.Stall {
	waitingSince := sentAt
	begun := c.lastEventAt.After(sentAt)
	if begun {
		waitingSince = c.lastEventAt
	}
	return policy.Stall{
		Begun:             begun,
		Outdated:          lease.Holds(c.model) < p.cfg.MinVersion(c.model),
		LastAttempt:       c.lastAttempt(),
		EndpointIdle:      lease.Idle(sentAt, now),
		EndpointIdleLimit: policy.EndpointIdleLimit(c.route.GapTarget),
		StreamIdle:        now.Sub(waitingSince),
		StreamIdleLimit:   c.idleLimit(),
	}
}

// leaves carries out a decision about waiting: it returns whether the endpoint is to be
// left now.
func (p *Proxy) leaves(c *call, lease *balance.Lease, s *policy.Stall, w policy.Wait) bool {
	left := false
	switch w := w.(type) {
	case policy.Leave:
		left = true
	case policy.LeaveIfElsewhere:
		left = p.elsewhere(c, w.MaxLoad)
	case policy.KeepWaiting:
	}
	if left {
		p.logLeft(c, lease, s)
	}
	return left
}

// elsewhere returns whether the request could go on now at another endpoint with a
// load below maxLoad, in requests for each slot; 0 means any load.
func (p *Proxy) elsewhere(c *call, maxLoad float64) bool {
	now := time.Now()
	q := &balance.Query{Service: c.service, Exclude: c.attempted, Model: c.model, MinVersion: p.cfg.MinVersion(c.model), MaxLoad: maxLoad}
	return p.cfg.Balancer.Available(q, now) && p.cfg.Budget.Available(c.service, c.purpose(), now)
}
