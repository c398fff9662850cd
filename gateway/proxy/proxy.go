// Package proxy forwards callers' requests to endpoints and relays the responses. Every request
// gets either the complete response that belongs to it or an error that states truthfully
// whether the request may have run.
//
// The package owns the configuration in force and counts the requests in progress. Package
// policy makes the decisions, package balance selects endpoints, and package upstream manages
// connections. Each request is handled by the goroutine of its caller's connection; its call is
// not shared with other goroutines, except for what a hedge reads.
package proxy

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/silverdeck/silverdeck/drain"
	"github.com/silverdeck/silverdeck/gateway/admission"
	"github.com/silverdeck/silverdeck/gateway/advisory"
	"github.com/silverdeck/silverdeck/gateway/balance"
	"github.com/silverdeck/silverdeck/gateway/header"
	"github.com/silverdeck/silverdeck/gateway/poison"
	"github.com/silverdeck/silverdeck/gateway/policy"
	"github.com/silverdeck/silverdeck/gateway/upstream"
	"github.com/silverdeck/silverdeck/mirror"
	"github.com/silverdeck/silverdeck/roster"
	"github.com/silverdeck/silverdeck/routes"
	"github.com/silverdeck/silverdeck/verdict"
)

// Config holds the dependencies and settings of a Proxy.
type Config struct {
	// Headers are the header names used on the wire.
	Headers  header.Names
	Balancer *balance.Balancer
	Client   *upstream.Client
	Budget   *Budget
	Metrics  *Metrics
	Log      *log.Logger
	// MinVersion returns the oldest version of a model on which a request may begin.
	MinVersion func(model string) int64
	// NewestVersion returns the newest announced version of a model, or 0 if there is none. If
	// nil, no version is ever announced.
	NewestVersion func(model string) int64
	// WeightsDeadline returns the time from which no request may begin on a version of a model,
	// or false while that time is unknown.
	WeightsDeadline func(model string, version int64) (time.Time, bool)
	// ReadAdvisory parses what the head of a response states about its endpoint. If nil,
	// responses state nothing.
	ReadAdvisory func(status int, h http.Header) advisory.Advisory
	// ReadSharedParts returns the parts of a request's prompt that other requests may share. If nil,
	// there are none.
	ReadSharedParts func(h http.Header) []poison.PartID
	// Poison records the requests under which endpoints crashed.
	Poison *poison.Table
	// AcquireTrial asks for the lease with key k on a request with the given parts of the prompt, for at
	// most d. It returns whether the lease was granted and a function that releases it.
	AcquireTrial func(ctx context.Context, k poison.Key, parts []poison.Key, d time.Duration) (release func(), granted bool)
	// Gate admits requests while endpoints can't serve all; nil admits all.
	Gate *admission.Gate
	// Memory bounds the bodies that are held at the same time; nil for no limit.
	Memory *Memory
	// RequestToken asks the gateway that holds an endpoint for permission to send one request to it,
	// and returns whether it was granted and the time after which the request may be sent. If nil,
	// permission is never granted.
	RequestToken func(ctx context.Context, l roster.Incarnation) (opensIn time.Duration, granted bool)
	// Random returns a random number in [0, 1).
	Random func() float64
}

// Proxy serves callers' requests. It is safe for concurrent use.
type Proxy struct {
	cfg      Config
	routes   atomic.Pointer[routes.Config]
	inFlight *drain.Tracker
	// shutdown is set once this process was told to stop, before shutdownCtx is canceled by beginShutdown.
	shutdown      atomic.Pointer[shutdown]
	shutdownCtx   context.Context
	beginShutdown context.CancelFunc
	// stopCtx is canceled to end all requests in progress.
	stopCtx context.Context
	// CancelRequests cancels the requests in progress. Callers that have not received a response
	// head get an error response.
	CancelRequests context.CancelFunc
	// callerTimeouts estimates how long callers have been waiting; refusals records when a service
	// was last full.
	callerTimeouts *timeoutTracker
	refusals       *refusals
	// crashes determines which endpoints have crashed.
	crashes *crashDetector
}

// New returns a Proxy that has no configuration yet.
func New(cfg Config) *Proxy {
	if cfg.NewestVersion == nil {
		cfg.NewestVersion = func(string) int64 { return 0 }
	}
	if cfg.ReadAdvisory == nil {
		cfg.ReadAdvisory = func(int, http.Header) advisory.Advisory { return advisory.Advisory{Limit: advisory.Unknown{}} }
	}
	if cfg.ReadSharedParts == nil {
		cfg.ReadSharedParts = func(http.Header) []poison.PartID { return nil }
	}
	if cfg.RequestToken == nil {
		cfg.RequestToken = func(context.Context, roster.Incarnation) (time.Duration, bool) { return 0, false }
	}
	p := &Proxy{cfg: cfg, inFlight: drain.NewTracker(), callerTimeouts: newTimeoutTracker(), refusals: newRefusals(), crashes: newCrashDetector(cfg.Client.CheckLiveness)}
	p.stopCtx, p.CancelRequests = context.WithCancel(context.Background())
	p.shutdownCtx, p.beginShutdown = context.WithCancel(context.Background())
	return p
}

// Supersedes reports whether c is newer than the configuration in force.
func (p *Proxy) Supersedes(c *routes.Config) bool {
	return supersedes(c, p.routes.Load())
}

// supersedes reports whether c replaces old. A store that returned from a copy may list an older version
// than the one in force, which then stays in force.
func supersedes(c, old *routes.Config) bool {
	return old == nil || (positionOf(c).After(positionOf(old)) && c.Version >= old.Version)
}

// positionOf returns the position of a configuration in the store.
func positionOf(c *routes.Config) mirror.Position {
	return mirror.Position{Era: c.Era, Revision: c.Revision}
}

// SetConfig puts c in force for subsequent requests and reports whether it did. A configuration
// that is not newer than the one in force is ignored.
func (p *Proxy) SetConfig(c *routes.Config) bool {
	for {
		old := p.routes.Load()
		if !supersedes(c, old) {
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

// shutdown is the time of a planned stop of this process.
type shutdown struct {
	began time.Time
	// end is when the process stops waiting for requests.
	end time.Time
}

// BeginShutdown makes responses close their connections. From now on the proxy accepts only
// requests whose deadline is no later than end, when the process stops waiting for them.
func (p *Proxy) BeginShutdown(end time.Time) {
	p.shutdown.Store(&shutdown{began: time.Now(), end: end})
	p.beginShutdown()
}

// acceptsDeadline reports whether a request with the given deadline is accepted.
func (p *Proxy) acceptsDeadline(deadline time.Time) bool {
	s := p.shutdown.Load()
	return s == nil || policy.AcceptsDuringShutdown(deadline, s.end)
}

// Running returns the tracker of requests in progress.
func (p *Proxy) Running() *drain.Tracker {
	return p.inFlight
}

// ServeHTTP implements http.Handler.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.inFlight.Enter()
	defer p.inFlight.Leave()
	if p.shutdown.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	c, failure := p.accept(w, r)
	defer c.held.release()
	if failure == nil {
		failure = p.serve(r.Context(), w, c)
	}
	if failure != nil {
		p.fail(w, c, failure)
		return
	}
	c.endResponse()
	p.recordServed(c)
}

// serve runs an accepted call until its deadline and counts it for the retry budget.
func (p *Proxy) serve(ctx context.Context, w http.ResponseWriter, c *call) *verdict.Error {
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	ctx, cancelCause := context.WithCancelCause(ctx)
	defer context.AfterFunc(p.stopCtx, func() { cancelCause(context.DeadlineExceeded) })()
	p.cfg.Budget.Request(c.service, c.startedAt)
	return p.run(ctx, w, c)
}
