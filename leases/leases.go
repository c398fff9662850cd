// Package leases gives endpoints leases on a load of weights: an endpoint that holds one
// drains and loads while the others carry its requests.
//
// It owns the leases of this gateway and the rule by which they are given. It relies on what
// the caller tells of the endpoints. One gateway gives the leases of a service: the owner
// by name. Where two gateways take themselves for it, more endpoints load at once than the
// rule allows; nothing else depends on it.
package leases

import (
	"sync"
	"time"

	"github.com/silverdeck/silverdeck/rendezvous"
)

// Endpoint is what is known of one endpoint of a service.
type Endpoint struct {
	// VM is where it runs; see roster.VM.
	VM string
	// Slots is how many requests it runs at once, InFlight how many all gateways have there.
	Slots, InFlight int
	// Away is set when it takes no requests: it is ejected, suspected or paused.
	Away bool
}

const (
	// carriedShare is the part of the slots of the endpoints that stay up to which these may
	// be taken once they carry all requests: more wait for one another.
	carriedShare = 0.75
	// awayShare is the largest part of the endpoints that may be away.
	awayShare = 0.5
)

// Grants returns whether the endpoint of vm may drain while those of held do so as well:
// as many at once as the rest can carry. It answers a load that leaves room; under one
// that does not, endpoints change spread over the time that they have.
func Grants(endpoints []Endpoint, held map[string]bool, vm string) bool {
	inFlight, slots, away := 0, 0, 0
	for _, e := range endpoints {
		inFlight += e.InFlight
		if e.VM == vm || e.Away || held[e.VM] {
			away++
			continue
		}
		slots += e.Slots
	}
	return float64(away) <= awayShare*float64(len(endpoints)) && float64(inFlight) <= carriedShare*float64(slots)
}

// Comes returns whether a lease that was not given comes later: the others could carry the
// requests of one endpoint, but for those that are away now.
func Comes(endpoints []Endpoint, vm string) bool {
	inFlight, slots := 0, 0
	for _, e := range endpoints {
		inFlight += e.InFlight
		if e.VM != vm {
			slots += e.Slots
		}
	}
	return float64(inFlight) <= carriedShare*float64(slots)
}

const (
	// minAgain is the least time between two questions for one lease.
	minAgain = 100 * time.Millisecond
	// againEach is that time for each endpoint of the service, so that however many ask, the
	// owner of their leases is asked 200 times a second at the most.
	againEach = 5 * time.Millisecond
)

// Again returns when an endpoint of so many asks again for a lease that it did not get.
func Again(endpoints int) time.Duration {
	return max(minAgain, time.Duration(endpoints)*againEach)
}

// Owner returns which of the gateways, by address, gives the leases of a service.
func Owner(service string, gateways []string) string {
	return rendezvous.Choose(service, gateways)
}

// Table holds the leases that were given. It is safe for concurrent use.
type Table struct {
	mu sync.Mutex
	// until is when leases run out, by service and VM.
	until map[string]map[string]time.Time
}

// NewTable returns a Table without leases.
func NewTable() *Table {
	return &Table{until: map[string]map[string]time.Time{}}
}

// Begin gives the endpoint of vm a lease for d if Grants allows it. One that has a lease
// gets it anew.
func (t *Table) Begin(service, vm string, endpoints []Endpoint, d time.Duration, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	held := map[string]bool{}
	for other, until := range t.until[service] {
		if now.Before(until) {
			held[other] = true
		} else {
			delete(t.until[service], other)
		}
	}
	if !Grants(endpoints, held, vm) {
		return false
	}
	if t.until[service] == nil {
		t.until[service] = map[string]time.Time{}
	}
	t.until[service][vm] = now.Add(d)
	return true
}

// End ends the lease of the endpoint of vm, if it has one.
func (t *Table) End(vm string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, held := range t.until {
		delete(held, vm)
	}
}
