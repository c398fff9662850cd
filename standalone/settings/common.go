package settings

import "github.com/silverdeck/silverdeck/telemetry"

func checkIdentity(i telemetry.Identity) error {
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

func checkTelemetry(t telemetry.Settings) error {
	if err := checkAddr("telemetry.observe", t.Observe); err != nil {
		return err
	}
	switch t.LogLevel {
	case "debug", "info", "warn", "error":
		return nil
	}
	return wrong("telemetry.logLevel", t.LogLevel, "debug, info, warn or error")
}
