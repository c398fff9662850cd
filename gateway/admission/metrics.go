package admission

import "github.com/rcrowley/go-metrics"

// Metrics holds the counters and gauges of admission.
type Metrics struct {
	// Waited counts requests that waited for a place and were admitted, ReturnedAdmitted and
	// ReturnedRefused the outcomes of callers that returned when they were told.
	Waited, ReturnedAdmitted, ReturnedRefused metrics.Counter
	// TooLate counts refusals of callers that can't return in time.
	TooLate metrics.Counter
	// Refused counts refusals by cause.
	Refused map[Cause]metrics.Counter
	// Room, Running, Demand, Limit, WaitingNow and Told are sums over all services, as in Status.
	Room, Running, Demand, Limit, WaitingNow, Told metrics.GaugeFloat64
	// Levels holds the lowest level of any service by rank.
	Levels [Ranks]metrics.GaugeFloat64
}

// NewMetrics registers the metrics of admission in r.
func NewMetrics(r metrics.Registry) *Metrics {
	return &Metrics{
		Waited:           metrics.NewRegisteredCounter("admission.waited", r),
		ReturnedAdmitted: metrics.NewRegisteredCounter("admission.returned_admitted", r),
		ReturnedRefused:  metrics.NewRegisteredCounter("admission.returned_refused", r),
		TooLate:          metrics.NewRegisteredCounter("admission.too_late", r),
		Refused: map[Cause]metrics.Counter{
			CauseRank:    metrics.NewRegisteredCounter("admission.refused_rank", r),
			CauseShare:   metrics.NewRegisteredCounter("admission.refused_share", r),
			CauseAccount: metrics.NewRegisteredCounter("admission.refused_account", r),
			CauseWaited:  metrics.NewRegisteredCounter("admission.refused_waited", r),
			CauseEarly:   metrics.NewRegisteredCounter("admission.refused_early", r),
			CauseLate:    metrics.NewRegisteredCounter("admission.refused_late", r),
		},
		Room:       metrics.NewRegisteredGaugeFloat64("admission.room", r),
		Running:    metrics.NewRegisteredGaugeFloat64("admission.running", r),
		Demand:     metrics.NewRegisteredGaugeFloat64("admission.demand", r),
		Limit:      metrics.NewRegisteredGaugeFloat64("admission.limit", r),
		WaitingNow: metrics.NewRegisteredGaugeFloat64("admission.waiting", r),
		Told:       metrics.NewRegisteredGaugeFloat64("admission.told", r),
		Levels: [Ranks]metrics.GaugeFloat64{
			metrics.NewRegisteredGaugeFloat64("admission.level_0", r),
			metrics.NewRegisteredGaugeFloat64("admission.level_1", r),
			metrics.NewRegisteredGaugeFloat64("admission.level_2", r),
			metrics.NewRegisteredGaugeFloat64("admission.level_3", r),
		},
	}
}

// Record counts a decision.
func (m *Metrics) Record(d Decision) {
	if c := m.Refused[d.Refused]; c != nil {
		c.Inc(1)
	}
	switch {
	case d.Returned && d.Refused != "":
		m.ReturnedRefused.Inc(1)
	case d.Returned:
		m.ReturnedAdmitted.Inc(1)
	}
	if d.TooLate {
		m.TooLate.Inc(1)
	}
	if d.Waited && d.Refused == "" {
		m.Waited.Inc(1)
	}
}

// RecordStatus sets the gauges from the state of all services.
func (m *Metrics) RecordStatus(all []Status) {
	var sum Status
	demand := 0.0
	levels := FullLevels()
	for i := range all {
		s := &all[i]
		sum.Room += s.Room
		sum.Running += s.Running
		sum.Limit += s.Limit
		sum.Waiting += s.Waiting
		sum.Told += s.Told
		demand += s.Fleet.Recent.Total()
		for r, level := range s.Levels {
			levels[r] = min(levels[r], level)
		}
	}
	m.Room.Update(sum.Room)
	m.Running.Update(sum.Running)
	m.Demand.Update(demand)
	m.Limit.Update(sum.Limit)
	m.WaitingNow.Update(float64(sum.Waiting))
	m.Told.Update(float64(sum.Told))
	for r, g := range m.Levels {
		g.Update(levels[r])
	}
}
