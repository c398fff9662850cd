package standin

import (
	"cmp"
	"fmt"
	"time"
)

// SettingsEnv is the environment variable that contains the path of the settings file.
const SettingsEnv = "SILVERDECK_CONFIG"

// ProcessSettings are the values in the settings file of a process.
type ProcessSettings struct {
	Name, Zone, IP string
	Ports          [2]int
	// Store is the address of the store.
	Store string
	// Callers, Ready and Directory are the listen addresses of a gateway for requests, for
	// readiness checks and for its directory.
	Callers, Ready, Directory string
	// Endpoint and Service are the address and the service of the endpoint of a sidecar.
	Endpoint, Service string
	// Places puts zone b into another region than zone a, and sets the limits on evacuations and
	// on cold endpoints.
	Places bool
}

// MemoryLimitMB is the memory limit in the settings, in megabytes.
const MemoryLimitMB = 200

// Limits in the settings of processes with Places.
const (
	// EvacuationLimit is the time after which an evacuated zone must get no more requests.
	EvacuationLimit = 2 * time.Second
	// ColdOverage and ColdSlack bound the requests to a cold endpoint within a second: ColdOverage
	// times what it bears, to which ColdSlack is added.
	ColdOverage = 1.5
	// ColdSlack is described at ColdOverage.
	ColdSlack = 5
)

// placesBounds are the bounds of processes with Places.
var placesBounds = fmt.Sprintf(", evacuate_ms: %d, cold_overage: %g, cold_slack: %d", EvacuationLimit.Milliseconds(), ColdOverage, ColdSlack)

const settingsFormat = `node: %q
zone: %q
region: %q
zones: {a: "east", b: %q}
ip: %q
internal_ports: [%d, %d]
listen: {front: %q, ready: %q, directory: %q}
app: %q
service: %q
limits: {memory_mb: %d, link_mbps: 1000}
bounds: {contact_ms: 3000, grace_s: 8, retry_budget_ratio: 0.2, retry_budget_extra: 100, budget_window_s: 10, version_ms: 8000, ttl_max_s: 5, drain_ms: 2000%s}
platform: {address: %q}
`

// File returns the contents of the settings file.
func (p *ProcessSettings) File() []byte {
	region, regionOfB, bounds := "east", "east", ""
	if p.Places {
		regionOfB, bounds = "west", placesBounds
		if p.Zone == "b" {
			region = regionOfB
		}
	}
	return fmt.Appendf(nil, settingsFormat, p.Name, p.Zone, region, regionOfB, p.IP, p.Ports[0], p.Ports[1],
		p.Callers, p.Ready, p.Directory, p.Endpoint, p.Service, MemoryLimitMB, bounds, p.Store)
}

// Route is a route in a Configuration.
type Route struct {
	Name, Host, Service string
	// Prefix is the path prefix of the route. The default is DefaultPathPrefix.
	Prefix string
	Stream bool
	// Priority is the rank of the route; 0 is the highest.
	Priority               int
	Timeout, LatencyTarget time.Duration
	// MaxAttempts is the number of endpoints that a request may be sent to, by default defaultAttempts.
	MaxAttempts int
	// AllowedRegions lists the only regions in which requests may be processed, if any.
	AllowedRegions []string
}

// Configuration contains the values that vary in the operator's configuration.
type Configuration struct {
	Version                           int64
	Routes                            []Route
	Model, ModelService, PlainService string
	Origin                            string
	Account, Key                      string
	// MaxBody is the size limit of a request body in bytes, by default defaultMaxBody.
	MaxBody int
	// OtherAccounts are the client accounts beside Account.
	OtherAccounts []Account
	// Engine describes the endpoints of ModelService.
	Engine Engine
	// ColdStart is how long endpoints of ModelService are cold after a start, and ColdPerSecond
	// the number of requests per second that they bear meanwhile; 0 for no limit.
	ColdStart     time.Duration
	ColdPerSecond float64
	// LoadTime is the time that endpoints of ModelService take to load weights, as RunnerConfig.LoadTime.
	LoadTime time.Duration
}

// Account is a client account.
type Account struct {
	Name, Key string
}

// Engine holds the figures of a service's engines. A figure of 0 is not stated.
type Engine struct {
	// Slots is the number of requests that run at once, Stride the number of steps between two
	// checks for queued requests.
	Slots, Stride int
	// StepMS is the time of one step, in milliseconds.
	StepMS float64
	// MeanPrompt and MeanAnswer are mean lengths, in tokens.
	MeanPrompt, MeanAnswer float64
}

// DefaultEngine is an engine of which little is stated.
var DefaultEngine = Engine{Slots: 16}

// DefaultRank is the usual rank of a route.
const DefaultRank = 1

// DefaultPathPrefix is the path prefix of routes without a Prefix.
const DefaultPathPrefix = "/go/"

// defaultAttempts is the default of Route.MaxAttempts.
const defaultAttempts = 2

// defaultMaxBody is the default of Configuration.MaxBody.
const defaultMaxBody = 1 << 16

type jsonObject = map[string]any

// Configure writes the operator's configuration, as the object "main" of the kind "config".
func (s *Store) Configure(c Configuration) {
	routes := []any{}
	for _, r := range c.Routes {
		routes = append(routes, r.spec())
	}
	s.Put("config", "main", jsonObject{
		"version": c.Version,
		"routes":  routes,
		"services": []any{
			jsonObject{"name": c.ModelService, "max_connections": 200, "cold_start_s": c.ColdStart.Seconds(), "cold_per_s": c.ColdPerSecond, "engine": jsonObject{
				"slots": c.Engine.Slots, "stride": c.Engine.Stride, "step_ms": c.Engine.StepMS, "usual": jsonObject{"prompt": c.Engine.MeanPrompt, "answer": c.Engine.MeanAnswer}, "read_per_s": 30000, "chunks": Chunks, "chunk_bytes": ChunkBytes,
				"models": []any{jsonObject{"name": c.Model, "warm_s": cmp.Or(c.LoadTime, defaultLoadTime).Seconds()}}}},
			jsonObject{"name": c.PlainService, "max_connections": 200},
			jsonObject{"name": "weights", "origin": c.Origin, "link_mbps": 1000},
		},
		"limits":  jsonObject{"max_body_bytes": cmp.Or(c.MaxBody, defaultMaxBody), "idle_timeout_ms": 15000},
		"tenants": c.accounts(),
	})
}

func (c *Configuration) accounts() []any {
	var out []any
	for _, a := range append([]Account{{Name: c.Account, Key: c.Key}}, c.OtherAccounts...) {
		out = append(out, jsonObject{"name": a.Name, "api_keys": []string{a.Key}})
	}
	return out
}

func (r *Route) spec() jsonObject {
	kind := "unsafe"
	if r.Stream {
		kind = "streaming"
	}
	prefix := r.Prefix
	if prefix == "" {
		prefix = DefaultPathPrefix
	}
	return jsonObject{"name": r.Name, "hostname": r.Host, "path_prefix": prefix, "kind": kind, "service": r.Service,
		"timeout_ms": r.Timeout.Milliseconds(), "target_latency_ms": r.LatencyTarget.Milliseconds(), "gap_target_ms": 300,
		"max_attempts": cmp.Or(r.MaxAttempts, defaultAttempts), "priority": r.Priority, "stream_resume": r.Stream, "allowed_regions": r.regions()}
}

// regions returns the allowed regions; a route without any has an empty list.
func (r *Route) regions() []string {
	return append([]string{}, r.AllowedRegions...)
}

// Evacuate asks that the endpoints of an availability zone get no requests, or takes that back.
func (s *Store) Evacuate(zone string, evacuated bool) {
	if evacuated {
		s.Put("evacuations", zone, jsonObject{})
		return
	}
	s.Delete("evacuations", zone)
}

// SetModelVersion writes the version of the weights that a model is to have.
func (s *Store) SetModelVersion(model string, version int64) {
	s.Put("versions", model, jsonObject{"model": model, "version": version})
}
