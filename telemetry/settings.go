package telemetry

// Identity is the VM, availability zone and region of a process, as given in its settings.
type Identity struct {
	// VM is the name of the VM in the platform's VM list.
	VM     string `json:"vm"`
	Zone   string `json:"zone"`
	Region string `json:"region"`
}

// Settings configures logging, tracing and the address of metrics.
type Settings struct {
	// Observe is the listen address of metrics, health checks and the state dump.
	Observe string `json:"observe"`
	// LogLevel is the minimum level: debug, info, warn or error.
	LogLevel string `json:"logLevel"`
	// TraceFile is a file to which spans are appended as JSON lines; empty disables it.
	TraceFile string `json:"traceFile,omitempty"`
	// TraceEndpoint is the host:port of an OTLP/HTTP collector; empty disables it.
	TraceEndpoint string `json:"traceEndpoint,omitempty"`
	// Profiles serves the profiles of the Go runtime at Observe, under /debug/pprof/.
	Profiles bool `json:"profiles,omitempty"`
}
