package policy

import "time"

// Limits for late callers: those that retry after a refusal when their latency target can no
// longer be met.
const (
	// lateLoadCap is the load up to which an endpoint accepts late callers while callers that
	// are still on time are being refused. It is capacity that those leave unused below their
	// own limits.
	lateLoadCap = 0.85
	// overloadWindow is how long a service counts as overloaded after it refused a caller that
	// was still on time. Such refusals are continuous during an overload, so late callers can
	// be accepted as soon as they stop. With 2 s, late callers were refused after shortages
	// although there was capacity for them.
	overloadWindow = 500 * time.Millisecond
)

// Late returns whether a caller can no longer be served within its latency target, given the
// time since its first attempt.
func Late(spent, target time.Duration) bool {
	return spent >= target
}

// LateMaxLoad returns the load at which an endpoint is full for a late caller. limit is the
// load for callers that are on time, refusedAgo the time since one of those was last refused.
// During an overload late callers would take capacity from those that can still meet their
// target.
func LateMaxLoad(limit float64, refusedAgo time.Duration) float64 {
	if refusedAgo > overloadWindow {
		return limit
	}
	return min(limit, lateLoadCap)
}
