package balance

import "time"

// Capacity is the known capacity of an endpoint.
type Capacity struct {
	// Addr is the endpoint's address, Zone its availability zone.
	Addr, Zone string
	// Slots is the number of requests that the endpoint runs concurrently; 0 while it has a
	// rate limit. InFlight is the number of outstanding requests of all gateways; the
	// counts of other gateways are as old as their last heartbeats.
	Slots, InFlight int
	// Places is the number of mean requests that it serves in time concurrently: Slots, or
	// fewer for a slow or cold endpoint.
	Places float64
	// Usable is set if the endpoint accepts requests for the query. Cold is set if it would, but
	// is cold, so that it takes requests only from its holder and from gateways with a token.
	Usable, Cold bool
}

// Capacities returns the capacity of each endpoint of q's service that is not leaving.
func (b *Balancer) Capacities(q *Query, now time.Time) []Capacity {
	s := b.shard(q.Service)
	if s == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Capacity, 0, len(s.ordered))
	for _, e := range s.ordered {
		if e.leaving() {
			continue
		}
		p := Capacity{Addr: e.record.Addr, Zone: e.record.Zone, InFlight: b.totalInFlight(e)}
		serves := e.eligible(q) && b.usable(e, now) && !e.inBackoff(now)
		if l := &e.advisory.limit; serves && l.cold(now) && !l.declared {
			p.Places, p.Cold = e.room(now), true
		}
		if !e.rateLimited(now) {
			p.Places = float64(e.record.Slots)
			p.Slots, p.Usable = e.record.Slots, serves
		}
		out = append(out, p)
	}
	return out
}
