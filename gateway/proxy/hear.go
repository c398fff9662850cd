package proxy

import (
	"time"

	"github.com/silverdeck/silverdeck/gateway/advisory"
	"github.com/silverdeck/silverdeck/gateway/balance"
	"github.com/silverdeck/silverdeck/gateway/policy"
)

// hear takes in what the head of an attempt's answer, if one came, says of its endpoint. It
// comes before anything is decided about the answer: refusals and errors tell as much as
// answers that are passed on.
func (p *Proxy) hear(c *call, a *attempt) {
	if a.x == nil || !policy.SpeaksForEndpoint(p.head(c, a.x)) {
		return
	}
	told := p.cfg.ReadAdvisory(a.x.Header)
	heard := a.lease.Hear(told, a.sentAt, time.Now())
	if heard.Limit != balance.LimitSame {
		p.logLimit(c, a.lease, told.Limit, heard.Limit)
	}
	p.cfg.Metrics.Unreadable.Inc(int64(len(told.Unreadable)))
	if heard.FirstUnreadable {
		p.cfg.Log.Warn("unreadable headers", "request", c.id, "endpoint", a.lease.Record.ID, "headers", told.Unreadable)
	}
}

// logLimit notes that an endpoint names another limit than before, or none any more.
func (p *Proxy) logLimit(c *call, lease *balance.Lease, told advisory.Limit, change balance.LimitChange) {
	p.cfg.Metrics.Limits.Inc(1)
	rate, _ := told.(advisory.PerSecond)
	p.cfg.Log.Info("endpoint limit", "request", c.id, "endpoint", lease.Record.ID, "born", lease.Record.Born,
		"change", change.String(), "perSecond", float64(rate))
}
