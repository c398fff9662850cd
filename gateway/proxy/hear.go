package proxy

import (
	"time"

	"github.com/silverdeck/silverdeck/gateway/advisory"
	"github.com/silverdeck/silverdeck/gateway/balance"
	"github.com/silverdeck/silverdeck/gateway/policy"
)

// hear reads the head of an attempt's answer, if one came, and takes in what it says of its
// endpoint. It comes before anything is decided about the answer: refusals and errors tell as much as
// answers that are passed on.
func (p *Proxy) hear(c *call, a *attempt) {
	if a.x == nil {
		return
	}
	a.head = p.head(c, a.x)
	if !policy.SpeaksForEndpoint(a.head) {
		return
	}
	a.told = p.cfg.ReadAdvisory(a.x.Status, a.x.Header)
	heard := a.lease.ApplyAdvisory(a.told, a.sentAt, time.Now())
	if heard.Limit != balance.LimitUnchanged {
		p.logLimit(c, a.lease, a.told.Limit, heard.Limit)
	}
	if heard.NowLeaving {
		p.logLeaving(c, a.lease)
	}
	if heard.BackoffExtended {
		p.logRest(c, a.lease, a.told.Rest)
	}
	p.cfg.Metrics.Unreadable.Inc(int64(len(a.told.Unreadable)))
	if heard.FirstUnreadable {
		p.cfg.Log.Warn("unreadable headers", "request", c.id, "endpoint", a.lease.Record.ID, "headers", a.told.Unreadable)
	}
}

// logLimit notes that an endpoint names another limit than before, or none any more.
func (p *Proxy) logLimit(c *call, lease *balance.Lease, told advisory.Limit, change balance.LimitChange) {
	p.cfg.Metrics.Limits.Inc(1)
	rate, _ := told.(advisory.PerSecond)
	p.cfg.Log.Info("endpoint limit", "request", c.id, "endpoint", lease.Record.ID, "born", lease.Record.Born,
		"change", change.String(), "perSecond", float64(rate))
}

// logLeaving notes that an endpoint says that it leaves.
func (p *Proxy) logLeaving(c *call, lease *balance.Lease) {
	p.cfg.Metrics.Leavings.Inc(1)
	p.cfg.Log.Info("endpoint leaves", "request", c.id, "endpoint", lease.Record.ID, "born", lease.Record.Born,
		"recorded", lease.Record.Leaving)
}

// logRest notes that an endpoint wants no requests of this gateway for d.
func (p *Proxy) logRest(c *call, lease *balance.Lease, d time.Duration) {
	p.cfg.Metrics.Rests.Inc(1)
	p.cfg.Log.Info("endpoint rests", "request", c.id, "endpoint", lease.Record.ID, "born", lease.Record.Born,
		"forMs", d.Milliseconds())
}
