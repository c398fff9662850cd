package balance

import (
	"time"

	"github.com/silverdeck/silverdeck/roster"
)

// Suspected endpoints are shared between gateways.
const (
	// suspicionTime is how long, once an endpoint may be probed, other gateways are still
	// asked to leave the probe to this gateway.
	suspicionTime = 2 * time.Second
	// maxSuspectFraction is the fraction of a service's endpoints above which a gateway
	// attributes their failures to itself.
	maxSuspectFraction = 0.34
	// recentActivityWindow is the age, two heartbeats, up to which the last byte received
	// from an endpoint overrides the suspicion of other gateways.
	recentActivityWindow = 400 * time.Millisecond
)

// usable reports whether requests may be sent to e. Probing an endpoint that other gateways
// suspect is left to them, unless this gateway receives responses from it or has ejected it
// too and so probes it itself.
func (b *Balancer) usable(e *endpoint, now time.Time) bool {
	if !e.health.usable(now) {
		return false
	}
	if e.health.ejections > 0 || now.Sub(e.lastByte.load()) < recentActivityWindow {
		return true
	}
	return !b.cfg.Suspected(e.record.Incarnation())
}

// suspects returns the endpoints that other gateways are asked to leave to this one. The
// lock must be held.
func (s *shard) suspects(now time.Time) []roster.Incarnation {
	var out []roster.Incarnation
	for _, e := range s.endpoints {
		if e.health.suspect && e.health.ejections > 0 && now.Before(e.health.ejectedUntil.Add(suspicionTime)) {
			out = append(out, e.record.Incarnation())
		}
	}
	if len(out) > 1 && float64(len(out)) > maxSuspectFraction*float64(len(s.endpoints)) {
		return nil
	}
	return out
}
