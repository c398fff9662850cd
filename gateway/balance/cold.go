package balance

import (
	"maps"
	"time"
)

// ColdLimit limits the requests to the cold endpoints of a service. The zero value means no limit.
type ColdLimit struct {
	// Duration is how long an endpoint is cold after a start.
	Duration time.Duration
	// Rate is the number of requests per second that a cold endpoint gets; see ColdRate.
	Rate float64
}

// ColdRate returns the rate, in requests per second, at which the holder of a cold endpoint sends
// it requests and grants tokens. The endpoint bears perSecond, and in no second it may get more
// than overage*perSecond+slack from all gateways together. Two gateways may both consider
// themselves the holder while they disagree on which gateways are live. For each of them, up to
// one request more than its rate arrives in a second, and those for which it granted tokens up to
// coldTokenTTL before.
func ColdRate(perSecond, overage, slack float64) float64 {
	if perSecond <= 0 {
		return 0
	}
	perHolder := (overage*perSecond + slack) / 2
	return max(min(perSecond, (perHolder-1)/(1+coldTokenTTL.Seconds())), minProbeRate)
}

// SetColdLimits sets the limits on requests to cold endpoints, by service.
func (b *Balancer) SetColdLimits(limits map[string]ColdLimit) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.coldLimits = limits
	for name, s := range b.services {
		s.setColdLimit(limits[name])
	}
}

func (s *shard) setColdLimit(limit ColdLimit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coldLimit = limit
	for _, e := range s.endpoints {
		e.applyCold(limit)
	}
	s.index.current = false
}

// applyCold applies the endpoint's record and the service's limit to the rate limit of e.
func (e *endpoint) applyCold(limit ColdLimit) {
	l := &e.advisory.limit
	l.coldRate, l.coldTime = limit.Rate, limit.Duration
	l.coldUntil = later(l.coldUntil, e.record.ColdUntil)
}

// SetEvacuated sets the availability zones that are being evacuated; their endpoints get no
// requests. When an evacuation ends, the endpoints of the zone may have become cold, which this
// gateway may not know yet, so they are treated as cold.
func (b *Balancer) SetEvacuated(zones map[string]bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.evacuated = maps.Clone(zones)
	for _, s := range b.services {
		s.setEvacuated(b.evacuated, now)
	}
}

func (s *shard) setEvacuated(zones map[string]bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evacuated = zones
	for _, e := range s.endpoints {
		evacuated := zones[e.record.Zone]
		if e.evacuated && !evacuated {
			l := &e.advisory.limit
			l.coldUntil = later(l.coldUntil, now.Add(s.coldLimit.Duration))
			l.startHolding(now)
		}
		e.evacuated = evacuated
	}
	s.index.current = false
}
