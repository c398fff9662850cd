package proxy

import (
	"context"
	"time"

	"github.com/silverdeck/silverdeck/gateway/balance"
	"github.com/silverdeck/silverdeck/gateway/policy"
	"github.com/silverdeck/silverdeck/gateway/upstream"
	"github.com/silverdeck/silverdeck/routes"
)

// watch returns what tells whether the endpoint of lease is given up: for a hedge, or
// because the request was quarantined.
func (p *Proxy) watch(ctx context.Context, c *call, lease *balance.Lease) *upstream.Watch {
	doubted := p.doubts(ctx, c, lease, time.Now())
	w := upstream.NewWatch(func() bool { return p.withdraws(c, lease) || doubted() })
	c.watch.Store(w)
	return w
}

// doubts returns what tells whether the endpoint of lease is left for a hedge, which had the
// request at sentAt.
func (p *Proxy) doubts(ctx context.Context, c *call, lease *balance.Lease, sentAt time.Time) func() bool {
	switch {
	case !c.route.Repeatable(): // it can't go elsewhere
		return func() bool { return false }
	case c.route.Kind == routes.Stream:
		return func() bool {
			s := p.stall(c, lease, sentAt, time.Now())
			return p.leaves(ctx, c, lease, &s, policy.WaitForStream(s))
		}
	}
	return func() bool {
		s := policy.Stall{LastAttempt: c.lastAttempt(), StreamIdle: time.Since(sentAt)}
		return p.leaves(ctx, c, lease, &s, policy.WaitForPlain(s.StreamIdle, c.route.LatencyTarget, s.LastAttempt))
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
