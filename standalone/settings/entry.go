package settings

import "github.com/silverdeck/silverdeck/telemetry"

// Entry holds the settings of silverdeck-entry.
type Entry struct {
	telemetry.Identity
	// Caller is where callers connect; Operator where operators do; Peer where
	// our own processes do.
	Caller   string `json:"caller"`
	Operator string `json:"operator"`
	Peer     string `json:"peer"`
	// Platform has base URLs of the platform's object API.
	Platform []string `json:"platform"`
	// Origin is the base URL of the origin, for pinning manifests.
	Origin string `json:"origin"`
	// Seeds are peer addresses of other entries, for starting while the
	// platform is down.
	Seeds []string `json:"seeds,omitempty"`
	// PlatformReads and PlatformWrites are this process's share of the
	// platform's rates, in calls a second.
	PlatformReads  float64 `json:"platformReads"`
	PlatformWrites float64 `json:"platformWrites"`
	// AddressTTLSeconds is how long callers may keep the list of addresses.
	AddressTTLSeconds int `json:"addressTTLSeconds"`
	// RetryShare bounds retries, as a share of requests.
	RetryShare float64 `json:"retryShare"`
	// MaxBodyBytes is the largest request taken from a caller.
	MaxBodyBytes int64 `json:"maxBodyBytes"`
	// MaxHeldBytes bounds the answers that are held until their callers have them, together.
	MaxHeldBytes int64 `json:"maxHeldBytes"`
	// OperatorTokens maps a hex BLAKE3 digest of a bearer token to the
	// operator's name. Empty means that every operator is believed.
	OperatorTokens map[string]string  `json:"operatorTokens,omitempty"`
	CallerTLS      TLS                `json:"callerTLS,omitzero"`
	OperatorTLS    TLS                `json:"operatorTLS,omitzero"`
	PeerTLS        TLS                `json:"peerTLS,omitzero"`
	Telemetry      telemetry.Settings `json:"telemetry"`
}

// DefaultEntry returns the settings that hold where the file says nothing.
func DefaultEntry() *Entry {
	return &Entry{
		PlatformReads:     5,
		PlatformWrites:    1,
		AddressTTLSeconds: 30,
		RetryShare:        0.1,
		MaxBodyBytes:      8 << 20,
		MaxHeldBytes:      1 << 30,
		Telemetry:         telemetry.Settings{LogLevel: "info"},
	}
}

// Check implements Checker.
func (s *Entry) Check() error {
	addrs := map[string]string{
		"caller": s.Caller, "operator": s.Operator, "peer": s.Peer,
		"telemetry.observe": s.Telemetry.Observe,
	}
	return first(
		checkIdentity(s.Identity),
		checkAddr("caller", s.Caller),
		checkAddr("operator", s.Operator),
		checkAddr("peer", s.Peer),
		checkTelemetry(s.Telemetry),
		checkDistinct(addrs, []string{"caller", "operator", "peer", "telemetry.observe"}),
		checkURLs("platform", s.Platform),
		checkURL("origin", s.Origin),
		checkRange("platformReads", s.PlatformReads, 0.1, 2000),
		checkRange("platformWrites", s.PlatformWrites, 0.1, 100),
		checkRange("addressTTLSeconds", float64(s.AddressTTLSeconds), 1, 3600),
		checkRange("retryShare", s.RetryShare, 0, 1),
		checkRange("maxBodyBytes", float64(s.MaxBodyBytes), 1024, 1<<30),
		checkRange("maxHeldBytes", float64(s.MaxHeldBytes), 1<<20, 1<<40),
		s.CallerTLS.check("callerTLS", false),
		s.OperatorTLS.check("operatorTLS", false),
		s.PeerTLS.check("peerTLS", true),
	)
}
