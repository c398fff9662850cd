package proxy

import (
	"time"

	"github.com/silverdeck/silverdeck/gateway/work"
)

// streamMeasurement measures the events that one endpoint sent of a stream.
type streamMeasurement struct {
	// resumed is set if another endpoint sent earlier events.
	resumed     bool
	first, last time.Time
	events      int
}

func (m *streamMeasurement) add(now time.Time) {
	if m.events == 0 {
		m.first = now
	}
	m.last = now
	m.events++
}

// recordStream compares a complete stream with what was expected of it at its endpoint.
func (p *Proxy) recordStream(c *call, a *attempt, m *streamMeasurement) {
	a.lease.ObserveStream(m.events, m.last.Sub(m.first), time.Now())
	expected := a.lease.Expected()
	if m.resumed || m.events == 0 || expected.End == 0 {
		return
	}
	seen := work.Times{FirstEvent: m.first.Sub(a.sentAt), End: m.last.Sub(a.sentAt)}
	p.cfg.Metrics.AllRatios.update(seen, expected)
	p.cfg.Metrics.RouteRatios.Of(c.route.Name).update(seen, expected)
}
