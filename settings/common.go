package settings

// Identity is what a process learns of its place from its settings.
type Identity struct {
	// VM is the name of the VM in the platform's list.
	VM     string `json:"vm"`
	Zone   string `json:"zone"`
	Region string `json:"region"`
}

func (i Identity) check() error {
	return first(
		checkText("vm", i.VM),
		checkText("zone", i.Zone),
		checkText("region", i.Region),
	)
}

// TLS names the files of keys and certificates; all empty means plain TCP.
type TLS struct {
	Cert string `json:"cert,omitempty"`
	Key  string `json:"key,omitempty"`
	// CA verifies the other side. Between our own processes it is required.
	CA string `json:"ca,omitempty"`
}

// Enabled returns whether TLS is asked for.
func (t TLS) Enabled() bool {
	return t != TLS{}
}

func (t TLS) check(field string, mutual bool) error {
	if !t.Enabled() {
		return nil
	}
	if err := checkText(field+".cert", t.Cert); err != nil {
		return err
	}
	if err := checkText(field+".key", t.Key); err != nil {
		return err
	}
	if mutual {
		return checkText(field+".ca", t.CA)
	}
	return nil
}

// Telemetry says where logs, traces and metrics go.
type Telemetry struct {
	// Observe is the address of metrics, health and the state dump.
	Observe string `json:"observe"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `json:"logLevel"`
	// TraceFile takes spans as JSON lines; empty means none.
	TraceFile string `json:"traceFile,omitempty"`
	// TraceEndpoint is an OTLP/HTTP collector, host:port; empty means none.
	TraceEndpoint string `json:"traceEndpoint,omitempty"`
}

func (t Telemetry) check() error {
	if err := checkAddr("telemetry.observe", t.Observe); err != nil {
		return err
	}
	switch t.LogLevel {
	case "debug", "info", "warn", "error":
		return nil
	}
	return wrong("telemetry.logLevel", t.LogLevel, "debug, info, warn or error")
}
