package sidecar

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Pause is a period in which gateways send the endpoint no requests, with the set of gateways that
// were notified of it. A gateway that starts during a pause has not been notified. Pause is safe
// for concurrent use.
type Pause struct {
	mu       sync.Mutex
	until    time.Time
	notified map[string]bool
}

// Begin starts a pause that lasts until the given time, of which the gateways at addrs are
// notified.
func (p *Pause) Begin(until time.Time, addrs []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.until, p.notified = until, map[string]bool{}
	for _, addr := range addrs {
		p.notified[addr] = true
	}
}

// End ends the pause.
func (p *Pause) End() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.until = time.Time{}
}

// Active reports whether a pause lasts at time now.
func (p *Pause) Active(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Before(p.until)
}

// Unnotified returns which of the live gateways, whose addresses are addrs, have not been notified
// of the pause, and the remaining time of the pause. It counts them as notified from then on. A
// gateway that is no longer live is forgotten, since one that returns has been restarted.
func (p *Pause) Unnotified(addrs []string, now time.Time) (unnotified []string, remaining time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !now.Before(p.until) {
		return nil, 0
	}
	maps.DeleteFunc(p.notified, func(addr string, _ bool) bool { return !slices.Contains(addrs, addr) })
	for _, addr := range addrs {
		if !p.notified[addr] {
			p.notified[addr] = true
			unnotified = append(unnotified, addr)
		}
	}
	return unnotified, p.until.Sub(now)
}
