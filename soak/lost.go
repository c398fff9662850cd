package soak

import "time"

// Bounds are the platform's times by which a lost request is judged.
type Bounds struct {
	// Contact is for how long before a request no fault may have come for it to count.
	Contact time.Duration
	// Grace is how long a planned stop may take, Apply how long a configuration may take
	// to be in force.
	Grace, Apply time.Duration
	// Slack is how long a request that no endpoint ran may wait for the end of its
	// connection.
	Slack time.Duration
}

// Margins of the rule.
const (
	// afterGrace is how long after Bounds.Grace a cut is still put down to the stop.
	afterGrace = time.Second
	// afterApply is the same for a configuration.
	afterApply = time.Second
	// takenLate is how long after the signal a request may be sent whose endpoint may be
	// at work when the stop ends.
	takenLate = 3 * time.Second
	// maxKept is how many requests of kept connections one gateway may leave without an
	// answer.
	maxKept = 3
	// changeFactor is how many times more often than else a gateway may cut requests beside
	// a configuration.
	changeFactor = 3
)

// lateShare is the part of its time after which a request beside a configuration does not
// count, in tenths.
const lateShare = 7

// Exchange is a request whose connection ended before its answer was whole, as its caller
// and the endpoints saw it.
type Exchange struct {
	ID, Gateway string
	// Kept is set when the connection had carried a request before.
	Kept bool
	// Sent is when its last byte was sent, End when its connection ended.
	Sent, End time.Time
	// Limit is when the caller's or the route's time was over.
	Limit time.Time
	// Begun is set when the head of an answer had come.
	Begun bool
	// PassedOn is set when an endpoint ran it, BrokenOff when one ended its run early, and
	// Working when one was at work on it at the end.
	PassedOn, BrokenOff, Working bool
}

// Change is a configuration from its sending to its acknowledgement.
type Change struct {
	Sent, Acked time.Time
}

// Span is a time in which something was disturbed.
type Span struct {
	From, To time.Time
}

// History is what was done to a gateway and around it.
type History struct {
	// Stops and Reloads are planned work at the gateway.
	Stops, Reloads []time.Time
	// Changes are the configurations of all gateways.
	Changes []Change
	// Faults are what nobody planned: at the gateway, at endpoints or at links.
	Faults []Span
}

// Loss says why a request counts as lost.
type Loss string

// The losses.
const (
	// NotLost is allowed.
	NotLost Loss = ""
	// LostAtStop means that the planned stop of its gateway cut it.
	LostAtStop Loss = "a planned stop"
	// LostAtReload means that it was cut after its gateway read its settings again.
	LostAtReload Loss = "a reload"
	// LostAtChange means that it was cut beside a configuration; see TooOften.
	LostAtChange Loss = "a configuration"
	// LostInCalm means that nothing was done at all when an endpoint's run was cut.
	LostInCalm Loss = "nothing"
)

// Judge returns whether a request whose connection ended counts as lost, and beside what.
// Silence of an endpoint is no reason to end an answer.
func Judge(e *Exchange, h *History, b Bounds) Loss {
	held := e.PassedOn || e.End.Sub(e.Sent) > b.Slack
	switch {
	case !held, !e.End.Before(e.Limit), e.BrokenOff, h.faultWithin(e.Sent.Add(-b.Contact), e.End):
		return NotLost
	case h.reloadCuts(e, b):
		return LostAtReload
	}
	stop, stopped := h.stopCuts(e, b)
	switch {
	case stopped && e.excusedBy(stop, b):
		return NotLost
	case stopped:
		return LostAtStop
	case h.changeCuts(e, b):
		return LostAtChange
	case e.PassedOn:
		return LostInCalm
	}
	return NotLost
}

// LeftWithoutAnswer returns whether a gateway passed a request of a kept connection on to
// a sound endpoint and then closed the connection without an answer.
func LeftWithoutAnswer(e *Exchange, h *History, b Bounds) bool {
	return e.Kept && e.PassedOn && !e.Begun && !e.BrokenOff && e.End.Before(e.Limit) &&
		!h.faultWithin(e.Sent.Add(-b.Contact), e.End)
}

// TooOften returns whether a gateway cut more than three times as many of its requests
// beside configurations as at other times.
func TooOften(cutBeside, beside, cutElse, other int) bool {
	return cutBeside*max(other, 1) > changeFactor*cutElse*max(beside, 1)
}

// excusedBy returns whether the end of a stop excuses the cut: an endpoint was still at
// work in the last sixth of the grace, on a request that was not sent late.
func (e *Exchange) excusedBy(stop time.Time, b Bounds) bool {
	return e.Working && e.End.After(stop.Add(b.Grace*5/6)) && !e.Sent.After(stop.Add(takenLate))
}

func (h *History) stopCuts(e *Exchange, b Bounds) (time.Time, bool) {
	for _, at := range h.Stops {
		if !e.End.Before(at) && e.End.Before(at.Add(b.Grace+afterGrace)) {
			return at, true
		}
	}
	return time.Time{}, false
}

func (h *History) reloadCuts(e *Exchange, b Bounds) bool {
	for _, at := range h.Reloads {
		if e.End.After(at) && !e.Sent.After(at.Add(b.Apply)) && e.Sent.After(at.Add(-b.Grace)) {
			return true
		}
	}
	return false
}

func (h *History) changeCuts(e *Exchange, b Bounds) bool {
	if e.End.Sub(e.Sent)*10 >= e.Limit.Sub(e.Sent)*lateShare {
		return false
	}
	return h.Beside(e.End, b)
}

// Beside returns whether at stands beside a configuration.
func (h *History) Beside(at time.Time, b Bounds) bool {
	for _, c := range h.Changes {
		if !at.Before(c.Sent) && at.Before(c.Acked.Add(b.Apply+afterApply)) {
			return true
		}
	}
	return false
}

func (h *History) faultWithin(from, to time.Time) bool {
	for _, f := range h.Faults {
		if f.From.Before(to) && f.To.After(from) {
			return true
		}
	}
	return false
}
