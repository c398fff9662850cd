// Package proxy takes callers' requests, chooses endpoints and brings the answers
// back: each request's own answer, whole, or a failure that says truthfully
// whether the request may have run.
package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/silverdeck/silverdeck/drain"
	"github.com/silverdeck/silverdeck/gateway/balance"
	"github.com/silverdeck/silverdeck/gateway/header"
	"github.com/silverdeck/silverdeck/gateway/upstream"
	"github.com/silverdeck/silverdeck/routes"
	"github.com/silverdeck/silverdeck/verdict"
)

// Config holds a Proxy's parts and settings.
type Config struct {
	// Headers are the names of headers on the wire.
	Headers  header.Names
	Balancer *balance.Balancer
	Client   *upstream.Client
	Budget   *Budget
	Metrics  *Metrics
	Log      *log.Logger
	// Floor returns the version of a model below which no request may begin.
	Floor  func(model string) int64
	Random func() float64
}

// Proxy serves callers' requests. It is safe for concurrent use.
type Proxy struct {
	cfg     Config
	routes  atomic.Pointer[routes.Config]
	running *drain.Tracker
	leaving atomic.Bool
}

// New returns a Proxy without a configuration.
func New(cfg Config) *Proxy {
	return &Proxy{cfg: cfg, running: drain.NewTracker()}
}

// Use puts c in force for requests that come from now on. An older version
// than the one in force is ignored.
func (p *Proxy) Use(c *routes.Config) bool {
	for {
		old := p.routes.Load()
		if old != nil && (c.Revision <= old.Revision || c.Version < old.Version) {
			return false
		}
		if p.routes.CompareAndSwap(old, c) {
			return true
		}
	}
}

// Routes returns the configuration in force, or nil.
func (p *Proxy) Routes() *routes.Config {
	return p.routes.Load()
}

// Leave makes answers end their connections.
func (p *Proxy) Leave() {
	p.leaving.Store(true)
}

// Running tells of the requests in progress.
func (p *Proxy) Running() *drain.Tracker {
	return p.running
}

// job is one caller's request on its way.
type job struct {
	id      string
	config  *routes.Config
	route   *routes.Route
	account *routes.Account
	service string
	request *upstream.Request
	// model is the model that the caller names, if any.
	model string
	// prompt is how many tokens the engine must read first.
	prompt  int
	started time.Time
	// endsAt is when the caller or the route gives up.
	endsAt time.Time
	// tried are the endpoints that had the request, by ID.
	tried []string
	// lastEvent is the last event that the caller got whole.
	lastEvent string
	// firstEvent is the time to a stream's first event, longestGap the longest
	// pause after it.
	firstEvent, longestGap time.Duration
	eventAt                time.Time
	// begun is set once the answer's head was sent to the caller.
	begun bool
	// ran is set once the request may have run somewhere.
	ran bool
}

// Refusals.
const (
	retrySoon = 300 * time.Millisecond
	// retryLater is when a caller should come back at the latest if all endpoints
	// are full, or if there is none: new ones take some seconds. Callers are told
	// times between leastRetry of it and all of it, so that those who were refused
	// together do not come back together.
	retryLater = 2 * time.Second
	leastRetry = 0.2
	// callerPatience is the part of their time that callers wait: a third.
	callerPatience = 3
	retryNoRoute   = time.Second
	// defaultDeadline stands for a caller that tells none.
	defaultDeadline = 30 * time.Second
	defaultBody     = 4 << 20
)

// errTimeout is the cause with which a request ends at its time limit.
var errTimeout = context.DeadlineExceeded

// ServeHTTP implements http.Handler.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.running.Enter()
	defer p.running.Leave()
	if p.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	j, failure := p.accept(w, r)
	if failure != nil {
		p.fail(w, j, failure)
		return
	}
	ctx, cancel := context.WithDeadlineCause(r.Context(), j.endsAt, errTimeout)
	defer cancel()
	p.cfg.Budget.Request(j.service, j.started)
	failure = p.run(ctx, w, j)
	if failure == nil {
		p.served(j)
		return
	}
	p.fail(w, j, failure)
}

// accept checks a request against the configuration and reads its body.
func (p *Proxy) accept(w http.ResponseWriter, r *http.Request) (*job, *verdict.Error) {
	names := &p.cfg.Headers
	j := &job{id: r.Header.Get(names.RequestID), started: time.Now(), config: p.routes.Load()}
	if j.config == nil {
		return j, verdict.NewError(verdict.NotRun, verdict.CodeNoEndpoint, "no configuration yet").After(retryNoRoute)
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	j.route = j.config.Match(r.Host, path)
	if j.route == nil {
		return j, verdict.NewError(verdict.NotRun, verdict.CodeNotFound, "no route for %s%s", r.Host, path)
	}
	if !j.route.Public && j.config.NeedsKeys() {
		j.account = j.config.Account(r.Header.Get(names.Key))
		if j.account == nil {
			return j, verdict.NewError(verdict.NotRun, verdict.CodeUnauthorized, "unknown key")
		}
	}
	body, failure := readBody(w, r, j.config.Limits.BodyBytes)
	if failure != nil {
		return j, failure
	}
	j.service = j.route.Target(p.cfg.Random())
	j.model = r.Header.Get(names.Model)
	j.prompt = promptTokens(r.Header.Get(names.Tokens))
	j.lastEvent = r.Header.Get(names.LastEvent)
	j.endsAt = j.started.Add(min(callerDeadline(r.Header.Get(names.Deadline)), j.route.Timeout))
	j.request = &upstream.Request{Method: r.Method, URI: r.RequestURI, Host: r.Host, Header: p.forwardHeader(r.Header, j), Body: body}
	return j, nil
}

func readBody(w http.ResponseWriter, r *http.Request, limit int) ([]byte, *verdict.Error) {
	if limit <= 0 {
		limit = defaultBody
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(limit)))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, verdict.NewError(verdict.NotRun, codeTooLarge, "body of more than %d bytes", limit)
	}
	if err != nil {
		return nil, verdict.NewError(verdict.NotRun, verdict.CodeCanceled, "body not whole").Because(err)
	}
	return body, nil
}

func callerDeadline(s string) time.Duration {
	ms, err := strconv.ParseFloat(s, 64)
	if err != nil || ms <= 0 {
		return defaultDeadline
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// promptTokens returns the first number of a header of token counts, or 0.
func promptTokens(s string) int {
	first, _, _ := strings.Cut(s, ",")
	n, err := strconv.Atoi(strings.TrimSpace(first))
	if err != nil || n < 0 {
		return 0
	}
	return n
}

// forwardHeader returns the header for endpoints, without what differs from
// one endpoint to the next.
func (p *Proxy) forwardHeader(h http.Header, j *job) http.Header {
	names := &p.cfg.Headers
	out := http.Header{}
	for name, values := range h {
		if !connectionHeaders[name] {
			out[name] = values
		}
	}
	for _, name := range strings.Split(h.Get("Connection"), ",") {
		if name = strings.TrimSpace(name); name != "" {
			out.Del(name)
		}
	}
	for _, name := range []string{names.Key, names.Account, names.Instance, names.Priority, names.Version} {
		out.Del(name)
	}
	if j.account != nil {
		out.Set(names.Account, j.account.Name)
	}
	if j.route.Kind == routes.Stream {
		out.Set(names.Priority, strconv.Itoa(j.priority()))
	}
	return out
}

// connectionHeaders concern a single connection, or are set anew.
var connectionHeaders = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Connection":    true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"Content-Length":      true,
	"Expect":              true,
}

// codeTooLarge is the reason of a body over the limit.
const codeTooLarge verdict.Code = "too_large"

// status returns the HTTP status for a failure. A promise that a request was
// not run is given only with a verdict that says so.
func status(e *verdict.Error) int {
	switch e.Code {
	case verdict.CodeNotFound:
		return http.StatusNotFound
	case verdict.CodeUnauthorized:
		return http.StatusUnauthorized
	case verdict.CodeBadRequest:
		return http.StatusBadRequest
	case codeTooLarge:
		return http.StatusRequestEntityTooLarge
	}
	if e.Verdict == verdict.NotRun {
		return http.StatusServiceUnavailable
	}
	if e.Code == verdict.CodeDeadline {
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// fail gives the caller a final answer that is not an endpoint's.
func (p *Proxy) fail(w http.ResponseWriter, j *job, e *verdict.Error) {
	p.logFailure(j, e)
	if j.begun {
		panic(http.ErrAbortHandler)
	}
	h := w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set(p.cfg.Headers.RequestID, j.id)
	h.Set(verdict.Header, e.Verdict.String())
	if status(e) == http.StatusServiceUnavailable && e.RetryAfter > 0 {
		h.Set(p.cfg.Headers.RetryAfter, strconv.FormatFloat(e.RetryAfter.Seconds(), 'f', 3, 64))
	}
	message := string(e.Code) + ": " + e.Detail + "\n"
	h.Set("Content-Length", strconv.Itoa(len(message)))
	w.WriteHeader(status(e))
	_, _ = io.WriteString(w, message)
}
