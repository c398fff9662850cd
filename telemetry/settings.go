package telemetry

// Identity is what a process learns of its place from its settings.
type Identity struct {
	// VM is the name of the VM in the platform's list.
	VM     string `json:"vm"`
	Zone   string `json:"zone"`
	Region string `json:"region"`
}

// Settings say where logs, traces and metrics go.
type Settings struct {
	// Observe is the address of metrics, health and the state dump.
	Observe string `json:"observe"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `json:"logLevel"`
	// TraceFile takes spans as JSON lines; empty means none.
	TraceFile string `json:"traceFile,omitempty"`
	// TraceEndpoint is an OTLP/HTTP collector, host:port; empty means none.
	TraceEndpoint string `json:"traceEndpoint,omitempty"`
}
