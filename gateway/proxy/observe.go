package proxy

import (
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/silverdeck/silverdeck/gateway/balance"
	"github.com/silverdeck/silverdeck/gateway/policy"
	"github.com/silverdeck/silverdeck/gateway/upstream"
	"github.com/silverdeck/silverdeck/verdict"
)

// Metrics are a gateway's counters and histograms.
type Metrics struct {
	// Served and Failed count final answers, Repeats requests sent again, and
	// Connections those opened to endpoints.
	Served, Failed, Repeats, Connections metrics.Counter
	// Overdue counts answers whose head came past the limit of their weights.
	Overdue metrics.Counter
	// Left counts endpoints that were left because nothing came from them, Cut answers that
	// ended before they were whole and before their time.
	Left, Cut metrics.Counter
	// Ended counts requests under which an endpoint ended.
	Ended metrics.Counter
	// Withheld counts requests that were sent to no endpoint since others ended under them.
	Withheld metrics.Counter
	// Hedged counts requests that were sent to another endpoint while theirs was waited for.
	Hedged metrics.Counter
	// OverBudget counts repetitions that the retry budget refused.
	OverBudget metrics.Counter
	// Limits counts changes of the limits that endpoints name in answers, Unreadable headers of
	// answers that could not be read.
	Limits, Unreadable metrics.Counter
	// Leavings counts endpoints that said that they leave, Rests the rests that they asked for.
	Leavings, Rests metrics.Counter
	// Closed counts requests that no endpoint took by what they say in answers.
	Closed metrics.Counter
	// Whole is the time to the end of an answer, FirstEvent that to a stream's
	// first event, in microseconds.
	Whole, FirstEvent metrics.Histogram
}

// histogramSample is how many values a histogram keeps, drawn evenly from all: the 0.99
// quantile then rests on about five. It costs 4 KB each.
const histogramSample = 512

// NewMetrics registers a gateway's metrics in r.
func NewMetrics(r metrics.Registry) *Metrics {
	sample := func() metrics.Sample { return metrics.NewUniformSample(histogramSample) }
	return &Metrics{
		Served:      metrics.NewRegisteredCounter("gateway.served", r),
		Failed:      metrics.NewRegisteredCounter("gateway.failed", r),
		Repeats:     metrics.NewRegisteredCounter("gateway.repeats", r),
		Connections: metrics.NewRegisteredCounter("gateway.connections", r),
		Left:        metrics.NewRegisteredCounter("gateway.left", r),
		Ended:       metrics.NewRegisteredCounter("gateway.ended", r),
		Withheld:    metrics.NewRegisteredCounter("gateway.withheld", r),
		Hedged:      metrics.NewRegisteredCounter("gateway.hedged", r),
		OverBudget:  metrics.NewRegisteredCounter("gateway.over_budget", r),
		Cut:         metrics.NewRegisteredCounter("gateway.cut", r),
		Overdue:     metrics.NewRegisteredCounter("gateway.overdue", r),
		Limits:      metrics.NewRegisteredCounter("gateway.limits", r),
		Leavings:    metrics.NewRegisteredCounter("gateway.leavings", r),
		Rests:       metrics.NewRegisteredCounter("gateway.rests", r),
		Closed:      metrics.NewRegisteredCounter("gateway.closed", r),
		Unreadable:  metrics.NewRegisteredCounter("gateway.unreadable_headers", r),
		Whole:       metrics.NewRegisteredHistogram("gateway.whole_us", r, sample()),
		FirstEvent:  metrics.NewRegisteredHistogram("gateway.first_event_us", r, sample()),
	}
}

// served notes a request that was answered by an endpoint.
func (p *Proxy) served(c *call) {
	took := time.Since(c.startedAt)
	p.cfg.Metrics.Served.Inc(1)
	p.cfg.Poison.Answered(c.copies, time.Now())
	p.cfg.Metrics.Whole.Update(took.Microseconds())
	if len(c.attempted) > 1 {
		p.cfg.Metrics.Repeats.Inc(int64(len(c.attempted) - 1))
	}
	p.cfg.Log.Info("answered", "request", c.id, "route", c.route.Name, "config", c.config.Version,
		"endpoints", c.attempted, "ms", took.Milliseconds(),
		"firstEventMs", c.firstEvent.Milliseconds(), "longestGapMs", c.longestGap.Milliseconds())
}

// takeRepeat takes one repetition of c from the retry budget and returns whether there was
// one.
func (p *Proxy) takeRepeat(c *call, purpose Purpose, now time.Time) bool {
	if p.cfg.Budget.Take(c.service, purpose, now) {
		return true
	}
	p.cfg.Metrics.OverBudget.Inc(1)
	if use, news := p.cfg.Budget.UsedUp(c.service, now); news {
		p.cfg.Log.Warn("retry budget used up", "service", c.service, "requests", use.Requests, "allowed", use.Allowed,
			"retries", use.Retries, "hedges", use.Hedges, "resumes", use.Resumes)
	}
	return false
}

// logAttempt notes that an endpoint did not answer a request as it should.
func (p *Proxy) logAttempt(c *call, lease *balance.Lease, sentAt time.Time, e *verdict.Error) {
	p.cfg.Log.Info("attempt failed", "request", c.id, "endpoint", lease.Record.ID, "addr", lease.Record.Addr,
		"weights", lease.Holds(c.model), "attempt", len(c.attempted), "ms", time.Since(c.startedAt).Milliseconds(),
		"sentMs", time.Since(sentAt).Milliseconds(), "required", p.cfg.MinVersion(c.model),
		"code", string(e.Code), "verdict", e.Verdict.String(), "detail", e.Detail, "begun", c.headSent,
		"event", c.lastEventID, "err", e.Err)
}

// logEnd notes that an endpoint ended while it had a request. Lines with one key are of one
// request that was sent again; those with one endpoint, of all that it took along.
func (p *Proxy) logEnd(c *call, lease *balance.Lease) {
	p.cfg.Metrics.Ended.Inc(1)
	p.cfg.Log.Warn("endpoint ended", "request", c.id, "key", c.copies.Key().String(), "endpoint", lease.Record.ID,
		"born", lease.Record.Born, "addr", lease.Record.Addr, "others", lease.OtherInFlight(), "begun", c.headSent, "event", c.lastEventID)
}

// logWithdrawn notes that a request is withdrawn from an endpoint.
func (p *Proxy) logWithdrawn(c *call, lease *balance.Lease) {
	p.cfg.Log.Info("request withdrawn", "request", c.id, "key", c.copies.Key().String(), "endpoint", lease.Record.ID,
		"ms", time.Since(c.startedAt).Milliseconds())
}

// logLeft notes that an endpoint is left, and what was known of it then.
func (p *Proxy) logLeft(c *call, lease *balance.Lease, s *policy.Stall) {
	p.cfg.Metrics.Left.Inc(1)
	p.cfg.Log.Info("endpoint left", "request", c.id, "endpoint", lease.Record.ID, "addr", lease.Record.Addr,
		"ms", time.Since(c.startedAt).Milliseconds(), "idleMs", s.StreamIdle.Milliseconds(),
		"endpointIdleMs", s.EndpointIdle.Milliseconds(), "outdated", s.Outdated, "begun", c.headSent, "event", c.lastEventID)
}

// logHedge notes that another endpoint is asked while that of lease is waited for.
func (p *Proxy) logHedge(c *call, lease *balance.Lease, s *policy.Stall) {
	p.cfg.Metrics.Hedged.Inc(1)
	p.cfg.Log.Info("hedged", "request", c.id, "endpoint", lease.Record.ID, "other", c.hedge.lease.Record.ID,
		"ms", time.Since(c.startedAt).Milliseconds(), "idleMs", s.StreamIdle.Milliseconds(),
		"endpointIdleMs", s.EndpointIdle.Milliseconds(), "begun", c.headSent, "event", c.lastEventID)
}

// logHedgeDropped notes that the other endpoint is not needed.
func (p *Proxy) logHedgeDropped(c *call, h *hedge) {
	p.cfg.Log.Info("hedge dropped", "request", c.id, "endpoint", h.lease.Record.ID,
		"ms", time.Since(c.startedAt).Milliseconds(), "sentMs", time.Since(h.sentAt).Milliseconds())
}

// noteWeights notes an answer that begins on weights past their limit, which no
// endpoint should give. It began up to one way earlier than its head is seen here.
func (p *Proxy) noteWeights(c *call, x *upstream.Exchange, lease *balance.Lease, sentAt time.Time) {
	version, err := strconv.ParseInt(x.Header.Get(p.cfg.Headers.Weights), 10, 64)
	if err != nil {
		return // the endpoint does not tell
	}
	end, ends := p.cfg.WeightsEnd(c.model, version)
	now := time.Now()
	if !ends || now.Before(end) {
		return
	}
	p.cfg.Metrics.Overdue.Inc(1)
	p.cfg.Log.Warn("answer on overdue weights", "request", c.id, "endpoint", lease.Record.ID, "addr", lease.Record.Addr,
		"weights", version, "known", lease.Holds(c.model), "attempt", len(c.attempted),
		"sentMs", now.Sub(sentAt).Milliseconds(), "overdueMs", now.Sub(end).Milliseconds())
}

// logFailure notes a request that was not answered by an endpoint.
func (p *Proxy) logFailure(c *call, e *verdict.Error) {
	p.cfg.Metrics.Failed.Inc(1)
	if policy.Withholds(e.Code) {
		p.cfg.Metrics.Withheld.Inc(1)
	}
	if e.Code == policy.CodeClosed {
		p.cfg.Metrics.Closed.Inc(1)
	}
	if c.headSent && time.Now().Before(c.deadline) && e.Code != verdict.CodeCanceled {
		p.cfg.Metrics.Cut.Inc(1)
	}
	route, version := "", int64(0)
	if c.route != nil {
		route = c.route.Name
	}
	if c.config != nil {
		version = c.config.Version
	}
	p.cfg.Log.Warn("not answered", "request", c.id, "route", route, "config", version,
		"endpoints", c.attempted, "ms", time.Since(c.startedAt).Milliseconds(), "spentMs", c.spent.Milliseconds(), "code", string(e.Code),
		"verdict", e.Verdict.String(), "detail", e.Detail, "begun", c.headSent, "event", c.lastEventID, "noRetry", c.ended, "err", e.Err)
}
