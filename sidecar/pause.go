package sidecar

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Pause is the time for which gateways send the endpoint nothing, and which of them were told.
// One that starts meanwhile has not heard of it. It is safe for concurrent use.
type Pause struct {
	mu    sync.Mutex
	until time.Time
	told  map[string]bool
}

// Begin begins a pause until a time, of which the gateways at addrs are told.
func (p *Pause) Begin(until time.Time, addrs []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.until, p.told = until, map[string]bool{}
	for _, addr := range addrs {
		p.told[addr] = true
	}
}

// End ends the pause.
func (p *Pause) End() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.until = time.Time{}
}

// Untold returns which of the live gateways, at addrs, have yet to be told of the pause, and
// for how long it still lasts. They count as told from then on, until they are not live any
// more: who comes back has started anew.
func (p *Pause) Untold(addrs []string, now time.Time) (untold []string, left time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !now.Before(p.until) {
		return nil, 0
	}
	maps.DeleteFunc(p.told, func(addr string, _ bool) bool { return !slices.Contains(addrs, addr) })
	for _, addr := range addrs {
		if !p.told[addr] {
			p.told[addr] = true
			untold = append(untold, addr)
		}
	}
	return untold, p.until.Sub(now)
}
