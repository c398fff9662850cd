package sidecar

import (
	"slices"
	"sync"
	"time"
)

// Gateways holds the gateways that receive notices about the endpoint's pauses and weights: the
// live ones and those that left a short time ago, whose last requests still run at the endpoint.
// It is safe for concurrent use.
type Gateways struct {
	// retention is the time for which a gateway that left still receives notices.
	retention time.Duration

	mu   sync.Mutex
	live []string
	// leftAt holds the time at which gateways left, by address.
	leftAt map[string]time.Time
}

// NewGateways returns Gateways without a gateway. retention is the time for which a gateway that
// left still receives notices, which is the duration of a planned stop.
func NewGateways(retention time.Duration) *Gateways {
	return &Gateways{retention: retention, leftAt: map[string]time.Time{}}
}

// SetLive replaces the addresses of the live gateways.
func (g *Gateways) SetLive(addrs []string, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, addr := range g.live {
		g.leftAt[addr] = now
	}
	for _, addr := range addrs {
		delete(g.leftAt, addr)
	}
	g.live = addrs
}

// Recipients returns the addresses of the gateways that receive a notice sent at time now.
func (g *Gateways) Recipients(now time.Time) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := slices.Clone(g.live)
	for addr, at := range g.leftAt {
		if now.Sub(at) < g.retention {
			out = append(out, addr)
		} else {
			delete(g.leftAt, addr)
		}
	}
	return out
}
