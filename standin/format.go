package standin

import (
	"fmt"
	"time"
)

// SettingsVariable names the environment variable with the path of the settings.
const SettingsVariable = "SILVERDECK_CONFIG"

// Machine is what a process is told in its settings.
type Machine struct {
	Name, Zone, IP string
	Ports          [2]int
	// Store is the address of the store.
	Store string
	// Callers, Ready and Directory are for entries.
	Callers, Ready, Directory string
	// Endpoint and Service are for the process beside an endpoint.
	Endpoint, Service string
}

// MemoryMB is the memory that the settings grant a process, in megabytes.
const MemoryMB = 200

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

// Settings returns the machine's settings file.
func (m *Machine) Settings() []byte {
	return fmt.Appendf(nil, settingsFormat, m.Name, m.Zone, m.IP, m.Ports[0], m.Ports[1],
		m.Callers, m.Ready, m.Directory, m.Endpoint, m.Service, MemoryMB, m.Store)
}

// Route is a route of the stand-in's configuration.
type Route struct {
	Name, Host, Service string
	// Prefix is that of its paths; empty means RoutePrefix.
	Prefix                 string
	Stream                 bool
	Timeout, LatencyTarget time.Duration
}

// Configuration is what the operator writes.
type Configuration struct {
	Version                           int64
	Routes                            []Route
	Model, ModelService, PlainService string
	Origin                            string
	Account, Key                      string
}

// RoutePrefix is the prefix of the paths of routes that name none.
const RoutePrefix = "/go/"

type fields = map[string]any

// Configure writes a configuration.
func (s *Store) Configure(c Configuration) {
	routes := []any{}
	for _, r := range c.Routes {
		routes = append(routes, r.fields())
	}
	s.Put("config", "main", fields{
		"version": c.Version,
		"routes":  routes,
		"services": []any{
			fields{"name": c.ModelService, "max_connections": 200, "engine": fields{
				"slots": 16, "read_per_s": 30000, "chunks": Chunks, "chunk_bytes": ChunkBytes,
				"models": []any{fields{"name": c.Model, "warm_s": warmTime.Seconds()}}}},
			fields{"name": c.PlainService, "max_connections": 200},
			fields{"name": "weights", "origin": c.Origin, "link_mbps": 1000},
		},
		"limits":  fields{"max_body_bytes": 1 << 16, "idle_timeout_ms": 15000},
		"tenants": []any{fields{"name": c.Account, "api_keys": []string{c.Key}}},
	})
}

func (r *Route) fields() fields {
	kind := "unsafe"
	if r.Stream {
		kind = "streaming"
	}
	prefix := r.Prefix
	if prefix == "" {
		prefix = RoutePrefix
	}
	return fields{"name": r.Name, "hostname": r.Host, "path_prefix": prefix, "kind": kind, "service": r.Service,
		"timeout_ms": r.Timeout.Milliseconds(), "target_latency_ms": r.LatencyTarget.Milliseconds(), "gap_target_ms": 300,
		"max_attempts": 2, "priority": 1, "stream_resume": r.Stream}
}

// NameVersion names new weights of a model.
func (s *Store) NameVersion(model string, version int64) {
	s.Put("versions", model, fields{"model": model, "version": version})
}
