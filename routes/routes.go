// Package routes holds the configuration by which requests are routed: hosts and
// path prefixes, the services behind them, client accounts and limits; and what
// follows from a service's engines (estimate.go).
//
// It owns nothing and relies on nothing: the platform's adapter builds a Config,
// which does not change afterwards, so that any goroutine may read it.
package routes

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Kind says how the requests of a route may be repeated.
type Kind int

// The kinds of routes.
const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests may run more than once.
	Safe
	// Stream requests are answered by a series of events.
	Stream
)

// Target is a service that gets a share of a route's requests.
type Target struct {
	Service string
	// Weight is the share, relative to the other targets' weights.
	Weight int
}

// Route tells what becomes of requests for a host whose path begins with a prefix.
type Route struct {
	Name, Host, Prefix string
	Kind               Kind
	// Timeout is the longest time that a request is held.
	Timeout time.Duration
	// LatencyTarget is the time within which an answer is in time; for streams, its
	// first event.
	LatencyTarget time.Duration
	// GapTarget is the longest pause between events of a stream in time.
	GapTarget time.Duration
	// Attempts is the largest number of endpoints that one request is sent to.
	Attempts int
	// Priority ranks the route; 0 is the highest.
	Priority int
	// Public routes need no key.
	Public bool
	// Resume says that a stream may go on at another endpoint.
	Resume  bool
	Targets []Target
}

// Repeatable says whether a request of the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || (r.Kind == Stream && r.Resume)
}

// Target returns the service for a draw from [0, 1).
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

// Engine is what the configuration tells of a service's model engines.
type Engine struct {
	// Slots is how many requests run in one batch.
	Slots int
	// Step is the time of one token step, PerRequest what each request in the batch adds.
	Step, PerRequest time.Duration
	// Stride is how many steps are made between two looks at what waits.
	Stride int
	// ReadPerSecond is how many prompt tokens are read in a second.
	ReadPerSecond float64
	// UsualPrompt and UsualAnswer are mean numbers of tokens.
	UsualPrompt, UsualAnswer float64
	// Models are the names of the models that the engines run.
	Models []string
}

// Service is a group of endpoints that serve the same.
type Service struct {
	// Engine is nil for a plain service.
	Engine *Engine
	// Origin is the address of an origin of weights; empty for other services.
	Origin string
	// LinkMbps is the bandwidth of an origin, in megabits a second.
	LinkMbps float64
}

// Account is a client account.
type Account struct {
	Name string
	// Priority takes precedence over that of the route if Ranked.
	Priority int
	Ranked   bool
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes, BodyBytes     int
	HeaderTimeout, IdleTimeout time.Duration
}

// Config is one version of the configuration.
type Config struct {
	// Version is the operator's, Revision the store's number of it.
	Version, Revision int64
	Services          map[string]*Service
	Limits            Limits
	hosts             map[string][]*Route
	accounts          map[string]*Account
	// longestTargets are the longest latency targets of streams, longestTimeouts the longest
	// times for which they are held, by service.
	longestTargets, longestTimeouts map[string]time.Duration
}

// New returns a Config of routes and of accounts by key.
func New(list []*Route, accounts map[string]*Account) *Config {
	c := &Config{
		Services: map[string]*Service{}, hosts: map[string][]*Route{}, accounts: accounts,
		longestTargets: map[string]time.Duration{}, longestTimeouts: map[string]time.Duration{},
	}
	for _, r := range list {
		c.hosts[r.Host] = append(c.hosts[r.Host], r)
		if r.Kind != Stream {
			continue
		}
		for _, t := range r.Targets {
			c.longestTargets[t.Service] = max(c.longestTargets[t.Service], r.LatencyTarget)
			c.longestTimeouts[t.Service] = max(c.longestTimeouts[t.Service], r.Timeout)
		}
	}
	for _, rs := range c.hosts {
		slices.SortStableFunc(rs, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return c
}

// Match returns the route for host and path, or nil. A port in host is ignored.
func (c *Config) Match(host, path string) *Route {
	if at := strings.LastIndexByte(host, ':'); at >= 0 {
		host = host[:at]
	}
	for _, r := range c.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// LongestTarget returns the longest latency target of the streams that a service answers.
func (c *Config) LongestTarget(service string) time.Duration {
	return c.longestTargets[service]
}

// AnswerTime returns how long an endpoint of a service usually writes an answer, as its
// engine is described. Where that is not told, it is the longest for which a stream of the
// service is held, which no answer outlasts; 0 where the service has no engine.
func (c *Config) AnswerTime(service string) time.Duration {
	s := c.Services[service]
	if s == nil || s.Engine == nil {
		return 0
	}
	if told := s.Engine.AnswerTime(); told > 0 {
		return told
	}
	return c.longestTimeouts[service]
}

// Account returns the account that holds key, or nil.
func (c *Config) Account(key string) *Account {
	return c.accounts[key]
}

// NeedsKeys says whether requests on routes that are not public must carry a key.
func (c *Config) NeedsKeys() bool {
	return c.accounts != nil
}
