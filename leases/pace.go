package leases

import (
	"math"
	"time"
)

// Change is a change of weights for which an endpoint requests a lease.
type Change struct {
	VM string
	// Held is the version that the endpoint runs.
	Held int64
	// Remaining is the time until the last moment at which a change without a drain may begin,
	// so that no request begins on weights that have expired.
	Remaining time.Duration
	// Drain is how long the endpoint drains if others take its requests.
	Drain time.Duration
	// NewerIn is the time until a version newer than the one to be loaded is expected to be
	// complete; 0 if none is expected in time.
	NewerIn time.Duration
	// Running is the number of requests that run or wait at the endpoint.
	Running int
}

// Grant is the decision on a Change.
type Grant struct {
	Given bool
	// Drain is how long the endpoint may drain.
	Drain time.Duration
	// Pending is the number of endpoints that still have to change, Out the number of those
	// that drain or load, Needed the number that must do so at once to finish in time.
	Pending, Out, Needed int
}

const (
	// loadTime is how long an endpoint is unavailable during a change in addition to its drain.
	loadTime = 450 * time.Millisecond
	// scarceDrainShare is the part of the full drain that endpoints take without spare
	// capacity. By then about half of the streams have ended. A longer drain leaves more
	// slots empty than it saves streams.
	scarceDrainShare = 0.45
	// easyShare is the share of the endpoints that may be out at once with full drains.
	easyShare = 0.1
	// maxPacedShare is the share of the endpoints that may be out at once in order to finish in
	// time, before drains are shortened further.
	maxPacedShare = 0.5
	// newerMargin is how long before the last moment a newer version must be expected for endpoints
	// to wait for it.
	newerMargin = 300 * time.Millisecond
)

// Pace is the input of the rule by which endpoints change weights without spare capacity.
type Pace struct {
	// Endpoints is the number of endpoints of the service, Pending the number that still have to
	// begin to change.
	Endpoints, Pending int
	// Remaining, Drain and NewerIn are those of Change.
	Remaining, Drain, NewerIn time.Duration
}

// Needed returns how many endpoints have to be out at once, and how long each of them may drain,
// so that all pending ones begin to change in time. It answers a fleet without spare capacity: the
// changes are spread evenly over the remaining time, instead of all happening at its end without a
// drain. If a newer version is expected in time, all endpoints wait for it, since they would have to
// change twice otherwise.
func Needed(p Pace) (out int, drain time.Duration) {
	switch {
	case p.Pending <= 0 || p.NewerIn > 0 && p.NewerIn < p.Remaining-newerMargin:
		return 0, p.Drain
	case p.Remaining <= 0:
		return p.Pending, 0
	}
	scarce := time.Duration(scarceDrainShare * float64(p.Drain))
	drain = max(min(p.drainWith(easyShare), p.Drain), min(p.drainWith(maxPacedShare), scarce), 0)
	return min(p.Pending, int(math.Ceil(float64(p.Pending)*float64(drain+loadTime)/float64(p.Remaining)))), drain
}

// drainWith returns the drain with which all pending endpoints can change in time while a share of
// all endpoints is out at once.
func (p Pace) drainWith(share float64) time.Duration {
	return time.Duration(share*float64(p.Endpoints)*float64(p.Remaining)/float64(p.Pending)) - loadTime
}

// Decide returns whether the endpoint of c may change now, while those of the VMs in held change
// as well. waiting holds the numbers of running requests of the other endpoints that wait for a
// lease. Endpoints with fewer running requests precede others.
func Decide(c Change, endpoints []Endpoint, held map[string]bool, waiting []int) Grant {
	pending, out := 0, 0
	for _, e := range endpoints {
		switch {
		case e.VM != c.VM && (held[e.VM] || e.Paused):
			out++
		case e.Version > 0 && e.Version <= c.Held:
			pending++
		}
	}
	g := Grant{Pending: pending, Out: out, Drain: c.Drain}
	var drain time.Duration
	g.Needed, drain = Needed(Pace{Endpoints: len(endpoints), Pending: pending, Remaining: c.Remaining, Drain: c.Drain, NewerIn: c.NewerIn})
	switch {
	case g.Needed == 0 && c.NewerIn > 0: // all can wait for the newer version
	case CanGrant(endpoints, held, c.VM):
		g.Given = true
	default:
		g.Given = fewer(waiting, c.Running) < g.Needed-out
		g.Drain = drain
	}
	return g
}

// fewer returns how many of the counts are less than n.
func fewer(counts []int, n int) int {
	less := 0
	for _, c := range counts {
		if c < n {
			less++
		}
	}
	return less
}
