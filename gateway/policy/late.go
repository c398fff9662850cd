package policy

import "time"

// Callers who come back after a refusal, once they can't be served in time any more.
const (
	// spareLoad is the load below which an endpoint takes late callers while others are
	// refused who could be served in time: what they leave unused at their limits.
	spareLoad = 0.85
	// fullTime is for how long a service counts as full after a caller was refused who
	// could have been served in time. While it is overloaded that happens all the time;
	// once it is not, late callers are let in at once. 2 s refused late callers after
	// shortages for whom there was room.
	fullTime = 500 * time.Millisecond
)

// Late returns whether a caller who has waited for spent since its first try can't be
// served within target any more.
func Late(spent, target time.Duration) bool {
	return spent >= target
}

// LateMaxLoad returns the load at which an endpoint is full for a late caller, where it
// is limit for others, of whom one was last refused so long ago. The places that late
// callers take would be missed by those who can still be served in time.
func LateMaxLoad(limit float64, refusedAgo time.Duration) float64 {
	if refusedAgo > fullTime {
		return limit
	}
	return min(limit, spareLoad)
}
