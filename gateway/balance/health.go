package balance

import "time"

// Leaving endpoints alone.
const (
	// failureWeight is the weight of the newest outcome in the failure rate.
	failureWeight = 0.12
	// failureLimit is the failure rate at which an endpoint is left alone.
	failureLimit = 0.45
	// shortestEjection is for how long, at first; it doubles up to the longest.
	shortestEjection = 500 * time.Millisecond
	longestEjection  = 4 * time.Second
	// silencesInRow is how many silent requests in a row, with no other in
	// progress, leave an endpoint alone.
	silencesInRow = 2
	// refusalPause is for how long an endpoint that refused is left alone.
	refusalPause = 60 * time.Millisecond
)

// health is what the outcomes of requests tell of an endpoint.
type health struct {
	// gone is set when the address belongs to another endpoint.
	gone bool
	// failures is the failure rate, newer outcomes weighing more.
	failures float64
	// until is when the endpoint may be tried again.
	until time.Time
	// noticed is until when the endpoint asked to be left alone.
	noticed time.Time
	// ejections counts those in a row.
	ejections int
	// trial is set while a single request tests an endpoint after an ejection.
	trial bool
	// silences counts silent requests in a row.
	silences int
	// dark is set when several requests were silent together; one alone may
	// just have lost its answer.
	dark bool
}

// usable returns whether requests may be sent.
func (h *health) usable(now time.Time) bool {
	if now.Before(h.until) || now.Before(h.noticed) {
		return false
	}
	return !h.trial
}

// tried notes that a request is sent.
func (h *health) tried(now time.Time) {
	if h.ejections > 0 && !now.Before(h.until) {
		h.trial = true
	}
}

// note takes in the outcome of a request.
func (h *health) note(o Outcome, now time.Time) Change {
	before := h.ejections
	h.take(o, now)
	switch {
	case o == Misdirected:
		return Gone
	case h.ejections > before:
		return Ejected
	case before > 0 && h.ejections == 0:
		return Restored
	}
	return Unchanged
}

// Change is how an outcome changed what is believed of an endpoint.
type Change int

// The changes.
const (
	// Unchanged means that the endpoint is used as before.
	Unchanged Change = iota
	// Ejected means that the endpoint is left alone for a while.
	Ejected
	// Restored means that the endpoint is used again.
	Restored
	// Gone means that the address has another owner.
	Gone
)

var changeNames = map[Change]string{Unchanged: "unchanged", Ejected: "ejected", Restored: "restored", Gone: "gone"}

// String returns the change's name.
func (c Change) String() string {
	return changeNames[c]
}

func (h *health) take(o Outcome, now time.Time) {
	wasTrial := h.trial
	h.trial = false
	switch o {
	case Served:
		h.silences, h.dark = 0, false
		h.failures *= 1 - failureWeight
		if wasTrial || h.failures < failureLimit/2 {
			h.ejections = 0
		}
		if wasTrial {
			h.failures = min(h.failures, failureLimit/2)
		}
	case Refused:
		h.failures += failureWeight / 3 * (1 - h.failures)
		h.pause(refusalPause, now)
	case Failed:
		h.failures += failureWeight * (1 - h.failures)
		if wasTrial || h.failures > failureLimit {
			h.eject(now)
		}
	case Silent:
		h.failures += failureWeight * (1 - h.failures)
		h.silences++
		if wasTrial || h.silences >= silencesInRow {
			h.eject(now)
		}
	case Unreachable:
		h.failures += failureWeight * (1 - h.failures)
		h.eject(now)
	case Misdirected:
		h.gone = true
	case Neutral:
	}
}

// darken notes that several requests are silent together.
func (h *health) darken(now time.Time) {
	h.dark = true
	h.eject(now)
}

func (h *health) eject(now time.Time) {
	if now.Before(h.until) {
		return
	}
	h.pause(min(shortestEjection<<min(h.ejections, 3), longestEjection), now)
	h.ejections++
}

func (h *health) pause(d time.Duration, now time.Time) {
	if t := now.Add(d); t.After(h.until) {
		h.until = t
	}
}
