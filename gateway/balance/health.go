package balance

import "time"

// Outcome is what became of a request at an endpoint.
type Outcome int

// The outcomes of a request.
const (
	// Served means that the endpoint answered as it should.
	Served Outcome = iota
	// Refused means that the endpoint said that it did not run the request.
	Refused
	// Failed means an error answer, a broken answer or a lost one.
	Failed
	// Unresponsive means that nothing came from the endpoint on any connection.
	Unresponsive
	// Unreachable means that no connection could be had.
	Unreachable
	// Misdirected means that the address belongs to another endpoint now.
	Misdirected
	// Neutral says nothing of the endpoint, as when the caller left.
	Neutral
)

// Ejection of endpoints.
const (
	// failureWeight is the weight of the newest outcome in the failure rate: about the last
	// eight count.
	failureWeight = 0.12
	// refusalDivisor makes a refusal count for less than a failure: a busy endpoint is not
	// a broken one.
	refusalDivisor = 3
	// failureLimit is the failure rate at which an endpoint is ejected: five failures in a
	// row, or about half of the outcomes.
	failureLimit = 0.45
	// recoveredLimit is the failure rate below which an ejected endpoint counts as
	// well again, and the highest after a trial that was served.
	recoveredLimit = failureLimit / 2
	// minEjection is for how long an endpoint is ejected at first; it doubles with each
	// ejection in a row, maxDoublings times, up to maxEjection.
	minEjection = 500 * time.Millisecond
	// maxEjection is the longest ejection.
	maxEjection = 4 * time.Second
	// maxDoublings is after how many the time stays.
	maxDoublings = 3
	// unresponsiveLimit is how many unresponsive requests in a row, with no other in
	// progress, eject an endpoint: one alone may just have lost its answer. Suspicion after
	// a single one was worse.
	unresponsiveLimit = 2
	// refusalPause is for how long an endpoint that refused gets no requests: it may end a
	// request meanwhile.
	refusalPause = 60 * time.Millisecond
)

// health is what the outcomes of requests tell of an endpoint.
type health struct {
	// reassigned is set when the address belongs to another endpoint.
	reassigned bool
	// failures is the failure rate, newer outcomes weighing more.
	failures float64
	// ejectedUntil is when the endpoint may be tried again.
	ejectedUntil time.Time
	// pausedUntil is until when the endpoint asked to get no requests.
	pausedUntil time.Time
	// ejections counts those in a row.
	ejections int
	// trial is set while a single request tests an endpoint after an ejection.
	trial bool
	// unresponsive counts such requests in a row.
	unresponsive int
	// suspect is set when several requests were unresponsive together.
	suspect bool
}

// usable returns whether requests may be sent.
func (h *health) usable(now time.Time) bool {
	if now.Before(h.ejectedUntil) || h.paused(now) {
		return false
	}
	return !h.trial
}

// paused returns whether the endpoint asked to get no requests now, since it is about to load
// weights.
func (h *health) paused(now time.Time) bool {
	return now.Before(h.pausedUntil)
}

// beginTrial notes that a request is sent; the first after an ejection is a trial.
func (h *health) beginTrial(now time.Time) {
	if h.ejections > 0 && !now.Before(h.ejectedUntil) {
		h.trial = true
	}
}

// Change is how an outcome changed what is believed of an endpoint.
type Change int

// The changes.
const (
	// Unchanged means that the endpoint is used as before.
	Unchanged Change = iota
	// Ejected means that the endpoint gets no requests for a while.
	Ejected
	// Restored means that the endpoint is used again.
	Restored
	// Reassigned means that the address belongs to another endpoint.
	Reassigned
)

// changeNames are the names in log lines.
var changeNames = map[Change]string{Unchanged: "unchanged", Ejected: "ejected", Restored: "restored", Reassigned: "gone"}

// String returns the change's name.
func (c Change) String() string {
	return changeNames[c]
}

// note takes in the outcome of a request, while so many others of this gateway are
// in progress at the endpoint. An endpoint that is unresponsive to several requests
// at once is suspected, and ejected at once.
func (h *health) note(o Outcome, others int, now time.Time) Change {
	before := h.ejections
	h.take(o, now)
	if o == Unresponsive && others > 0 {
		h.suspect = true
		h.eject(now)
	}
	switch {
	case o == Misdirected:
		return Reassigned
	case h.ejections > before:
		return Ejected
	case before > 0 && h.ejections == 0:
		return Restored
	}
	return Unchanged
}

// take changes the failure rate and ejects the endpoint where one outcome tells
// enough.
func (h *health) take(o Outcome, now time.Time) {
	wasTrial := h.trial
	h.trial = false
	switch o {
	case Served:
		h.succeed(wasTrial)
	case Refused:
		h.failures += failureWeight / refusalDivisor * (1 - h.failures)
		h.pause(refusalPause, now)
	case Failed:
		h.fail(wasTrial || h.failureRateAfter() > failureLimit, now)
	case Unresponsive:
		h.unresponsive++
		h.fail(wasTrial || h.unresponsive >= unresponsiveLimit, now)
	case Unreachable:
		h.fail(true, now)
	case Misdirected:
		h.reassigned = true
	case Neutral:
	}
}

// succeed notes an answer as it should be.
func (h *health) succeed(wasTrial bool) {
	h.unresponsive, h.suspect = 0, false
	h.failures *= 1 - failureWeight
	if wasTrial || h.failures < recoveredLimit {
		h.ejections = 0
	}
	if wasTrial {
		h.failures = min(h.failures, recoveredLimit)
	}
}

// failureRateAfter returns what the failure rate is after one more failure.
func (h *health) failureRateAfter() float64 {
	return h.failures + failureWeight*(1-h.failures)
}

// fail notes a failure, and ejects the endpoint if that is decided.
func (h *health) fail(eject bool, now time.Time) {
	h.failures = h.failureRateAfter()
	if eject {
		h.eject(now)
	}
}

// eject keeps requests away for a time that doubles with each ejection in a row.
func (h *health) eject(now time.Time) {
	if now.Before(h.ejectedUntil) {
		return
	}
	h.pause(EjectionTime(h.ejections), now)
	h.ejections++
}

// EjectionTime returns for how long an endpoint is ejected after so many ejections
// in a row.
func EjectionTime(before int) time.Duration {
	return min(minEjection<<min(before, maxDoublings), maxEjection)
}

// pause keeps requests away for d, unless they are kept away for longer.
func (h *health) pause(d time.Duration, now time.Time) {
	if t := now.Add(d); t.After(h.ejectedUntil) {
		h.ejectedUntil = t
	}
}
