package admission

import "time"

const (
	// slotTimeWeight is the weight of one request in the means of slotTimes.
	slotTimeWeight = 0.02
	// minSlotTimeFactor and maxSlotTimeFactor bound the correction of estimates.
	minSlotTimeFactor, maxSlotTimeFactor = 0.25, 4
)

// slotTimes corrects estimates of the time for which requests take a slot by the time that they did.
// The zero value is ready to use.
type slotTimes struct {
	// observed and estimated are means in seconds; estimated is 0 while no estimate was given.
	observed, estimated float64
}

// observe records that a request with the given estimate, or 0, took a slot for d.
func (s *slotTimes) observe(estimate, d time.Duration) {
	if s.observed == 0 {
		s.observed, s.estimated = d.Seconds(), estimate.Seconds()
	}
	s.observed += slotTimeWeight * (d.Seconds() - s.observed)
	s.estimated += slotTimeWeight * (estimate.Seconds() - s.estimated)
}

// expected returns the time for which a request with the given estimate, or 0, takes a slot.
func (s *slotTimes) expected(estimate time.Duration) time.Duration {
	switch {
	case estimate <= 0:
		return time.Duration(s.observed * float64(time.Second))
	case s.estimated <= 0:
		return estimate
	}
	return time.Duration(float64(estimate) * min(max(s.observed/s.estimated, minSlotTimeFactor), maxSlotTimeFactor))
}
