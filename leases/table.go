package leases

import (
	"sync"
	"time"
)

// Table holds the granted leases. It is safe for concurrent use.
type Table struct {
	mu sync.Mutex
	// expiresAt holds the expiry of leases by service and VM.
	expiresAt map[string]map[string]time.Time
	// waiting holds the latest refused requests by service and VM.
	waiting map[string]map[string]waiter
}

// waiter is the latest refused request of an endpoint.
type waiter struct {
	running int
	newerIn time.Duration
	at      time.Time
	// retryAfter is the time after which it asks again.
	retryAfter time.Duration
}

// since returns w at a later time.
func (w *waiter) since(now time.Time) Waiter {
	out := Waiter{Running: w.running, AsksIn: w.retryAfter - now.Sub(w.at)}
	if w.newerIn > 0 {
		out.NewerIn = max(w.newerIn-now.Sub(w.at), 1)
	}
	return out
}

// waitingRetries is the number of retry intervals after which an endpoint that has not asked again
// no longer waits: the interval itself, and as much for the sidecar's polling and the way.
const waitingRetries = 2

// NewTable returns an empty Table.
func NewTable() *Table {
	return &Table{expiresAt: map[string]map[string]time.Time{}, waiting: map[string]map[string]waiter{}}
}

// Acquire grants the endpoint of vm a lease for d if CanGrant allows it, and returns whether it
// did. A lease that the endpoint already holds is renewed.
func (t *Table) Acquire(service, vm string, f *Fleet, d time.Duration, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !CanGrant(f, t.held(service, now), vm) {
		return false
	}
	t.grant(service, vm, now.Add(d))
	return true
}

// Schedule grants a lease for d if Decide allows the change. A lease that the endpoint already
// holds is renewed.
func (t *Table) Schedule(service string, c Change, f *Fleet, d time.Duration, now time.Time) Grant {
	t.mu.Lock()
	defer t.mu.Unlock()
	waiting := t.others(service, c.VM, RetryAfter(len(f.Endpoints)), now)
	g := Decide(c, f, t.held(service, now), waiting)
	if g.Given {
		delete(t.waiting[service], c.VM)
		t.grant(service, c.VM, now.Add(d))
		return g
	}
	if t.waiting[service] == nil {
		t.waiting[service] = map[string]waiter{}
	}
	t.waiting[service][c.VM] = waiter{running: c.Running, newerIn: c.NewerIn, at: now, retryAfter: g.RetryAfter}
	return g
}

// held returns the VMs that hold leases of a service. The caller must hold t.mu.
func (t *Table) held(service string, now time.Time) map[string]bool {
	held := map[string]bool{}
	for vm, until := range t.expiresAt[service] {
		if now.Before(until) {
			held[vm] = true
		} else {
			delete(t.expiresAt[service], vm)
		}
	}
	return held
}

// grant records a lease. The caller must hold t.mu.
func (t *Table) grant(service, vm string, until time.Time) {
	if t.expiresAt[service] == nil {
		t.expiresAt[service] = map[string]time.Time{}
	}
	t.expiresAt[service][vm] = until
}

// others returns the endpoints other than that of vm that wait for a lease of a service. An endpoint
// that has not asked again in time waits no longer. The caller must hold t.mu.
func (t *Table) others(service, vm string, retry time.Duration, now time.Time) []Waiter {
	var out []Waiter
	for name, w := range t.waiting[service] {
		switch {
		case now.Sub(w.at) > waitingRetries*max(w.retryAfter, retry):
			delete(t.waiting[service], name)
		case name != vm:
			other := w.since(now)
			other.VM = name
			out = append(out, other)
		}
	}
	return out
}

// Release ends the lease of the endpoint of vm, if it holds one.
func (t *Table) Release(vm string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, held := range t.expiresAt {
		delete(held, vm)
	}
}
