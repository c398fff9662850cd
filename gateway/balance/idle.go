package balance

import "time"

const (
	// localIdleThreshold is how long nothing may be received from any process before the
	// cause is assumed to be this gateway or its network link. Heartbeats are sent every
	// 0.2 s, so one may be late.
	localIdleThreshold = 300 * time.Millisecond
	// minBusyEndpoints is the number of endpoints that must have requests of this gateway
	// before their idleness is used to judge the service as a whole.
	minBusyEndpoints = 3
	// maxIdleFraction is the fraction of these endpoints above which the whole service is
	// assumed to be stalled.
	maxIdleFraction = 0.5
)

// ServiceStalled reports whether all endpoints of a service are assumed to be stalled,
// given that idle of the busy endpoints, those with requests of this gateway, are idle.
func ServiceStalled(idle, busy int) bool {
	return busy >= minBusyEndpoints && float64(idle) > maxIdleFraction*float64(busy)
}

// MayTryUnknown reports whether a request may be sent to an endpoint whose responsiveness
// is unknown, given the number of silent and of responding endpoints. It may not while the
// service is stalled. If no endpoint responds, unknown endpoints are tried one at a time;
// tried is set while one is being tried.
func MayTryUnknown(silent, responding int, tried bool) bool {
	if ServiceStalled(silent, silent+responding) {
		return false
	}
	return silent == 0 || responding > 0 || !tried
}

// idle returns how long nothing has been received from e, counted from since at the
// earliest.
func (b *Balancer) idle(e *endpoint, since, now time.Time) time.Duration {
	if last := e.lastByte.load(); last.After(since) {
		since = last
	}
	until := now
	if last := b.lastTraffic.load(); now.Sub(last) > localIdleThreshold {
		until = last
	}
	return max(until.Sub(since), 0)
}

// activity is the responsiveness of an endpoint according to this gateway's requests.
type activity int

// Activity states.
const (
	// activityUnknown means that the endpoint has no requests of this gateway, or that they
	// began only recently.
	activityUnknown activity = iota
	// activityResponding means that the endpoint sent something recently.
	activityResponding
	// activitySilent means that the endpoint has sent nothing for longer than the allowed
	// time.
	activitySilent
)

// activity returns the activity of e, which may be idle for maxIdle.
func (b *Balancer) activity(e *endpoint, maxIdle time.Duration, now time.Time) activity {
	switch {
	case e.inFlight == 0:
		return activityUnknown
	case b.idle(e, e.busySince, now) > maxIdle:
		return activitySilent
	case e.lastByte.load().After(e.busySince):
		return activityResponding
	}
	return activityUnknown
}

// respondingFilter decides which endpoints satisfy Query.MaxIdle. The zero value permits all.
type respondingFilter struct {
	balancer      *Balancer
	maxIdle       time.Duration
	now           time.Time
	mayTryUnknown bool
}

// respondingFilter returns the filter for a selection now. The shard's lock must be held.
func (b *Balancer) respondingFilter(s *shard, maxIdle time.Duration, now time.Time) respondingFilter {
	if maxIdle == 0 {
		return respondingFilter{}
	}
	silent, responding, tried := 0, 0, false
	for e := range s.busy {
		switch b.activity(e, maxIdle, now) {
		case activitySilent:
			silent++
		case activityResponding:
			responding++
		case activityUnknown:
			tried = true
		}
	}
	return respondingFilter{balancer: b, maxIdle: maxIdle, now: now, mayTryUnknown: MayTryUnknown(silent, responding, tried)}
}

func (f *respondingFilter) permits(e *endpoint) bool {
	if f.maxIdle == 0 {
		return true
	}
	state := f.balancer.activity(e, f.maxIdle, f.now)
	return state == activityResponding || state == activityUnknown && f.mayTryUnknown
}
