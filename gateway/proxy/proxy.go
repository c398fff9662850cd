// Package proxy takes callers' requests, chooses endpoints and brings the answers
// back: each request's own answer, whole, or a failure that says truthfully
// whether the request may have run.
//
// It owns the configuration in force and the count of requests in progress. What
// it decides stands in package policy, what endpoint it takes in package balance;
// connections are package upstream's. Each request has a goroutine of its own,
// that of its caller's connection, and a call that no other goroutine sees.
package proxy

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/silverdeck/silverdeck/drain"
	"github.com/silverdeck/silverdeck/gateway/advisory"
	"github.com/silverdeck/silverdeck/gateway/balance"
	"github.com/silverdeck/silverdeck/gateway/header"
	"github.com/silverdeck/silverdeck/gateway/poison"
	"github.com/silverdeck/silverdeck/gateway/policy"
	"github.com/silverdeck/silverdeck/gateway/upstream"
	"github.com/silverdeck/silverdeck/roster"
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
	// MinVersion returns the version of a model below which no request may begin.
	MinVersion func(model string) int64
	// Newest returns the newest version of a model that was named, or 0; nil means that none
	// ever is.
	Newest func(model string) int64
	// WeightsEnd returns from when on no request may begin on a version of a model,
	// or false while that is not known.
	WeightsEnd func(model string, version int64) (time.Time, bool)
	// ReadAdvisory reads what the head of an answer says of its endpoint; nil means that it
	// says nothing.
	ReadAdvisory func(status int, h http.Header) advisory.Advisory
	// Poison is what is known of requests under which endpoints ended.
	Poison *poison.Table
	// Trial asks for the lease on a suspected request for at most d, and returns whether it
	// was given and what ends it.
	Trial func(ctx context.Context, k poison.Key, d time.Duration) (end func(), given bool)
	// AskToken asks for one request at an endpoint that another gateway holds, and returns
	// whether it may be sent now; nil means that none ever is.
	AskToken func(ctx context.Context, l roster.Life) bool
	// Random returns a number from [0, 1).
	Random func() float64
}

// Proxy serves callers' requests. It is safe for concurrent use.
type Proxy struct {
	cfg     Config
	routes  atomic.Pointer[routes.Config]
	running *drain.Tracker
	// leaving is when the process ends that was told to stop, or nil.
	leaving atomic.Pointer[time.Time]
	// ending ends with all requests in progress.
	ending context.Context
	// End ends the requests in progress: those without the head of an answer get one.
	End context.CancelFunc
	// patience tells late callers from others, refusals when a service was full.
	patience *patience
	refusals *refusals
	// ends finds out which endpoints have ended.
	ends *ends
}

// New returns a Proxy without a configuration.
func New(cfg Config) *Proxy {
	if cfg.Newest == nil {
		cfg.Newest = func(string) int64 { return 0 }
	}
	if cfg.ReadAdvisory == nil {
		cfg.ReadAdvisory = func(int, http.Header) advisory.Advisory { return advisory.Advisory{Limit: advisory.Unknown{}} }
	}
	if cfg.AskToken == nil {
		cfg.AskToken = func(context.Context, roster.Life) bool { return false }
	}
	p := &Proxy{cfg: cfg, running: drain.NewTracker(), patience: newPatience(), refusals: newRefusals(), ends: newEnds(cfg.Client.Refuses)}
	p.ending, p.End = context.WithCancel(context.Background())
	return p
}

// Supersedes returns whether c is newer than the configuration in force.
func (p *Proxy) Supersedes(c *routes.Config) bool {
	return supersedes(c, p.routes.Load())
}

func supersedes(c, old *routes.Config) bool {
	return old == nil || (c.Revision > old.Revision && c.Version >= old.Version)
}

// Use puts c in force for requests that come from now on. An older version
// than the one in force is ignored.
func (p *Proxy) Use(c *routes.Config) bool {
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

// Leave makes answers end their connections. From now on only requests are taken whose time
// is over by end, when the process stops waiting for them.
func (p *Proxy) Leave(end time.Time) {
	p.leaving.Store(&end)
}

// takes returns whether a request with a deadline is taken.
func (p *Proxy) takes(deadline time.Time) bool {
	end := p.leaving.Load()
	return end == nil || policy.AcceptsDuringShutdown(deadline, *end)
}

// Running tells of the requests in progress.
func (p *Proxy) Running() *drain.Tracker {
	return p.running
}

// ServeHTTP implements http.Handler.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.running.Enter()
	defer p.running.Leave()
	if p.leaving.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	c, failure := p.accept(w, r)
	if failure == nil {
		failure = p.serve(r.Context(), w, c)
	}
	if failure != nil {
		p.fail(w, c, failure)
		return
	}
	p.served(c)
}

// serve runs an accepted call within its time and counts it for the retry budget.
func (p *Proxy) serve(ctx context.Context, w http.ResponseWriter, c *call) *verdict.Error {
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	ctx, end := context.WithCancelCause(ctx)
	defer context.AfterFunc(p.ending, func() { end(context.DeadlineExceeded) })()
	p.cfg.Budget.Request(c.service, c.startedAt)
	return p.run(ctx, w, c)
}
