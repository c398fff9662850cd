package admission

import (
	"math"
	"time"
)

// meter measures a rate that is smoothed exponentially. The zero value is ready to use.
type meter struct {
	value         float64
	startedAt, at time.Time
}

// add adds n to the rate.
func (m *meter) add(n float64, over time.Duration, now time.Time) {
	m.decay(over, now)
	m.value += n / over.Seconds()
}

func (m *meter) decay(over time.Duration, now time.Time) {
	if m.startedAt.IsZero() {
		m.startedAt, m.at = now, now
	}
	if d := now.Sub(m.at); d > 0 {
		m.value *= math.Exp(-d.Seconds() / over.Seconds())
		m.at = now
	}
}

// minMeasured is the time that a meter counts as measured at its start, so that the first requests
// don't show as an extreme rate.
const minMeasured = time.Second

// rate returns the rate per second. Just after the start it is corrected for the time that was not
// measured.
func (m *meter) rate(over time.Duration, now time.Time) float64 {
	m.decay(over, now)
	measured := max(now.Sub(m.startedAt), minMeasured)
	return m.value / (1 - math.Exp(-measured.Seconds()/over.Seconds()))
}

// Times over which demand is smoothed.
const (
	// recentDemandWindow applies to the demand by rank, from which levels follow: they settle within
	// a second or two of a jump.
	recentDemandWindow = 1500 * time.Millisecond
	// meanDemandWindow applies to the demand that shares are worked out from. One gateway has few
	// requests, so its recent demand varies by chance more than its callers do.
	meanDemandWindow = 10 * time.Second
)

// Demand is the work that a gateway's callers ask for, in slots.
type Demand struct {
	// Recent is the demand of the last second or two by rank, Mean that of all ranks over a longer
	// time.
	Recent Slots
	Mean   float64
}

// demandMeter measures demand. The zero value is ready to use.
type demandMeter struct {
	recent [Ranks]meter
	mean   meter
}

// add counts a request that takes a slot for the given time.
func (d *demandMeter) add(rank int, slotTime time.Duration, now time.Time) {
	d.recent[rank].add(slotTime.Seconds(), recentDemandWindow, now)
	d.mean.add(slotTime.Seconds(), meanDemandWindow, now)
}

// demand returns the demand.
func (d *demandMeter) demand(now time.Time) Demand {
	out := Demand{Mean: d.mean.rate(meanDemandWindow, now)}
	for r := range d.recent {
		out.Recent[r] = d.recent[r].rate(recentDemandWindow, now)
	}
	return out
}
