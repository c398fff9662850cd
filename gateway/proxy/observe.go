package proxy

import (
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/silverdeck/silverdeck/gateway/balance"
	"github.com/silverdeck/silverdeck/gateway/poison"
	"github.com/silverdeck/silverdeck/gateway/policy"
	"github.com/silverdeck/silverdeck/gateway/upstream"
	"github.com/silverdeck/silverdeck/verdict"
)

// Metrics holds a gateway's counters and histograms.
type Metrics struct {
	// Served and Failed count final responses, Repeats requests that were sent again, and
	// Connections the connections opened to endpoints.
	Served, Failed, Repeats, Connections metrics.Counter
	// Overdue counts responses that began on weights past their deadline.
	Overdue metrics.Counter
	// Left counts endpoints that were abandoned because nothing arrived from them. Cut counts
	// responses that ended before they were complete and before their deadline.
	Left, Cut metrics.Counter
	// Ended counts requests whose endpoint ended while it had them.
	Ended metrics.Counter
	// Withheld counts requests that were not sent to any endpoint because endpoints had crashed
	// under them.
	Withheld metrics.Counter
	// Hedged counts requests that were sent to a second endpoint while waiting for the first.
	Hedged metrics.Counter
	// OverBudget counts retries, hedges and resumes refused by the retry budget.
	OverBudget metrics.Counter
	// Limits counts changes of the rate limits stated in responses, Unreadable the response
	// headers that could not be parsed.
	Limits, Unreadable metrics.Counter
	// Leavings counts endpoints that stated that they are leaving, Rests the rests that
	// endpoints asked for.
	Leavings, Rests metrics.Counter
	// Closed counts requests that no endpoint accepted according to the headers of their
	// responses.
	Closed metrics.Counter
	// NotAdmitted counts requests that were refused because of a shortage.
	NotAdmitted metrics.Counter
	// PassedThrough counts plain responses that were forwarded as they arrived, because they were
	// too long or there was no memory for them. CallersStalled counts callers that were
	// disconnected because they did not read.
	PassedThrough, CallersStalled metrics.Counter
	// Unframed counts responses to whose end the endpoint set no mark.
	Unframed metrics.Counter
	// Foreign counts responses that belonged to other requests, Unproven those that contradict
	// themselves and refusals that do not prove that the request was not run.
	Foreign, Unproven metrics.Counter
	// Whole is the time to the end of a response, FirstEvent the time to the first event of a
	// stream, both in microseconds.
	Whole, FirstEvent metrics.Histogram
	// AllRatios compares streams with what was expected of them, RouteRatios the same by route.
	AllRatios   Ratios
	RouteRatios *RouteRatios
	// TooLate counts streams that no endpoint could have finished before their deadline.
	TooLate metrics.Counter
}

// histogramSample is the number of values in the uniform sample of a histogram. The 0.99
// quantile is then based on about five values. A sample takes 4 KB.
const histogramSample = 512

// NewMetrics registers a gateway's metrics in r.
func NewMetrics(r metrics.Registry) *Metrics {
	sample := func() metrics.Sample { return metrics.NewUniformSample(histogramSample) }
	return &Metrics{
		Served:         metrics.NewRegisteredCounter("gateway.served", r),
		Failed:         metrics.NewRegisteredCounter("gateway.failed", r),
		Repeats:        metrics.NewRegisteredCounter("gateway.repeats", r),
		Connections:    metrics.NewRegisteredCounter("gateway.connections", r),
		Left:           metrics.NewRegisteredCounter("gateway.left", r),
		Ended:          metrics.NewRegisteredCounter("gateway.ended", r),
		Withheld:       metrics.NewRegisteredCounter("gateway.withheld", r),
		Hedged:         metrics.NewRegisteredCounter("gateway.hedged", r),
		OverBudget:     metrics.NewRegisteredCounter("gateway.over_budget", r),
		Cut:            metrics.NewRegisteredCounter("gateway.cut", r),
		Overdue:        metrics.NewRegisteredCounter("gateway.overdue", r),
		Limits:         metrics.NewRegisteredCounter("gateway.limits", r),
		Leavings:       metrics.NewRegisteredCounter("gateway.leavings", r),
		Rests:          metrics.NewRegisteredCounter("gateway.rests", r),
		Closed:         metrics.NewRegisteredCounter("gateway.closed", r),
		NotAdmitted:    metrics.NewRegisteredCounter("gateway.not_admitted", r),
		Unreadable:     metrics.NewRegisteredCounter("gateway.unreadable_headers", r),
		PassedThrough:  metrics.NewRegisteredCounter("gateway.passed_through", r),
		Unframed:       metrics.NewRegisteredCounter("gateway.unframed", r),
		Foreign:        metrics.NewRegisteredCounter("gateway.foreign", r),
		Unproven:       metrics.NewRegisteredCounter("gateway.unproven", r),
		CallersStalled: metrics.NewRegisteredCounter("gateway.callers_stalled", r),
		AllRatios:      newRatios(r, "gateway.", histogramSample),
		RouteRatios:    newRouteRatios(r),
		TooLate:        metrics.NewRegisteredCounter("gateway.too_late", r),
		Whole:          metrics.NewRegisteredHistogram("gateway.whole_us", r, sample()),
		FirstEvent:     metrics.NewRegisteredHistogram("gateway.first_event_us", r, sample()),
	}
}

// recordServed records and logs a request that was answered by an endpoint.
func (p *Proxy) recordServed(c *call) {
	elapsed := time.Since(c.startedAt)
	p.cfg.Metrics.Served.Inc(1)
	if c.received.framing == upstream.FramedByClose {
		p.cfg.Metrics.Unframed.Inc(1)
	}
	if !c.completedAt.IsZero() {
		p.cfg.Poison.RecordAnswer(&c.suspects, c.completedAt, time.Now())
	}
	p.cfg.Metrics.Whole.Update(elapsed.Microseconds())
	if len(c.attempted) > 1 {
		p.cfg.Metrics.Repeats.Inc(int64(len(c.attempted) - 1))
	}
	p.cfg.Log.Info("answered", "request", c.id, "route", c.route.Name, "config", c.config.Version,
		"endpoints", c.attempted, "ms", elapsed.Milliseconds(),
		"firstEventMs", c.firstEvent.Milliseconds(), "longestGapMs", c.longestGap.Milliseconds(),
		"framing", c.received.framing.String(), "bodyBytes", c.received.bytes, "callerFraming", c.callerFraming.String())
}

// takeRetryBudget takes one retry, hedge or resume of c from the retry budget and reports
// whether the budget allowed it.
func (p *Proxy) takeRetryBudget(c *call, purpose Purpose, now time.Time) bool {
	if p.cfg.Budget.Take(c.service, purpose, now) {
		return true
	}
	p.cfg.Metrics.OverBudget.Inc(1)
	if use, report := p.cfg.Budget.ReportExhausted(c.service, now); report {
		p.cfg.Log.Warn("retry budget used up", "service", c.service, "requests", use.Requests, "allowed", use.Allowed,
			"retries", use.Retries, "hedges", use.Hedges, "resumes", use.Resumes)
	}
	return false
}

// logAttemptFailure logs that an attempt did not give a usable response.
func (p *Proxy) logAttemptFailure(c *call, a *attempt) {
	lease, e, body := a.lease, a.failure, a.body()
	if e.Code == policy.CodeGarbled || e.Code == policy.CodeUnproven {
		p.cfg.Metrics.Unproven.Inc(1)
	}
	p.cfg.Log.Info("attempt failed", "request", c.id, "endpoint", lease.Record.ID, "addr", lease.Record.Addr,
		"weights", lease.Holds(c.model), "attempt", len(c.attempted), "ms", time.Since(c.startedAt).Milliseconds(),
		"sentMs", time.Since(a.sentAt).Milliseconds(), "required", p.cfg.MinVersion(c.model),
		"framing", body.framing.String(), "bodyBytes", body.bytes, "status", a.head.Status, "answers", a.answeredRequest(&p.cfg.Headers),
		"answeredBy", a.head.AnsweredBy, "refused", a.head.NotRun, "signed", a.head.Signed, "newConnection", a.newConnection(), "code", string(e.Code), "verdict", e.Verdict().String(), "detail", e.Detail, "begun", c.headSent,
		"event", c.lastEventID, "err", e.Err)
}

// countForeign counts the responses to other requests that an attempt received, and logs those that were
// skipped.
func (p *Proxy) countForeign(c *call, a *attempt) {
	n := a.exchange.Skipped
	if n > 0 {
		p.cfg.Log.Info("foreign answers skipped", "request", c.id, "endpoint", a.lease.Record.ID, "addr", a.lease.Record.Addr, "answers", n)
	}
	if a.head.Foreign {
		n++
	}
	p.cfg.Metrics.Foreign.Inc(int64(n))
}

// logEndpointCrash logs that an endpoint ended while it had a request. Lines with the same key
// belong to copies of one request, lines with the same endpoint to the requests that were in
// progress there. The rest is what different requests may have in common.
func (p *Proxy) logEndpointCrash(c *call, lease *balance.Lease) {
	p.cfg.Metrics.Ended.Inc(1)
	p.cfg.Log.Warn("endpoint ended", "request", c.id, "key", c.suspects.Request.Key().String(), "endpoint", lease.Record.ID,
		"born", lease.Record.Born, "addr", lease.Record.Addr, "others", lease.OtherInFlight(), "begun", c.headSent, "event", c.lastEventID,
		"route", c.route.Name, "account", c.suspects.Request.Account, "model", c.model, "weights", lease.Holds(c.model), "promptTokens", c.promptTokens, "parts", c.partNames())
}

// partNames returns the shared parts of the prompt as in log lines.
func (c *call) partNames() []string {
	names := make([]string, 0, len(c.suspects.Parts))
	for _, k := range c.suspects.Parts {
		names = append(names, poison.PartID(k.Digest).String())
	}
	return names
}

// logWithdrawn logs that a request is withdrawn from an endpoint.
func (p *Proxy) logWithdrawn(c *call, lease *balance.Lease) {
	p.cfg.Log.Info("request withdrawn", "request", c.id, "key", c.suspects.Request.Key().String(), "endpoint", lease.Record.ID,
		"ms", time.Since(c.startedAt).Milliseconds())
}

// logEndpointLeft logs that an endpoint is abandoned, with the idle times that led to it.
func (p *Proxy) logEndpointLeft(c *call, lease *balance.Lease, s *policy.Stall) {
	p.cfg.Metrics.Left.Inc(1)
	p.cfg.Log.Info("endpoint left", "request", c.id, "endpoint", lease.Record.ID, "addr", lease.Record.Addr,
		"ms", time.Since(c.startedAt).Milliseconds(), "idleMs", s.StreamIdle.Milliseconds(),
		"endpointIdleMs", s.EndpointIdle.Milliseconds(), "outdated", s.Outdated, "begun", c.headSent, "event", c.lastEventID)
}

// logHedge logs that a second endpoint is asked while the endpoint of lease is waited for.
func (p *Proxy) logHedge(c *call, lease *balance.Lease, s *policy.Stall) {
	p.cfg.Metrics.Hedged.Inc(1)
	p.cfg.Log.Info("hedged", "request", c.id, "endpoint", lease.Record.ID, "other", c.hedge.lease.Record.ID,
		"ms", time.Since(c.startedAt).Milliseconds(), "idleMs", s.StreamIdle.Milliseconds(),
		"endpointIdleMs", s.EndpointIdle.Milliseconds(), "begun", c.headSent, "event", c.lastEventID)
}

// logHedgeDropped logs that a hedge was canceled because it is no longer needed.
func (p *Proxy) logHedgeDropped(c *call, h *hedge) {
	p.cfg.Log.Info("hedge dropped", "request", c.id, "endpoint", h.lease.Record.ID,
		"ms", time.Since(c.startedAt).Milliseconds(), "sentMs", time.Since(h.sentAt).Milliseconds())
}

// checkWeightsDeadline records a response that begins on weights past their deadline, which
// endpoints must not send. The response began up to one network delay before its head is seen
// here.
func (p *Proxy) checkWeightsDeadline(c *call, x *upstream.Exchange, lease *balance.Lease, sentAt time.Time) {
	version, err := strconv.ParseInt(x.Header.Get(p.cfg.Headers.Weights), 10, 64)
	if err != nil {
		return // the endpoint does not state its version
	}
	deadline, known := p.cfg.WeightsDeadline(c.model, version)
	now := time.Now()
	if !known || now.Before(deadline) {
		return
	}
	p.cfg.Metrics.Overdue.Inc(1)
	p.cfg.Log.Warn("answer on overdue weights", "request", c.id, "endpoint", lease.Record.ID, "addr", lease.Record.Addr,
		"weights", version, "known", lease.Holds(c.model), "attempt", len(c.attempted),
		"sentMs", now.Sub(sentAt).Milliseconds(), "overdueMs", now.Sub(deadline).Milliseconds())
}

// logFailure records and logs a request that was not answered by an endpoint.
func (p *Proxy) logFailure(c *call, e *verdict.Error) {
	p.cfg.Metrics.Failed.Inc(1)
	if policy.IsWithheld(e.Code) {
		p.cfg.Metrics.Withheld.Inc(1)
	}
	switch e.Code {
	case policy.CodeClosed:
		p.cfg.Metrics.Closed.Inc(1)
	case policy.CodeNotAdmitted:
		p.cfg.Metrics.NotAdmitted.Inc(1)
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
		"endpoints", c.attempted, "ms", time.Since(c.startedAt).Milliseconds(), "spentMs", c.elapsed.Milliseconds(), "code", string(e.Code),
		"verdict", e.Verdict().String(), "detail", e.Detail, "begun", c.headSent, "event", c.lastEventID, "noRetry", c.noRetryReason, "err", e.Err)
}
