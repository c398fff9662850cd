package admission

import (
	"strconv"

	"github.com/rcrowley/go-metrics"
)

// Metrics holds the counters and gauges of admission.
type Metrics struct {
	// Waited counts requests that waited for a place and were admitted, ReturnedAdmitted and
	// ReturnedRefused the outcomes of callers that returned when they were told.
	Waited, ReturnedAdmitted, ReturnedRefused metrics.Counter
	// Refused counts refusals by cause.
	Refused  map[Cause]metrics.Counter
	registry metrics.Registry
}

// NewMetrics registers the metrics of admission in r.
func NewMetrics(r metrics.Registry) *Metrics {
	return &Metrics{
		Waited:           metrics.NewRegisteredCounter("admission.waited", r),
		ReturnedAdmitted: metrics.NewRegisteredCounter("admission.returned_admitted", r),
		ReturnedRefused:  metrics.NewRegisteredCounter("admission.returned_refused", r),
		Refused: map[Cause]metrics.Counter{
			CauseRank:    metrics.NewRegisteredCounter("admission.refused_rank", r),
			CauseShare:   metrics.NewRegisteredCounter("admission.refused_share", r),
			CauseAccount: metrics.NewRegisteredCounter("admission.refused_account", r),
			CauseWaited:  metrics.NewRegisteredCounter("admission.refused_waited", r),
			CauseEarly:   metrics.NewRegisteredCounter("admission.refused_early", r),
			CauseLate:    metrics.NewRegisteredCounter("admission.refused_late", r),
		},
		registry: r,
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
	if d.Waited && d.Refused == "" {
		m.Waited.Inc(1)
	}
}

// RecordStatus sets the gauges of a service.
func (m *Metrics) RecordStatus(s *Status) {
	set := func(name string, v float64) {
		metrics.GetOrRegisterGaugeFloat64("admission."+s.Service+"."+name, m.registry).Update(v)
	}
	set("room", s.Room)
	set("running", s.Running)
	set("demand", s.Fleet.Total())
	set("limit", s.Limit)
	set("waiting", float64(s.Waiting))
	set("told", float64(s.Told))
	for r, level := range s.Levels {
		set("level."+strconv.Itoa(r), level)
	}
}
