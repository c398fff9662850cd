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

// demandWindow is the time over which demand is smoothed: levels follow a jump within a second.
const demandWindow = 5 * time.Second

// demand measures the work that callers ask for, in slots by rank. The zero value is ready to use.
type demand [Ranks]meter

// add counts a request that takes a slot for the given time.
func (d *demand) add(rank int, slotTime time.Duration, now time.Time) {
	d[rank].add(slotTime.Seconds(), demandWindow, now)
}

// slots returns the demand.
func (d *demand) slots(now time.Time) Slots {
	var out Slots
	for r := range d {
		out[r] = d[r].rate(demandWindow, now)
	}
	return out
}
