// Package routes holds the routing configuration: hosts and path prefixes, the services behind
// them, client accounts and limits. It also derives times and queue lengths from a service's
// engine parameters (estimate.go).
//
// The platform package builds a Config, which is immutable afterwards and safe for concurrent
// use.
package routes

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Kind determines whether the requests of a route may be retried.
type Kind int

// Kinds of routes.
const (
	// Unsafe requests must run at most once.
	Unsafe Kind = iota
	// Safe requests may run more than once.
	Safe
	// Stream requests are answered by a series of events.
	Stream
)

// Target is a service that receives a share of a route's requests.
type Target struct {
	Service string
	// Weight is the share relative to the weights of the other targets.
	Weight int
}

// Route configures requests to a host whose path starts with a prefix.
type Route struct {
	Name, Host, Prefix string
	Kind               Kind
	// Timeout is the longest time for which a request is held.
	Timeout time.Duration
	// LatencyTarget is the time within which a response, or a stream's first event, is in time.
	LatencyTarget time.Duration
	// GapTarget is the longest pause between the events of a stream that is still in time.
	GapTarget time.Duration
	// Attempts is the maximum number of endpoints to which a request is sent.
	Attempts int
	// Priority ranks the route; 0 is the highest.
	Priority int
	// Public routes require no key.
	Public bool
	// Resume is set if an interrupted stream may continue at another endpoint.
	Resume bool
	// AllowedRegions lists the only regions in which requests may be processed; none restricts
	// nothing.
	AllowedRegions []string
	Targets        []Target
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || (r.Kind == Stream && r.Resume)
}

// Target returns the service selected by draw, a number in [0, 1).
func (r *Route) Target(draw float64) string {
	if len(r.Targets) == 0 {
		return ""
	}
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	left := draw * float64(total)
	for _, t := range r.Targets {
		left -= float64(t.Weight)
		if left < 0 {
			return t.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Engine describes a service's model engines, as configured.
type Engine struct {
	// Slots is the number of requests in a full batch.
	Slots int
	// StepTime is the base time of one token step; each request in the batch adds
	// StepTimePerRequest.
	StepTime, StepTimePerRequest time.Duration
	// StepTimePerContext is what each request adds for 1,000 tokens of its prompt and answer.
	StepTimePerContext time.Duration
	// Stride is the number of steps between two checks for queued requests.
	Stride int
	// PrefillTokensPerSecond is the prefill rate.
	PrefillTokensPerSecond float64
	// PrefillTimePerPairs is what a million pairs of a token and a preceding one add to a
	// prefill.
	PrefillTimePerPairs time.Duration
	// MeanPromptTokens and MeanAnswerTokens are the mean lengths of prompts and answers.
	MeanPromptTokens, MeanAnswerTokens float64
	// Models lists the models that the engines run.
	Models []string
}

// Service is a group of interchangeable endpoints.
type Service struct {
	// Engine is nil for services without model engines.
	Engine *Engine
	// Origin is the address of an origin of weights, or empty for other services.
	Origin string
	// LinkMbps is the bandwidth of an origin's link, in megabits per second.
	LinkMbps float64
	// ColdStart is how long an endpoint is cold after a start, and ColdPerSecond the number of
	// requests per second that it bears meanwhile; 0 if there is no such limit.
	ColdStart     time.Duration
	ColdPerSecond float64
}

// Account is a client account.
type Account struct {
	Name string
	// Priority takes precedence over that of the route if Ranked.
	Priority int
	Ranked   bool
	// AllowedRegions is as in Route. If both are set, both apply.
	AllowedRegions []string
}

// Limits bounds callers' requests and connections. A value of 0 means that none is configured.
type Limits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}

// Config is one version of the configuration.
type Config struct {
	// Version is the operator's version number, Revision the store's revision in era Era.
	Version, Revision, Era int64
	Services               map[string]*Service
	Limits                 Limits
	hosts                  map[string][]*Route
	accounts               map[string]*Account
	// longestTargets and longestTimeouts hold the longest latency target and timeout of the
	// streams that each service answers.
	longestTargets, longestTimeouts map[string]time.Duration
	// shortestGaps holds the shortest gap target of the streams that each service answers.
	shortestGaps map[string]time.Duration
}

// New returns a Config with the given routes, and accounts by key. With nil accounts, no
// request needs a key.
func New(list []*Route, accounts map[string]*Account) *Config {
	c := &Config{
		Services: map[string]*Service{}, hosts: map[string][]*Route{}, accounts: accounts,
		longestTargets: map[string]time.Duration{}, longestTimeouts: map[string]time.Duration{},
		shortestGaps: map[string]time.Duration{},
	}
	for _, r := range list {
		c.hosts[r.Host] = append(c.hosts[r.Host], r)
		if r.Kind != Stream {
			continue
		}
		for _, t := range r.Targets {
			c.longestTargets[t.Service] = max(c.longestTargets[t.Service], r.LatencyTarget)
			c.longestTimeouts[t.Service] = max(c.longestTimeouts[t.Service], r.Timeout)
			if gap := c.shortestGaps[t.Service]; r.GapTarget > 0 && (gap == 0 || r.GapTarget < gap) {
				c.shortestGaps[t.Service] = r.GapTarget
			}
		}
	}
	for _, rs := range c.hosts {
		slices.SortStableFunc(rs, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return c
}

// Match returns the route for host and path, or nil. It ignores a port in host.
func (c *Config) Match(host, path string) *Route {
	for _, r := range c.hosts[hostName(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// RegionsOfHost returns the lists of allowed regions of the routes of a host that have one. It
// ignores a port in host.
func (c *Config) RegionsOfHost(host string) [][]string {
	var out [][]string
	for _, r := range c.hosts[hostName(host)] {
		if len(r.AllowedRegions) > 0 {
			out = append(out, r.AllowedRegions)
		}
	}
	return out
}

// HasUnrestrictedRoute reports whether a host has a route that allows all regions. It ignores a
// port in host.
func (c *Config) HasUnrestrictedRoute(host string) bool {
	return slices.ContainsFunc(c.hosts[hostName(host)], func(r *Route) bool { return len(r.AllowedRegions) == 0 })
}

// hostName returns a host in lower case and without its port.
func hostName(host string) string {
	if at := strings.LastIndexByte(host, ':'); at >= 0 {
		host = host[:at]
	}
	return strings.ToLower(host)
}

// LongestTarget returns the longest latency target of the streams that service answers.
func (c *Config) LongestTarget(service string) time.Duration {
	return c.longestTargets[service]
}

// ShortestGapTarget returns the shortest gap target of the streams that service answers, or 0 if
// none has one.
func (c *Config) ShortestGapTarget(service string) time.Duration {
	return c.shortestGaps[service]
}

// AnswerTime returns how long an endpoint of a service usually takes to generate an answer,
// derived from its engine parameters. If these are not configured, it returns the longest
// timeout of the service's streams, which bounds any answer. It returns 0 for services
// without an engine.
func (c *Config) AnswerTime(service string) time.Duration {
	s := c.Services[service]
	if s == nil || s.Engine == nil {
		return 0
	}
	if d := s.Engine.AnswerTime(); d > 0 {
		return d
	}
	return c.longestTimeouts[service]
}

// Account returns the account that has key, or nil.
func (c *Config) Account(key string) *Account {
	return c.accounts[key]
}

// NeedsKeys reports whether requests on routes that are not public must carry a key.
func (c *Config) NeedsKeys() bool {
	return c.accounts != nil
}
