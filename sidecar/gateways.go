package sidecar

import (
	"slices"
	"sync"
	"time"
)

// Gateways are those that hear of the endpoint's pauses and weights: the live ones, and those
// that left a short time ago, whose last requests still run there. It is safe for concurrent
// use.
type Gateways struct {
	// keep is for how long a gateway that left is told.
	keep time.Duration

	mu   sync.Mutex
	live []string
	// left is when gateways left, by address.
	left map[string]time.Time
}

// NewGateways returns no gateways. Those that leave are told for keep, which is as long as a
// planned stop takes.
func NewGateways(keep time.Duration) *Gateways {
	return &Gateways{keep: keep, left: map[string]time.Time{}}
}

// Use takes in which gateways are live, by address.
func (g *Gateways) Use(addrs []string, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, addr := range g.live {
		g.left[addr] = now
	}
	for _, addr := range addrs {
		delete(g.left, addr)
	}
	g.live = addrs
}

// Told returns which gateways are told now, by address.
func (g *Gateways) Told(now time.Time) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := slices.Clone(g.live)
	for addr, at := range g.left {
		if now.Sub(at) < g.keep {
			out = append(out, addr)
		} else {
			delete(g.left, addr)
		}
	}
	return out
}
