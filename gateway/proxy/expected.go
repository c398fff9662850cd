package proxy

import "time"

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
func (p *Proxy) recordStream(a *attempt, m *streamMeasurement) {
	a.lease.ObserveStream(m.events, m.last.Sub(m.first), time.Now())
	expected := a.lease.Expected()
	if m.resumed || m.events == 0 || expected.End == 0 {
		return
	}
	p.cfg.Metrics.FirstEventRatio.Update(percentOf(m.first.Sub(a.sentAt), expected.FirstEvent))
	p.cfg.Metrics.EndRatio.Update(percentOf(m.last.Sub(a.sentAt), expected.End))
}

func percentOf(seen, expected time.Duration) int64 {
	return int64(100 * seen / max(expected, 1))
}
