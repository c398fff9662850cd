// Package leases grants endpoints leases for loading weights. An endpoint that holds a lease
// drains and loads while the other endpoints of the service handle its requests.
//
// The package holds the leases granted by this gateway and the rule by which they are granted.
// The caller supplies the state of the endpoints. One gateway, selected by hashing the service
// name, grants all leases of a service. If two gateways both consider themselves the owner, more
// endpoints may load at once than the rule allows; nothing else depends on there being one.
package leases

import (
	"sync"
	"time"

	"github.com/silverdeck/silverdeck/rendezvous"
)

// Endpoint is the state of one endpoint of a service.
type Endpoint struct {
	// VM is the VM on which the endpoint runs; see roster.VM.
	VM string
	// Slots is the number of requests that the endpoint runs at once, InFlight the number that
	// all gateways have in flight there.
	Slots, InFlight int
	// Unavailable is set if the endpoint is ejected, suspected or paused and so takes no
	// requests.
	Unavailable bool
}

const (
	// maxUtilization is the largest share of the remaining endpoints' slots that may be in use
	// once these endpoints handle all requests. Above it, requests queue behind each other.
	maxUtilization = 0.75
	// maxUnavailableShare is the largest share of the endpoints that may be unavailable.
	maxUnavailableShare = 0.5
)

// CanGrant returns whether the endpoint of vm may drain while those of the VMs in held drain as
// well. As many may drain at once as leave enough capacity for all requests. If the load leaves
// no spare capacity, no lease is granted, and endpoints change weights without one, spread over
// the time that they have.
func CanGrant(endpoints []Endpoint, held map[string]bool, vm string) bool {
	inFlight, slots, unavailable := 0, 0, 0
	for _, e := range endpoints {
		inFlight += e.InFlight
		if e.VM == vm || e.Unavailable || held[e.VM] {
			unavailable++
			continue
		}
		slots += e.Slots
	}
	return float64(unavailable) <= maxUnavailableShare*float64(len(endpoints)) && float64(inFlight) <= maxUtilization*float64(slots)
}

// CanGrantLater returns whether a lease that was refused can be expected later: without the endpoint
// of vm, the others could handle all requests if all of them were available.
func CanGrantLater(endpoints []Endpoint, vm string) bool {
	inFlight, slots := 0, 0
	for _, e := range endpoints {
		inFlight += e.InFlight
		if e.VM != vm {
			slots += e.Slots
		}
	}
	return float64(inFlight) <= maxUtilization*float64(slots)
}

const (
	// minRetryInterval is the minimum time between two requests for the same lease.
	minRetryInterval = 100 * time.Millisecond
	// retryIntervalPerEndpoint scales the retry interval with the number of endpoints of the
	// service, so that the owner receives at most 200 requests per second, however many
	// endpoints there are.
	retryIntervalPerEndpoint = 5 * time.Millisecond
)

// RetryAfter returns the time after which an endpoint retries a refused lease request, given the
// number of endpoints of the service.
func RetryAfter(endpoints int) time.Duration {
	return max(minRetryInterval, time.Duration(endpoints)*retryIntervalPerEndpoint)
}

// Owner returns the address of the gateway, among gateways, that grants the leases of a service.
func Owner(service string, gateways []string) string {
	return rendezvous.Choose(service, gateways)
}

// Table holds the granted leases. It is safe for concurrent use.
type Table struct {
	mu sync.Mutex
	// expiresAt holds the expiry of leases by service and VM.
	expiresAt map[string]map[string]time.Time
}

// NewTable returns an empty Table.
func NewTable() *Table {
	return &Table{expiresAt: map[string]map[string]time.Time{}}
}

// Acquire grants the endpoint of vm a lease for d if CanGrant allows it, and returns whether it
// did. A lease that the endpoint already holds is renewed.
func (t *Table) Acquire(service, vm string, endpoints []Endpoint, d time.Duration, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	held := map[string]bool{}
	for other, until := range t.expiresAt[service] {
		if now.Before(until) {
			held[other] = true
		} else {
			delete(t.expiresAt[service], other)
		}
	}
	if !CanGrant(endpoints, held, vm) {
		return false
	}
	if t.expiresAt[service] == nil {
		t.expiresAt[service] = map[string]time.Time{}
	}
	t.expiresAt[service][vm] = now.Add(d)
	return true
}

// Release ends the lease of the endpoint of vm, if it holds one.
func (t *Table) Release(vm string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, held := range t.expiresAt {
		delete(held, vm)
	}
}
