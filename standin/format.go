package standin

import (
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
}

// MemoryLimitMB is the memory limit in the settings, in megabytes.
const MemoryLimitMB = 200

const settingsFormat = `node: %q
zone: %q
region: "east"
zones: {a: "east", b: "east"}
ip: %q
internal_ports: [%d, %d]
listen: {front: %q, ready: %q, directory: %q}
app: %q
service: %q
limits: {memory_mb: %d, link_mbps: 1000}
bounds: {grace_s: 8, retry_budget_ratio: 0.2, retry_budget_extra: 100, budget_window_s: 10, version_ms: 8000, ttl_max_s: 5, drain_ms: 2000}
platform: {address: %q}
`

// File returns the contents of the settings file.
func (p *ProcessSettings) File() []byte {
	return fmt.Appendf(nil, settingsFormat, p.Name, p.Zone, p.IP, p.Ports[0], p.Ports[1],
		p.Callers, p.Ready, p.Directory, p.Endpoint, p.Service, MemoryLimitMB, p.Store)
}

// Route is a route in a Configuration.
type Route struct {
	Name, Host, Service string
	// Prefix is the path prefix of the route. The default is DefaultPathPrefix.
	Prefix                 string
	Stream                 bool
	Timeout, LatencyTarget time.Duration
}

// Configuration contains the values that vary in the operator's configuration.
type Configuration struct {
	Version                           int64
	Routes                            []Route
	Model, ModelService, PlainService string
	Origin                            string
	Account, Key                      string
}

// DefaultPathPrefix is the path prefix of routes without a Prefix.
const DefaultPathPrefix = "/go/"

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
			jsonObject{"name": c.ModelService, "max_connections": 200, "engine": jsonObject{
				"slots": 16, "read_per_s": 30000, "chunks": Chunks, "chunk_bytes": ChunkBytes,
				"models": []any{jsonObject{"name": c.Model, "warm_s": loadDuration.Seconds()}}}},
			jsonObject{"name": c.PlainService, "max_connections": 200},
			jsonObject{"name": "weights", "origin": c.Origin, "link_mbps": 1000},
		},
		"limits":  jsonObject{"max_body_bytes": 1 << 16, "idle_timeout_ms": 15000},
		"tenants": []any{jsonObject{"name": c.Account, "api_keys": []string{c.Key}}},
	})
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
		"max_attempts": 2, "priority": 1, "stream_resume": r.Stream}
}

// SetModelVersion writes the version of the weights that a model is to have.
func (s *Store) SetModelVersion(model string, version int64) {
	s.Put("versions", model, jsonObject{"model": model, "version": version})
}
