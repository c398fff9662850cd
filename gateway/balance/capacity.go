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
	// Own is the number of this gateway's requests in InFlight.
	Own int
	// Places is the number of mean requests that it serves in time concurrently: Slots, or
	// fewer for a slow or cold endpoint.
	Places float64
	// Open is set if the endpoint has a rate limit and accepts a request of this gateway now.
	Open bool
	// Usable is set if the endpoint accepts requests for the query. Cold is set if it would, but
	// is cold, so that it takes requests only from its holder and from gateways with a token.
	Usable, Cold bool
	// Paused is set if the endpoint asked for no requests because it is about to load weights.
	Paused bool
	// ReadyIn is the latest time until the endpoint serves as many requests as it has slots, if it
	// doesn't now because it loads weights or is cold; else 0. Coming is the number of these slots.
	ReadyIn time.Duration
	Coming  int
	// Version is the version of the query's model that the endpoint holds, or 0.
	Version int64
}

// Room returns how many requests of all gateways the endpoint takes concurrently before callers wait,
// or 0 if it accepts none for the query. A slow endpoint has room in all of its slots: a caller who is
// served late there is better off than one who is refused. A cold one has only the places that its
// rate fills.
func (c *Capacity) Room() float64 {
	switch {
	case c.Usable:
		return float64(max(c.Slots, 1))
	case c.Cold:
		return c.Places
	}
	return 0
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
		p := Capacity{Addr: e.record.Addr, Zone: e.record.Zone, InFlight: b.totalInFlight(e), Own: e.inFlight, Paused: e.health.paused(now), Version: e.holds(q.Model)}
		p.Places = e.places(now)
		serves := e.eligible(q) && b.usable(e, now) && !e.inBackoff(now)
		if e.rateLimited(now) {
			p.Open = serves && e.opensIn(now) == 0
			p.Cold = serves && !e.advisory.limit.declared
		} else {
			p.Slots, p.Usable = e.record.Slots, serves
		}
		if p.ReadyIn = e.readyIn(q, now); p.ReadyIn > 0 {
			p.Coming = e.record.Slots
		}
		out = append(out, p)
	}
	return out
}

// readyIn returns the latest time until e has loaded weights and is no longer cold. It is 0 if neither
// keeps it from serving q, or if something else does.
func (e *endpoint) readyIn(q *Query, now time.Time) time.Duration {
	limit, paused := &e.advisory.limit, e.health.paused(now)
	switch {
	case !paused && !limit.cold(now):
		return 0
	case !paused && !e.eligible(q): // its weights are too old, and it is not about to load others
		return 0
	case e.evacuated || e.reassigned() || !q.Regions.Permits(e.record.Region):
		return 0
	case now.Before(e.health.ejectedUntil) || limit.declared && limit.active(e.held, now):
		return 0
	}
	until := e.health.pausedUntil
	if limit.cold(now) {
		until = later(until, limit.coldUntil)
	}
	return until.Sub(now)
}

// places returns the number of mean requests that e serves in time concurrently. With a rate limit,
// for example while it is cold, no more run at once than start within the time that one takes; 0 if
// that is unknown.
func (e *endpoint) places(now time.Time) float64 {
	if !e.rateLimited(now) {
		return e.speed.Places
	}
	return min(e.speed.Places, float64(e.speed.MeanTime)/float64(e.advisory.limit.interval(now)))
}
