package proxy

import (
	"time"

	"github.com/silverdeck/silverdeck/gateway/advisory"
	"github.com/silverdeck/silverdeck/gateway/balance"
	"github.com/silverdeck/silverdeck/gateway/policy"
)

// applyAdvisory parses the head of an attempt's response, if there is one, and applies what it
// states about the endpoint. It runs before any decision about the response, because refusals
// and errors carry the same information as responses that are forwarded.
func (p *Proxy) applyAdvisory(c *call, a *attempt) {
	if a.exchange == nil {
		return
	}
	a.head = p.head(c, a)
	p.countForeign(c, a)
	if !policy.IsFromEndpoint(a.head) {
		return
	}
	a.advisory = p.cfg.ReadAdvisory(a.exchange.Status, a.exchange.Header)
	changes := a.lease.ApplyAdvisory(a.advisory, a.sentAt, time.Now())
	if changes.Limit != balance.LimitUnchanged {
		p.logLimit(c, a.lease, a.advisory.Limit, changes.Limit)
	}
	if changes.NowLeaving {
		p.logLeaving(c, a.lease)
	}
	if changes.BackoffExtended {
		p.logBackoff(c, a.lease, a.advisory.RetryAfter)
	}
	p.cfg.Metrics.Unreadable.Inc(int64(len(a.advisory.Unreadable)))
	if changes.FirstUnreadable {
		p.cfg.Log.Warn("unreadable headers", "request", c.id, "endpoint", a.lease.Record.ID, "headers", a.advisory.Unreadable)
	}
}

// logLimit logs that an endpoint states a different rate limit than before, or none any more.
func (p *Proxy) logLimit(c *call, lease *balance.Lease, limit advisory.Limit, change balance.LimitChange) {
	p.cfg.Metrics.Limits.Inc(1)
	rate, _ := limit.(advisory.PerSecond)
	p.cfg.Log.Info("endpoint limit", "request", c.id, "endpoint", lease.Record.ID, "born", lease.Record.Born,
		"change", change.String(), "perSecond", float64(rate))
}

// logLeaving logs that an endpoint states that it is leaving.
func (p *Proxy) logLeaving(c *call, lease *balance.Lease) {
	p.cfg.Metrics.Leavings.Inc(1)
	p.cfg.Log.Info("endpoint leaves", "request", c.id, "endpoint", lease.Record.ID, "born", lease.Record.Born,
		"recorded", lease.Record.Leaving)
}

// logBackoff logs that an endpoint asks this gateway for no requests for d.
func (p *Proxy) logBackoff(c *call, lease *balance.Lease, d time.Duration) {
	p.cfg.Metrics.Rests.Inc(1)
	p.cfg.Log.Info("endpoint rests", "request", c.id, "endpoint", lease.Record.ID, "born", lease.Record.Born,
		"forMs", d.Milliseconds())
}
