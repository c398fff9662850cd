package stage

import "time"

// The period in which endpoints switch to new weights, as shares of the time limit that
// starts when the running weights are superseded.
const (
	// earliestSwitchShare is when the first endpoint may switch: by then most VMs have the
	// complete version.
	earliestSwitchShare = 0.36
	// latestSwitchShare is when the last endpoint should start to switch. It leaves time for
	// a load and one retry.
	latestSwitchShare = 0.85
)

// EarliestSwitch returns the time from which an endpoint with a load lease, whose requests
// are taken by other endpoints, may switch to other weights. The parameters are those of
// SwitchTime.
func EarliestSwitch(replaced time.Time, limit time.Duration, completed time.Time) time.Time {
	return later(replaced.Add(time.Duration(earliestSwitchShare*float64(limit))), completed)
}

// LatestSwitch returns the time at which an endpoint switches that waits for a lease from a gateway
// that keeps no schedule, and has not been granted one until then. The parameters are those of SwitchTime.
func LatestSwitch(replaced time.Time, limit time.Duration) time.Time {
	return replaced.Add(time.Duration(latestSwitchShare * float64(limit)))
}

// lastChangeLead is how long before the running weights expire a change begins at the latest if the
// endpoint was promised a lease. Gateways stop sending requests to the weights shortly after.
const lastChangeLead = time.Second

// LastChange returns the time at which an endpoint whose weights expire at end changes without a
// lease, although it was promised one.
func LastChange(end time.Time) time.Time {
	return end.Add(-lastChangeLead)
}

// ChangePeriod is the time in which endpoints change from weights that were superseded.
type ChangePeriod struct {
	// First is when an endpoint with a lease may change, Latest when one changes that waits for a lease from a
	// gateway that keeps no schedule, and Last when one changes without a lease, although it was promised one.
	First, Latest, Last time.Time
	// End is when the weights expire.
	End time.Time
}

// NamedPeriod returns the period for weights that were superseded at a known time. The parameters are those of
// SwitchTime.
func NamedPeriod(replaced time.Time, limit time.Duration, completed time.Time) ChangePeriod {
	end := replaced.Add(limit)
	return ChangePeriod{First: EarliestSwitch(replaced, limit, completed), Latest: LatestSwitch(replaced, limit), Last: LastChange(end), End: end}
}

// foundSettleTime is how long after a version was found a lease is requested at the earliest. Gateways that
// start at the same time learn of each other and of the requests at endpoints within it.
const foundSettleTime = 300 * time.Millisecond

// minFoundShare is the least part of the contact time in which endpoints take turns, however late after the
// start of the process a version is found.
const minFoundShare = 0.5

// FoundPeriod returns the period for weights that were superseded before the process started, nobody knows
// when. They may have expired, but the platform does not enforce that during the contact time after a start.
// It answers a start of all processes, after which all endpoints would change at the same moment.
func FoundPeriod(started, found time.Time, contact time.Duration, completed time.Time) ChangePeriod {
	end := later(started.Add(contact), found.Add(time.Duration(minFoundShare*float64(contact))))
	last := end.Add(-drainMargin)
	return ChangePeriod{First: later(found.Add(foundSettleTime), completed), Latest: last, Last: last, End: end}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// maxScheduledRetry is the longest interval between lease requests with which a grantor that gives no
// turns can spread the changes. If more endpoints wait, each asks so rarely that leases would be
// granted too late, and endpoints change at their own times.
const maxScheduledRetry = 500 * time.Millisecond

// FollowsSchedule returns whether an endpoint waits for the lease that it was promised instead of
// changing at its own time.
func FollowsSchedule(l Lease) bool {
	return l.Scheduled && (l.Turn || l.RetryAfter <= maxScheduledRetry)
}

// Download is the state of the download of a version.
type Download struct {
	// Named is when the version became known, Completed when all its chunks were present; zero
	// before that.
	Named, Completed time.Time
	// Have is the number of chunks present of Total, which is 0 before the manifest is.
	Have, Total int
}

// TimeToComplete returns the expected time until d is complete, or 0 if nothing can be said. It takes
// as long as that of the earlier version, after which it began, but no longer than its missing chunks
// take at the rate at which those of both have come: they may have been fetched at once. Most chunks
// arrive late, once other VMs have them, so that those that are missing say little before that time
// has passed.
func TimeToComplete(d, earlier Download, now time.Time) time.Duration {
	usual := earlier.Completed.Sub(earlier.Named)
	if earlier.Completed.IsZero() || usual <= 0 {
		return 0
	}
	began := d.Named
	if earlier.Completed.After(began) {
		began = earlier.Completed
	}
	elapsed := now.Sub(began)
	missing := 1.0
	if d.Total > 0 {
		missing -= float64(d.Have) / float64(d.Total)
	}
	copies := 2 - missing // of both versions, since the earlier one was named
	atRate := time.Duration(missing / copies * float64(now.Sub(earlier.Named)))
	stalled := time.Duration(missing * float64(max(usual, elapsed)) / 2)
	return max(min(usual-elapsed, atRate), stalled, time.Millisecond)
}

// SwitchTime returns the time at which an endpoint switches to other weights without a
// lease. replaced is when the running weights were superseded, limit the time limit, completed
// when the other weights became complete, and offset the endpoint's offset in [0, 1).
// Switches are spread over the remaining time, so that few endpoints are unavailable at
// once.
func SwitchTime(replaced time.Time, limit time.Duration, completed time.Time, offset float64) time.Time {
	p := NamedPeriod(replaced, limit, completed)
	return p.At(offset)
}

// At returns the time at which an endpoint changes without a lease; see SwitchTime.
func (p *ChangePeriod) At(offset float64) time.Time {
	if !p.First.Before(p.Latest) {
		return p.First
	}
	return p.First.Add(time.Duration(offset * float64(p.Latest.Sub(p.First))))
}

// Limits of the drain before a load. A draining endpoint takes no new requests and lets
// running ones end, since the load interrupts those that remain. Interrupted streams resume
// on another endpoint after a pause of 0.36 s in the median, which exceeds the 0.3 s promised
// to callers.
const (
	// drainFactor is the longest drain as a multiple of the usual response time: responses take
	// longer while other prompts are being processed.
	drainFactor = 1.25
	// maxDrain is the longest drain for endpoints with very long responses. Other endpoints
	// have to take the requests of those that drain.
	maxDrain = 1800 * time.Millisecond
	// fullDrainFreeShare is the share of an endpoint's slots that must be free for a full-length
	// drain. With fewer free slots the drain is shorter, since other endpoints have no capacity
	// for its requests.
	fullDrainFreeShare = 0.25
	// drainMargin is how long before the running weights expire the drain must end: all chunks
	// are read back after it, and the load must be ordered earlier than minUnloadLead before
	// the expiry. Gateways have stopped sending requests to the endpoint by then
	// (versionMargin).
	drainMargin = 600 * time.Millisecond
)

// leasedDrainFactor is the longest drain with a lease as a multiple of the usual response time. What
// still runs then is cut, and resumes at another endpoint.
const leasedDrainFactor = 2

// LeasedDrain returns how long an endpoint whose requests others take drains at most.
func LeasedDrain(c Capacity) time.Duration {
	return min(time.Duration(leasedDrainFactor*float64(c.AnswerTime)), maxDrain)
}

// FinishesRequests returns whether an endpoint, whose weights expire after remaining, is ordered to
// end its running requests before it loads others, instead of draining and then cutting those that
// are left. It answers endpoints that change last: their drain would go on after the weights have
// expired, when only the endpoint itself can keep requests that are still on their way from beginning.
func FinishesRequests(l Lease, remaining time.Duration) bool {
	return l.Granted && l.Spare && l.Scheduled && l.Drain > remaining-drainMargin
}

// Capacity describes an endpoint's request processing. Unknown fields are 0.
type Capacity struct {
	// Slots is the number of requests that the endpoint runs concurrently.
	Slots int
	// AnswerTime is the usual duration of a response.
	AnswerTime time.Duration
}

// AtPace returns the capacity of an endpoint that is slower than its engine's figures by the given
// factor, whose responses take longer.
func (c Capacity) AtPace(pace float64) Capacity {
	c.AnswerTime = time.Duration(pace * float64(c.AnswerTime))
	return c
}

// DrainTime returns how long an endpoint with so many running requests drains, where remaining
// is the time until its weights expire. Its own load is taken as an estimate of the load
// of the other endpoints.
func DrainTime(c Capacity, running int, remaining time.Duration) time.Duration {
	if c.Slots <= 0 {
		return 0
	}
	free := 1 - float64(running)/float64(c.Slots)
	room := min(max(free, 0)/fullDrainFreeShare, 1)
	longest := min(time.Duration(drainFactor*float64(c.AnswerTime)), maxDrain)
	return max(0, min(time.Duration(room*float64(longest)), remaining-drainMargin))
}
