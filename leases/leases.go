// Package leases grants endpoints leases for loading weights. An endpoint that holds a lease
// drains and loads while the other endpoints of the service handle its requests.
//
// The package holds the leases granted by this gateway and the rules by which they are granted.
// The caller supplies the state of the endpoints. One gateway, selected by hashing the service
// name, grants all leases of a service. If two gateways both consider themselves the owner, more
// endpoints may load at once than the rule allows; nothing else depends on there being one.
package leases

import (
	"time"

	"github.com/silverdeck/silverdeck/rendezvous"
)

// Endpoint is the state of one endpoint of a service.
type Endpoint struct {
	// VM is the VM on which the endpoint runs; see roster.VM. Zone is its availability zone.
	VM, Zone string
	// Slots is the number of requests that the endpoint serves in time at once, InFlight the
	// number that all gateways have in flight there.
	Slots    float64
	InFlight int
	// Unavailable is set if the endpoint is ejected, suspected or paused and so takes no
	// requests.
	Unavailable bool
	// Paused is set if the endpoint asked for no requests because it is about to load weights.
	Paused bool
	// Version is the version of the model that the endpoint holds, or 0.
	Version int64
}

// Fleet is the state of the endpoints of a service that run a model.
type Fleet struct {
	Endpoints []Endpoint
	// Demand is the number of slots that callers ask for; 0 if unknown.
	Demand float64
}

// demand returns the number of slots that callers ask for: at least the requests in flight, which do
// not include those that were refused. Callers' estimates may be low.
func (f *Fleet) demand() float64 {
	n := 0
	for _, e := range f.Endpoints {
		n += e.InFlight
	}
	return max(f.Demand, float64(n))
}

const (
	// maxUtilization is the largest share of the remaining endpoints' slots that may be in use
	// once these endpoints handle all requests. Above it, requests queue behind each other.
	maxUtilization = 0.75
	// maxLastUtilization is that share for an endpoint that changes at the last moment: without
	// a lease, its load cuts its streams.
	maxLastUtilization = 0.9
	// maxUnavailableShare is the largest share of the endpoints that may be unavailable.
	maxUnavailableShare = 0.5
)

// CanGrant returns whether the endpoint of vm may drain while those of the VMs in held drain as
// well. As many may drain at once as leave enough capacity for all requests. If the load leaves
// no spare capacity, Needed tells how many change at once.
func CanGrant(f *Fleet, held map[string]bool, vm string) bool {
	return f.canSpare(held, vm, maxUtilization)
}

// canSpare returns whether the endpoints other than those of vm and of the VMs in held serve all
// requests with at most the given share of their slots.
func (f *Fleet) canSpare(held map[string]bool, vm string, utilization float64) bool {
	slots, unavailable := 0.0, 0
	for _, e := range f.Endpoints {
		if e.VM == vm || e.Unavailable || held[e.VM] {
			unavailable++
			continue
		}
		slots += e.Slots
	}
	return float64(unavailable) <= maxUnavailableShare*float64(len(f.Endpoints)) && f.demand() <= utilization*slots
}

// CanGrantLater returns whether a lease that was refused can be expected later: without the endpoint
// of vm, the others could handle all requests if all of them were available.
func CanGrantLater(f *Fleet, vm string) bool {
	slots := 0.0
	for _, e := range f.Endpoints {
		if e.VM != vm {
			slots += e.Slots
		}
	}
	return f.demand() <= maxUtilization*slots
}

const (
	// minRetryInterval is the minimum time between two requests for the same lease.
	minRetryInterval = 100 * time.Millisecond
	// retryIntervalPerEndpoint scales the retry interval with the number of endpoints that may
	// ask, so that the owner receives at most 200 requests per second, however many endpoints
	// there are.
	retryIntervalPerEndpoint = 5 * time.Millisecond
)

// RetryAfter returns the time after which an endpoint retries a refused lease request, given the
// number of endpoints that may ask.
func RetryAfter(endpoints int) time.Duration {
	return max(minRetryInterval, time.Duration(endpoints)*retryIntervalPerEndpoint)
}

// MayGrant returns whether a gateway grants the leases of a service, given whether it owns them by its own list
// of gateways, and the time since its start. The lists of sidecars are older than its own: just after a start of
// all processes they hold a few gateways, each of which would take turns of its own. Later, a list that
// misses a gateway may be that of a gateway that can't reach it, and one that grants is better than none.
func MayGrant(owns bool, age, contact time.Duration) bool {
	return owns || age >= contact
}

// Owner returns the address of the gateway, among gateways, that grants the leases of a service.
func Owner(service string, gateways []string) string {
	return rendezvous.Choose(service, gateways)
}
