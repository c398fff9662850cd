package settings

import (
	"fmt"
	"net/url"

	"github.com/silverdeck/silverdeck/telemetry"
)

// Agent holds the settings of silverdeck-agent.
type Agent struct {
	telemetry.Identity
	// Peer is where entries and other agents connect, and the endpoint for weights.
	Peer string `json:"peer"`
	// Engine is the base URL of the model engine or plain service on this VM.
	Engine string `json:"engine"`
	// Plain says that the endpoint is a plain service: it loads no weights.
	Plain bool `json:"plain,omitempty"`
	// Fenced says that the engine checks the epoch of the orders it gets. It is
	// for the reader of the settings: orders carry an epoch in either case.
	Fenced bool `json:"fenced"`
	// Slots is how many requests the endpoint runs at once.
	Slots int `json:"slots"`
	// UrgentSlots of these are kept for urgent requests.
	UrgentSlots int `json:"urgentSlots"`
	// Queue is how many requests may wait for a slot.
	Queue int `json:"queue"`
	// Entries are peer addresses of entries to begin with.
	Entries []string `json:"entries"`
	// Origin is the base URL of the origin or the weight store.
	Origin string `json:"origin"`
	// HoldBytes bounds the weights held in memory for other agents and for undo.
	HoldBytes int64 `json:"holdBytes"`
	// UploadSlots is how many chunks are sent at once.
	UploadSlots int `json:"uploadSlots"`
	// StopSeconds is how long a planned stop waits for requests in progress.
	StopSeconds int                `json:"stopSeconds"`
	PeerTLS     TLS                `json:"peerTLS,omitzero"`
	Telemetry   telemetry.Settings `json:"telemetry"`
}

// DefaultAgent returns the settings that hold where the file says nothing.
func DefaultAgent() *Agent {
	return &Agent{
		Fenced:      true,
		Slots:       8,
		UrgentSlots: 1,
		Queue:       64,
		HoldBytes:   32 << 30,
		UploadSlots: 6,
		StopSeconds: 600,
		Telemetry:   telemetry.Settings{LogLevel: "info"},
	}
}

// Check implements Checker.
func (s *Agent) Check() error {
	addrs := map[string]string{"peer": s.Peer, "telemetry.observe": s.Telemetry.Observe}
	return first(
		checkIdentity(s.Identity),
		checkAddr("peer", s.Peer),
		checkTelemetry(s.Telemetry),
		checkDistinct(addrs, []string{"peer", "telemetry.observe"}),
		checkURL("engine", s.Engine),
		checkAddrs("entries", s.Entries),
		checkURL("origin", s.Origin),
		checkRange("slots", float64(s.Slots), 1, 4096),
		checkRange("urgentSlots", float64(s.UrgentSlots), 0, float64(s.Slots-1)),
		checkRange("queue", float64(s.Queue), 0, 100_000),
		checkRange("holdBytes", float64(s.HoldBytes), 1<<20, 1<<44),
		checkRange("uploadSlots", float64(s.UploadSlots), 1, 256),
		checkRange("stopSeconds", float64(s.StopSeconds), 1, 86_400),
		s.PeerTLS.check("peerTLS", true),
	)
}

func checkURL(field, s string) error {
	u, err := url.Parse(s)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return wrong(field, s, "a URL, such as http://10.0.0.1:8000")
	}
	return nil
}

func checkURLs(field string, list []string) error {
	if len(list) == 0 {
		return wrong(field, "[]", "at least one URL")
	}
	for i, s := range list {
		if err := checkURL(fmt.Sprintf("%s[%d]", field, i), s); err != nil {
			return err
		}
	}
	return nil
}
