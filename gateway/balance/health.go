package balance

import "time"

// Outcome is the result of a request at an endpoint.
type Outcome int

// Request outcomes.
const (
	// Served means that the endpoint sent a complete, valid response.
	Served Outcome = iota
	// Refused means that the endpoint reported that it did not run the request.
	Refused
	// Failed means that the response was an error, malformed, or lost.
	Failed
	// Unresponsive means that nothing was received from the endpoint on any connection.
	Unresponsive
	// Unreachable means that no connection could be established.
	Unreachable
	// Misdirected means that the address now belongs to another endpoint.
	Misdirected
	// Unprepared means that the endpoint refused the request because of the weights that it has now.
	Unprepared
	// Neutral means that the outcome says nothing about the endpoint, for example because
	// the client disconnected.
	Neutral
)

// Ejection of failing endpoints.
const (
	// failureWeight is the weight of the newest outcome in the moving average of the
	// failure rate, which reflects about the last eight outcomes.
	failureWeight = 0.12
	// refusalDivisor reduces the weight of a refusal compared to a failure: a busy endpoint
	// is not a broken one.
	refusalDivisor = 3
	// failureLimit is the failure rate at which an endpoint is ejected: five failures in a
	// row, or about half of the outcomes.
	failureLimit = 0.45
	// recoveredLimit is the failure rate below which an ejected endpoint counts as healthy
	// again. After a successful probe the failure rate is lowered to this value if it is
	// higher.
	recoveredLimit = failureLimit / 2
	// minEjection is the duration of the first ejection. It doubles with each consecutive
	// ejection, up to maxDoublings times and at most to maxEjection.
	minEjection = 500 * time.Millisecond
	// maxEjection is the longest ejection.
	maxEjection = 4 * time.Second
	// maxDoublings is the number of ejections after which the duration no longer grows.
	maxDoublings = 3
	// unresponsiveLimit is the number of consecutive unresponsive requests, with no other
	// request in flight, after which an endpoint is ejected. After a single one, only its
	// response may have been lost; suspecting endpoints after one unresponsive request gave
	// worse results.
	unresponsiveLimit = 2
	// refusalBackoff is how long an endpoint receives no requests after a refusal; one of
	// its requests may finish in that time.
	refusalBackoff = 60 * time.Millisecond
	// maxUnpreparedBackoff is the longest back-off after refusals by an unprepared endpoint. The first one
	// takes refusalBackoff, and each further one twice as long as the one before it.
	maxUnpreparedBackoff = 4 * time.Second
)

// health is the health of an endpoint according to the outcomes of its requests.
type health struct {
	// reassigned is the address of the endpoint that now belongs to another one, or empty.
	reassigned string
	// unprepared counts consecutive refusals because of the weights. Until unpreparedUntil, the endpoint
	// gets no request.
	unprepared      int
	unpreparedUntil time.Time
	// probingWeights is set while a single request probes an unprepared endpoint.
	probingWeights bool
	// failureRate is the exponential moving average of failures.
	failureRate float64
	// ejectedUntil is when the endpoint may be used again.
	ejectedUntil time.Time
	// pausedUntil is the time until which the endpoint asked to receive no requests.
	pausedUntil time.Time
	// ejections counts consecutive ejections.
	ejections int
	// probing is set while a single request probes an endpoint after an ejection.
	probing bool
	// consecutiveUnresponsive counts consecutive unresponsive requests.
	consecutiveUnresponsive int
	// suspect is set if several concurrent requests were unresponsive.
	suspect bool
}

// usable reports whether requests may be sent.
func (h *health) usable(now time.Time) bool {
	if now.Before(h.ejectedUntil) || h.paused(now) || h.preparedIn(now) > 0 {
		return false
	}
	return !h.probing
}

// paused reports whether the endpoint currently asks for no requests because it is about to
// load weights.
func (h *health) paused(now time.Time) bool {
	return now.Before(h.pausedUntil)
}

// preparedIn returns the time until an unprepared endpoint is asked again, or 0.
func (h *health) preparedIn(now time.Time) time.Duration {
	return max(h.unpreparedUntil.Sub(now), 0)
}

// backOffUnprepared keeps requests away from an unprepared endpoint until its next back-off has passed.
func (h *health) backOffUnprepared(now time.Time) {
	h.unpreparedUntil = now.Add(UnpreparedBackoff(h.unprepared))
}

// UnpreparedBackoff returns how long an endpoint gets no requests after so many consecutive refusals
// because of its weights.
func UnpreparedBackoff(refusals int) time.Duration {
	d := refusalBackoff
	for ; refusals > 1 && d < maxUnpreparedBackoff; refusals-- {
		d *= 2
	}
	return min(d, maxUnpreparedBackoff)
}

// prepare records that the endpoint has weights with which it serves requests.
func (h *health) prepare() {
	h.unprepared, h.unpreparedUntil, h.probingWeights = 0, time.Time{}, false
}

// beginProbe records that a request is sent. The first one after an ejection is a probe, as is the first
// one after a back-off: it shows whether others would be served.
func (h *health) beginProbe(now time.Time) {
	if h.unprepared > 0 {
		h.probingWeights = true
		h.backOffUnprepared(now)
	}
	if h.ejections > 0 && !now.Before(h.ejectedUntil) {
		h.probing = true
	}
}

// Change is the effect of an outcome on the state of an endpoint.
type Change int

// Health changes.
const (
	// Unchanged means that the endpoint is used as before.
	Unchanged Change = iota
	// Ejected means that the endpoint receives no requests for some time.
	Ejected
	// Restored means that the endpoint is used again.
	Restored
	// Reassigned means that the address now belongs to another endpoint.
	Reassigned
	// BackedOff means that the endpoint receives no requests for some time because of its weights.
	BackedOff
)

// changeNames are the names used in log lines.
var changeNames = map[Change]string{Unchanged: "unchanged", Ejected: "ejected", Restored: "restored", Reassigned: "gone", BackedOff: "unprepared"}

// String returns the name used in log lines.
func (c Change) String() string {
	return changeNames[c]
}

// record applies the outcome of a request. others is the number of this gateway's other
// requests in flight at the endpoint. An endpoint that is unresponsive while several
// requests are in flight is suspected and ejected at once.
func (h *health) record(o Outcome, others int, now time.Time) Change {
	before, unprepared := h.ejections, h.unprepared
	h.apply(o, now)
	if o == Unresponsive && others > 0 {
		h.suspect = true
		h.eject(now)
	}
	switch {
	case o == Misdirected:
		return Reassigned
	case h.unprepared > unprepared:
		return BackedOff
	case h.ejections > before:
		return Ejected
	case before > 0 && h.ejections == 0:
		return Restored
	}
	return Unchanged
}

// apply updates the failure rate, and ejects the endpoint if this single outcome is
// sufficient.
func (h *health) apply(o Outcome, now time.Time) {
	wasProbe := h.probing
	h.probing = false
	switch o {
	case Served:
		h.recordSuccess(wasProbe)
	case Refused:
		h.failureRate += failureWeight / refusalDivisor * (1 - h.failureRate)
		h.extendEjection(refusalBackoff, now)
	case Failed:
		h.recordFailure(wasProbe || h.failureRateAfterFailure() > failureLimit, now)
	case Unresponsive:
		h.consecutiveUnresponsive++
		h.recordFailure(wasProbe || h.consecutiveUnresponsive >= unresponsiveLimit, now)
	case Unreachable:
		h.recordFailure(true, now)
	case Unprepared:
		h.recordUnprepared(now)
	case Misdirected, Neutral:
	}
}

// recordUnprepared applies a refusal because of the weights. Refusals of requests that were sent before the
// first one arrived count as one.
func (h *health) recordUnprepared(now time.Time) {
	if h.preparedIn(now) > 0 && !h.probingWeights {
		return
	}
	h.probingWeights = false
	h.unprepared++
	h.backOffUnprepared(now)
}

// recordSuccess applies a successful outcome.
func (h *health) recordSuccess(wasProbe bool) {
	h.consecutiveUnresponsive, h.suspect = 0, false
	h.failureRate *= 1 - failureWeight
	if wasProbe || h.failureRate < recoveredLimit {
		h.ejections = 0
	}
	if wasProbe {
		h.failureRate = min(h.failureRate, recoveredLimit)
	}
}

// failureRateAfterFailure returns the failure rate that one more failure would give.
func (h *health) failureRateAfterFailure() float64 {
	return h.failureRate + failureWeight*(1-h.failureRate)
}

// recordFailure applies a failed outcome, and ejects the endpoint if eject is set.
func (h *health) recordFailure(eject bool, now time.Time) {
	h.failureRate = h.failureRateAfterFailure()
	if eject {
		h.eject(now)
	}
}

// eject ejects the endpoint for a duration that doubles with each consecutive ejection.
func (h *health) eject(now time.Time) {
	if now.Before(h.ejectedUntil) {
		return
	}
	h.extendEjection(EjectionTime(h.ejections), now)
	h.ejections++
}

// EjectionTime returns the duration of an ejection that follows the given number of
// consecutive ejections.
func EjectionTime(before int) time.Duration {
	return min(minEjection<<min(before, maxDoublings), maxEjection)
}

// extendEjection keeps requests away for at least d from now.
func (h *health) extendEjection(d time.Duration, now time.Time) {
	if t := now.Add(d); t.After(h.ejectedUntil) {
		h.ejectedUntil = t
	}
}
