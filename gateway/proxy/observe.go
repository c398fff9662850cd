package proxy

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/silverdeck/silverdeck/gateway/balance"
	"github.com/silverdeck/silverdeck/verdict"
)

// Metrics are a gateway's counters and histograms.
type Metrics struct {
	// Served and Failed count final answers, Repeats requests sent again, and
	// Connections those opened to endpoints.
	Served, Failed, Repeats, Connections metrics.Counter
	// Whole is the time to the end of an answer, FirstEvent that to a stream's
	// first event, in microseconds.
	Whole, FirstEvent metrics.Histogram
}

// histogramSample is how many values a histogram keeps.
const histogramSample = 512

// NewMetrics registers a gateway's metrics in r.
func NewMetrics(r metrics.Registry) *Metrics {
	sample := func() metrics.Sample { return metrics.NewUniformSample(histogramSample) }
	return &Metrics{
		Served:      metrics.NewRegisteredCounter("gateway.served", r),
		Failed:      metrics.NewRegisteredCounter("gateway.failed", r),
		Repeats:     metrics.NewRegisteredCounter("gateway.repeats", r),
		Connections: metrics.NewRegisteredCounter("gateway.connections", r),
		Whole:       metrics.NewRegisteredHistogram("gateway.whole_us", r, sample()),
		FirstEvent:  metrics.NewRegisteredHistogram("gateway.first_event_us", r, sample()),
	}
}

// served notes a request that was answered by an endpoint.
func (p *Proxy) served(j *job) {
	took := time.Since(j.started)
	p.cfg.Metrics.Served.Inc(1)
	p.cfg.Metrics.Whole.Update(took.Microseconds())
	if len(j.tried) > 1 {
		p.cfg.Metrics.Repeats.Inc(int64(len(j.tried) - 1))
	}
	p.cfg.Log.Info("answered", "request", j.id, "route", j.route.Name, "config", j.config.Version,
		"endpoints", j.tried, "ms", took.Milliseconds(),
		"firstEventMs", j.firstEvent.Milliseconds(), "longestGapMs", j.longestGap.Milliseconds())
}

// logAttempt notes that an endpoint did not answer a request as it should.
func (p *Proxy) logAttempt(j *job, lease *balance.Lease, e *verdict.Error) {
	p.cfg.Log.Info("attempt failed", "request", j.id, "endpoint", lease.Record.ID, "addr", lease.Record.Addr,
		"weights", lease.Holds(j.model), "attempt", len(j.tried), "ms", time.Since(j.started).Milliseconds(),
		"code", string(e.Code), "verdict", e.Verdict.String(), "detail", e.Detail, "begun", j.begun,
		"event", j.lastEvent, "err", e.Err)
}

// logFailure notes a request that was not answered by an endpoint.
func (p *Proxy) logFailure(j *job, e *verdict.Error) {
	p.cfg.Metrics.Failed.Inc(1)
	route, version := "", int64(0)
	if j.route != nil {
		route = j.route.Name
	}
	if j.config != nil {
		version = j.config.Version
	}
	p.cfg.Log.Warn("not answered", "request", j.id, "route", route, "config", version,
		"endpoints", j.tried, "ms", time.Since(j.started).Milliseconds(), "code", string(e.Code),
		"verdict", e.Verdict.String(), "detail", e.Detail, "begun", j.begun, "event", j.lastEvent, "err", e.Err)
}
