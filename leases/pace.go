package leases

import (
	"math"
	"slices"
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
	// DrainsAhead is set if the endpoint may drain before the newer version is complete, and then
	// loads that one.
	DrainsAhead bool
}

// Waiter is another endpoint that waits for a lease. Its fields are those of Change, except for
// AsksIn, the time until it requests the lease again.
type Waiter struct {
	VM      string
	Running int
	NewerIn time.Duration
	AsksIn  time.Duration
}

// Grant is the decision on a Change.
type Grant struct {
	Given bool
	// Spare is set if the other endpoints have capacity for all requests.
	Spare bool
	// Drain is how long the endpoint may drain.
	Drain time.Duration
	// Pending is the number of endpoints that still have to change, Out the number of those
	// that drain or load, Needed the number that must do so at once to finish in time.
	Pending, Out, Needed int
	// RetryAfter is the time after which a refused endpoint asks again.
	RetryAfter time.Duration
	// Turn is set if RetryAfter follows from the endpoint's place among those that wait.
	Turn bool
}

const (
	// loadTime is how long an endpoint is unavailable during a change in addition to its drain.
	loadTime = 450 * time.Millisecond
	// scarceDrainShare is the part of the full drain that endpoints take without spare
	// capacity. Short streams end within it. The slots of an endpoint that drains longer stand
	// empty while callers are refused.
	scarceDrainShare = 0.3
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
	// DrainsAhead is that of Change.
	DrainsAhead bool
	// Interval is the time after which endpoints that were refused ask again.
	Interval time.Duration
}

// left returns the time until the last lease requests.
func (p *Pace) left() time.Duration {
	return p.Remaining - p.Interval
}

// Needed returns how many endpoints have to be out at once, and how long each of them may drain,
// so that all pending ones begin to change in time. It answers a fleet without spare capacity: the
// changes are spread evenly over the remaining time, instead of all happening at its end without a
// drain. If a newer version is expected in time, all endpoints wait for it, since they would have to
// change twice otherwise. They begin to drain so early that the drain ends as it comes.
func Needed(p Pace) (out int, drain time.Duration) {
	if p.Pending <= 0 {
		return 0, p.Drain
	}
	if p.left() > 0 {
		drain = max(min(p.drainWith(easyShare), p.Drain), min(p.drainWith(maxPacedShare), p.scarceDrain()), 0)
	}
	switch {
	case p.awaitsNewer() && !p.mayDrainAhead(drain):
		return 0, p.Drain
	case p.left() <= 0:
		return p.Pending, 0
	}
	return min(p.Pending, int(math.Ceil(float64(p.Pending)*float64(drain+loadTime)/float64(p.left())))), drain
}

// awaitsNewer returns whether endpoints can wait for a newer version.
func (p *Pace) awaitsNewer() bool {
	return p.NewerIn > 0 && p.NewerIn < p.Remaining-newerMargin
}

// mayDrainAhead returns whether an endpoint that waits for a newer version may begin a drain, at the
// end of which it is expected.
func (p *Pace) mayDrainAhead(drain time.Duration) bool {
	return p.DrainsAhead && p.NewerIn <= drain
}

// SkipsVersion returns whether endpoints wait for a newer version although others have spare capacity
// for their requests. They do if all can change to the newer one with full drains, or if it comes
// before a drain and a load would end. Otherwise, two changes cut fewer streams than one without a
// drain.
func SkipsVersion(p Pace) bool {
	switch {
	case !p.awaitsNewer() || p.mayDrainAhead(SpareDrain(p)):
		return false
	case p.NewerIn <= p.Drain+loadTime:
		return true
	}
	p.Remaining -= p.NewerIn
	return p.drainWith(maxUnavailableShare) >= p.Drain
}

// SpareDrain returns how long an endpoint drains if others have spare capacity for its requests. It
// takes no longer than the time that is left allows for all pending ones, but for the last ones, which
// nobody waits for.
func SpareDrain(p Pace) time.Duration {
	if p.left() <= 0 {
		return p.Drain
	}
	return min(p.Drain, max(p.drainWith(maxUnavailableShare), p.scarceDrain()))
}

// scarceDrain returns the drain without spare capacity.
func (p *Pace) scarceDrain() time.Duration {
	return time.Duration(scarceDrainShare * float64(p.Drain))
}

// drainWith returns the drain with which all pending endpoints can change in time while a share of
// all endpoints is out at once.
func (p *Pace) drainWith(share float64) time.Duration {
	return time.Duration(share*float64(p.Endpoints)*float64(p.left())/float64(max(p.Pending, 1))) - loadTime
}

// Decide returns whether the endpoint of c may change now, while those of the VMs in held change
// as well. waiting holds the other endpoints that wait for a lease: endpoints with fewer running requests
// precede others, since their loads cut fewer streams.
func Decide(c Change, f *Fleet, held map[string]bool, waiting []Waiter) Grant {
	n := f.count(c, held)
	g := Grant{Pending: n.pending, Out: n.out, Drain: c.Drain}
	p := Pace{
		Endpoints: len(f.Endpoints), Pending: n.pending, Remaining: c.Remaining, Drain: c.Drain,
		NewerIn: newerIn(c, waiting), DrainsAhead: c.DrainsAhead, Interval: min(RetryAfter(n.pending), maxPacedInterval),
	}
	needed, drain := Needed(p)
	g.Needed = needed
	g.RetryAfter, g.Turn = nextRequest(c, p, drain, waiting)
	switch {
	case SkipsVersion(p): // refused
	case CanGrant(f, held, c.VM) || c.Remaining <= 0 && f.canSpare(held, c.VM, maxLastUtilization):
		g.Given, g.Spare, g.Drain = true, true, SpareDrain(p)
	default:
		g.Given = preceding(p, waiting, c.Running) < needed-n.out && (drain == 0 || !n.zoneFull())
		g.Drain = drain
	}
	return g
}

// counts are numbers of endpoints.
type counts struct {
	// pending is the number of endpoints that still have to begin to change, out the number of
	// those that drain or load.
	pending, out int
	// zone is the number of endpoints in the availability zone of the one that requests a
	// lease, zoneOut the number of those of them that are out.
	zone, zoneOut int
}

// zoneFull returns whether so many endpoints of the zone are out that its requests would have to go
// to other zones.
func (n *counts) zoneFull() bool {
	return n.zoneOut > 0 && float64(n.zoneOut+1) > maxUnavailableShare*float64(n.zone)
}

func (f *Fleet) count(c Change, held map[string]bool) counts {
	var n counts
	zone := f.zone(c.VM)
	for _, e := range f.Endpoints {
		out := e.VM != c.VM && (held[e.VM] || e.Paused)
		switch {
		case out:
			n.out++
		case e.Version > 0 && e.Version <= c.Held:
			n.pending++
		}
		if e.Zone == zone {
			n.zone++
			if out {
				n.zoneOut++
			}
		}
	}
	return n
}

// zone returns the availability zone of the endpoint of vm.
func (f *Fleet) zone(vm string) string {
	for _, e := range f.Endpoints {
		if e.VM == vm {
			return e.Zone
		}
	}
	return ""
}

// newerIn returns when a newer version is expected at the endpoint of c: the median of what it and
// those that wait expect. All of them fetch from each other, and a single one knows less of when the
// last chunks come.
func newerIn(c Change, waiting []Waiter) time.Duration {
	if c.NewerIn <= 0 {
		return 0
	}
	expected := []time.Duration{c.NewerIn}
	for _, w := range waiting {
		if w.NewerIn > 0 {
			expected = append(expected, w.NewerIn)
		}
	}
	slices.Sort(expected)
	return expected[len(expected)/2]
}
