package proxy

import (
	"context"
	"time"

	"github.com/silverdeck/silverdeck/gateway/balance"
	"github.com/silverdeck/silverdeck/gateway/policy"
	"github.com/silverdeck/silverdeck/gateway/upstream"
	"github.com/silverdeck/silverdeck/routes"
)

// watch returns the Watch that decides whether the endpoint of lease is given up, either for a
// hedge or because the request was quarantined.
func (p *Proxy) watch(ctx context.Context, c *call, lease *balance.Lease) *upstream.Watchdog {
	sentAt := time.Now()
	stalled := p.giveUpCheck(ctx, c, lease, sentAt)
	w := upstream.NewWatchdog(func() bool { return p.withdrawIfQuarantined(c, lease, sentAt) || stalled() })
	c.watch.Store(w)
	if first := lease.Expected().FirstEvent; first > 0 && c.grant != nil && c.grant.Enforced {
		time.AfterFunc(policy.OverdueAfter(first), w.Wake)
	}
	return w
}

// giveUpCheck returns a function that reports whether the endpoint of lease, which was sent the
// request at sentAt, is abandoned for a hedge.
func (p *Proxy) giveUpCheck(ctx context.Context, c *call, lease *balance.Lease, sentAt time.Time) func() bool {
	switch {
	case !c.route.Repeatable(): // the request must not be sent to another endpoint
		return func() bool { return false }
	case c.route.Kind == routes.Stream:
		return func() bool {
			s := p.stall(c, lease, sentAt, time.Now())
			return p.applyWait(ctx, c, lease, &s, policy.WaitForStream(s))
		}
	}
	return func() bool {
		s := policy.Stall{LastAttempt: c.lastAttempt(), StreamIdle: time.Since(sentAt)}
		return p.applyWait(ctx, c, lease, &s, policy.WaitForPlain(s.StreamIdle, c.route.LatencyTarget, s.LastAttempt))
	}
}

// stall returns the idle times and the progress of a stream that was sent to the endpoint of
// lease at sentAt.
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
		Admitted:          c.grant != nil && c.grant.Enforced,
		FirstEvent:        lease.Expected().FirstEvent,
		TargetLeft:        c.targetLeft(now),
	}
}
