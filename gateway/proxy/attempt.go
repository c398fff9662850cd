package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/silverdeck/silverdeck/gateway/balance"
	"github.com/silverdeck/silverdeck/gateway/upstream"
	"github.com/silverdeck/silverdeck/routes"
	"github.com/silverdeck/silverdeck/verdict"
)

// Limits of an attempt.
const (
	// maxWhole bounds an answer that is read whole before it is passed on, in bytes.
	maxWhole = 8 << 20
	// leastTime is what must be left for a request to be sent again.
	leastTime = 20 * time.Millisecond
)

// run sends the request to one endpoint after another until one answers, or
// returns the failure to tell the caller.
func (p *Proxy) run(ctx context.Context, w http.ResponseWriter, j *job) *verdict.Error {
	var last *verdict.Error
	for range j.route.Attempts {
		if len(j.tried) > 0 && !p.mayRepeat(ctx, j, last) {
			break
		}
		failure := p.attempt(ctx, w, j)
		if failure == nil {
			return nil
		}
		if failure.Verdict != verdict.NotRun {
			j.ran = true
		}
		last = failure
	}
	return p.final(ctx, j, last)
}

// mayRepeat returns whether the request may go to another endpoint.
func (p *Proxy) mayRepeat(ctx context.Context, j *job, last *verdict.Error) bool {
	if ctx.Err() != nil || last.Code == codeFull || time.Until(j.endsAt) < leastTime {
		return false
	}
	if last.Verdict != verdict.NotRun && !j.route.Repeatable() {
		return false
	}
	if last.Code == verdict.CodeUnreachable {
		return true // nothing arrived anywhere
	}
	return p.cfg.Budget.Repeat(j.service, j.use(), time.Now())
}

// final returns the failure as the caller is told it.
func (p *Proxy) final(ctx context.Context, j *job, last *verdict.Error) *verdict.Error {
	e := *last
	if j.ran {
		e.Verdict = verdict.MayHaveRun
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		e.Code = verdict.CodeCanceled
	}
	if e.Verdict == verdict.NotRun {
		e.RetryAfter = j.comeBack(e.RetryAfter)
	}
	return &e
}

// comeBack returns when the caller should come back: after wanted, and so that
// enough of its time is left.
func (j *job) comeBack(wanted time.Duration) time.Duration {
	if wanted == 0 {
		wanted = retrySoon
	}
	return min(wanted, max(time.Until(j.endsAt)/callerPatience, retrySoon))
}

// later draws when a caller should come back that finds no room.
func (p *Proxy) later() time.Duration {
	part := leastRetry + (1-leastRetry)*p.cfg.Random()
	return time.Duration(part * float64(retryLater))
}

// codeFull is the reason when no endpoint has room.
const codeFull verdict.Code = "full"

// codeMisdirected is the reason when an address belongs to another endpoint.
const codeMisdirected verdict.Code = "misdirected"

// attempt sends the request to one endpoint.
func (p *Proxy) attempt(ctx context.Context, w http.ResponseWriter, j *job) *verdict.Error {
	lease, failure := p.pick(j)
	if failure != nil {
		return failure
	}
	j.tried = append(j.tried, lease.Record.ID)
	sent := time.Now()
	outcome := balance.Neutral
	defer func() { lease.Done(outcome, time.Now()) }()
	failure, outcome = p.exchange(ctx, w, j, lease)
	if outcome == balance.Failed && j.route.Kind == routes.Stream && lease.Silence(sent, time.Now()) > j.silenceLimit() {
		outcome = balance.Silent
	}
	if failure != nil {
		p.logAttempt(j, lease, failure)
	}
	return failure
}

// exchange sends the request by lease and passes the answer on.
func (p *Proxy) exchange(ctx context.Context, w http.ResponseWriter, j *job, lease *balance.Lease) (*verdict.Error, balance.Outcome) {
	x, failure := p.send(ctx, j, lease)
	if failure != nil {
		return failure, outcomeOf(failure)
	}
	defer x.Close()
	if x.NewConnection {
		p.cfg.Metrics.Connections.Inc(1)
	}
	if failure, outcome := p.check(j, x); failure != nil {
		return failure, outcome
	}
	if j.begun && x.Status != http.StatusOK {
		return verdict.NewError(verdict.MayHaveRun, verdict.CodeEngine, "status %d for the rest of a stream", x.Status), balance.Failed
	}
	if j.route.Kind == routes.Stream && x.Status == http.StatusOK {
		return p.stream(ctx, w, j, x, lease)
	}
	return p.whole(w, j, x)
}

func (p *Proxy) pick(j *job) (*balance.Lease, *verdict.Error) {
	q := &balance.Query{Service: j.service, Exclude: j.tried}
	if j.route.Kind == routes.Stream {
		q.Model = j.model
		q.MinVersion = p.cfg.Floor(j.model)
		q.Room = j.room()
		if j.begun {
			q.Room = anyRoom // it would be cut
		}
		q.Reading = j.reading()
		q.Resumed = len(j.tried) > 0
	}
	lease, shortage := p.cfg.Balancer.Pick(q, time.Now())
	if lease != nil {
		return lease, nil
	}
	if shortage == balance.AllFull {
		return nil, verdict.NewError(verdict.NotRun, codeFull, "all endpoints of %s are full", j.service).After(p.later())
	}
	return nil, verdict.NewError(verdict.NotRun, verdict.CodeNoEndpoint, "no endpoint of %s", j.service).After(p.later())
}

// reading returns the time that an engine takes to read the prompt.
func (j *job) reading() time.Duration {
	service := j.config.Services[j.service]
	if service == nil || service.Engine == nil || service.Engine.ReadPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(j.prompt) / service.Engine.ReadPerSecond * float64(time.Second))
}

// send sends the request with what differs from one endpoint to the next.
func (p *Proxy) send(ctx context.Context, j *job, lease *balance.Lease) (*upstream.Exchange, *verdict.Error) {
	names := &p.cfg.Headers
	q := *j.request
	q.Header = j.request.Header.Clone()
	q.Header.Set(names.Instance, lease.Record.ID)
	left := time.Until(j.endsAt)
	if left < time.Millisecond {
		return nil, verdict.NewError(verdict.NotRun, verdict.CodeDeadline, "no time left")
	}
	q.Header.Set(names.Deadline, strconv.FormatInt(left.Milliseconds(), 10))
	if j.lastEvent != "" {
		q.Header.Set(names.LastEvent, j.lastEvent)
	}
	if j.begun {
		q.Header.Set(names.Priority, strconv.Itoa(j.priority()))
	}
	fresh := !j.route.Repeatable() && len(j.tried) > 1
	return p.cfg.Client.Do(ctx, lease.Record.Addr, &q, upstream.Options{Fresh: fresh, GiveUp: p.giveUp(j, lease)})
}

// giveUp returns what tells that an endpoint is to be given up for another, or
// nil when the request can't go elsewhere.
func (p *Proxy) giveUp(j *job, lease *balance.Lease) func() bool {
	if !j.route.Repeatable() {
		return nil
	}
	sent := time.Now()
	last := len(j.tried) >= j.route.Attempts
	if j.route.Kind != routes.Stream {
		return func() bool { return !last && time.Since(sent) > plainAimFactor*j.route.Aim }
	}
	limit := j.silenceLimit()
	return func() bool {
		now := time.Now()
		switch {
		case !j.eventAt.After(sent) && lease.Holds(j.model) < p.cfg.Floor(j.model):
			return true // it would begin on weights that are too old
		case last:
			return false
		case lease.Silence(sent, now) > limit:
			return p.better(j, anyRoom, now)
		}
		return now.Sub(later(sent, j.eventAt)) > p.ownSilence(j) && p.better(j, idleRoom, now)
	}
}

// silenceLimit returns for how long an endpoint may say nothing on any stream.
func (j *job) silenceLimit() time.Duration {
	return max(gapFactor*j.route.GapAim, leastGap)
}

// anyRoom asks for an endpoint however busy it is.
const anyRoom = 0

// idleRoom is the load below which an endpoint is worth leaving another for.
const idleRoom = 0.8

// better returns whether the request could go on now at an endpoint with a load
// below room. Else its place is the best that there is.
func (p *Proxy) better(j *job, room float64, now time.Time) bool {
	q := &balance.Query{Service: j.service, Exclude: j.tried, Model: j.model, MinVersion: p.cfg.Floor(j.model), Room: room}
	return p.cfg.Balancer.Has(q, now) && p.cfg.Budget.Left(j.service, j.use(), now)
}

// use returns what a repetition of the request now would be for.
func (j *job) use() Use {
	if j.begun {
		return Resume
	}
	return Retry
}

// ownSilence returns for how long a stream may be silent although its endpoint
// talks on others: then its answer is lost.
func (p *Proxy) ownSilence(j *job) time.Duration {
	if j.begun {
		return max(lostFactor*j.route.GapAim, leastLost)
	}
	return max(lostFactor*j.route.Aim, leastLost)
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// plainAimFactor is how many times a plain route's aim may pass before a
// request that may be repeated is sent to another endpoint.
const plainAimFactor = 2

// outcomeOf returns what a failure of sending says of the endpoint.
func outcomeOf(e *verdict.Error) balance.Outcome {
	switch {
	case e.Code == verdict.CodeCanceled:
		return balance.Neutral
	case e.Verdict == verdict.NotRun:
		return balance.Unreachable
	}
	return balance.Failed
}

// check looks at the head of an answer and returns why it can't be passed on.
func (p *Proxy) check(j *job, x *upstream.Exchange) (*verdict.Error, balance.Outcome) {
	names := &p.cfg.Headers
	switch {
	case x.Status == http.StatusMisdirectedRequest:
		return verdict.NewError(verdict.NotRun, codeMisdirected, "another endpoint has the address"), balance.Misdirected
	case x.Header.Get(names.NotRun) != "":
		drainBody(x)
		return verdict.NewError(verdict.NotRun, verdict.CodeOverloaded, "refused by the endpoint with %d", x.Status), balance.Refused
	case x.Header.Get(names.RequestID) != j.id:
		return verdict.NewError(verdict.MayHaveRun, verdict.CodeCrossed, "answer to another request"), balance.Neutral
	case x.Status < http.StatusMultipleChoices && x.Header.Get(names.Stamp) == "":
		return verdict.NewError(verdict.MayHaveRun, verdict.CodeCut, "answer without a signature"), balance.Failed
	case promises[x.Status]:
		drainBody(x)
		return verdict.NewError(verdict.MayHaveRun, verdict.CodeEngine, "status %d of the endpoint", x.Status), balance.Failed
	}
	return nil, balance.Neutral
}

// promises are the statuses that tell a caller that a request was not run.
var promises = map[int]bool{
	http.StatusRequestTimeout:     true,
	http.StatusMisdirectedRequest: true,
	http.StatusTooManyRequests:    true,
	http.StatusServiceUnavailable: true,
}

// drainBody reads a short body so that the connection can be kept.
func drainBody(x *upstream.Exchange) {
	x.SetReadLimit(time.Now().Add(shortRead))
	_, _ = io.Copy(io.Discard, io.LimitReader(x, maxDrain))
}

const (
	maxDrain  = 16 << 10
	shortRead = 50 * time.Millisecond
)

// whole reads an answer whole and passes it on unchanged.
func (p *Proxy) whole(w http.ResponseWriter, j *job, x *upstream.Exchange) (*verdict.Error, balance.Outcome) {
	body, err := io.ReadAll(io.LimitReader(x, maxWhole))
	if err != nil {
		return verdict.Classify(verdict.Answering, err), balance.Failed
	}
	outcome := balance.Served
	if x.Status >= http.StatusInternalServerError {
		outcome = balance.Failed
	}
	if outcome == balance.Failed && j.route.Repeatable() && len(j.tried) < j.route.Attempts &&
		time.Until(j.endsAt) > leastTime {
		if failure := p.retryError(j, x); failure != nil {
			return failure, outcome
		}
	}
	copyHeader(w.Header(), x.Header)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	j.begun = true
	w.WriteHeader(x.Status)
	_, _ = w.Write(body)
	return nil, outcome
}

// retryError returns a failure if an error answer is worth another attempt.
func (p *Proxy) retryError(j *job, x *upstream.Exchange) *verdict.Error {
	q := &balance.Query{Service: j.service, Exclude: j.tried}
	if !p.cfg.Balancer.Has(q, time.Now()) {
		return nil
	}
	return verdict.NewError(verdict.MayHaveRun, verdict.CodeEngine, "status %d of the endpoint", x.Status)
}

// copyHeader copies an answer's header without what concerns one connection.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		if !connectionHeaders[name] {
			to[name] = values
		}
	}
}
