package balance

import (
	"time"

	"github.com/silverdeck/silverdeck/gateway/work"
)

// Costs that are added to an endpoint's load, in requests per slot.
const (
	// otherZoneCost applies to an endpoint in another availability zone: traffic between
	// zones is charged for, at a low price.
	otherZoneCost = 0.10
	// notPreferredCost keeps gateways, which learn of each other's requests only from
	// heartbeats, from selecting the same endpoint at the same moment.
	notPreferredCost = 0.80
	// reloadCost applies to an endpoint that will soon load newer weights, if the request
	// has to outlast the reload. It is less than the load of a full endpoint, so that the
	// few endpoints that have already reloaded do not receive all of these requests.
	reloadCost = 0.5
	// lateCost applies to a slow endpoint at which the first event is expected too late.
	lateCost = 0.2
	// slowCost is multiplied by the share of its slots that a slow or cold endpoint lacks in places. Such an
	// endpoint is then less loaded than others at any load of the service, and still takes
	// requests before callers are refused.
	slowCost = 0.45
	// prefillUnit is the pending prefill time that counts as one request per slot.
	prefillUnit = 250 * time.Millisecond
	// vacatedBenefit is subtracted from the cost of Query.Vacated. It exceeds the costs of all
	// others.
	vacatedBenefit = 10
	// freeSlotLoad is the load below which an endpoint has a free slot. It is the least limit for
	// Query.Vacated.
	freeSlotLoad = 1
	// jitter scales the random number drawn for each endpoint, which distributes requests
	// among endpoints of equal cost. It is less than any of the costs above.
	jitter = 0.03
)

// Candidate holds the properties of an endpoint that determine its cost.
type Candidate struct {
	// Load is the number of requests of all gateways at the endpoint, per slot. The counts
	// of other gateways are as old as their last heartbeats.
	Load float64
	// Prefill is the pending prefill time of this gateway's requests.
	Prefill time.Duration
	// OtherZone is set if the endpoint is in another availability zone than the gateway.
	OtherZone bool
	// Preferred is set if this gateway prefers the endpoint.
	Preferred bool
	// Lacking is the share of the slots that are no places.
	Lacking float64
	// Late is set if the first event is expected too late there.
	Late bool
	// ReloadPending is set if the endpoint will load newer weights before the request ends.
	ReloadPending bool
	// Random is a random number in [0, 1).
	Random float64
}

// Cost returns the cost of selecting c, in requests per slot. The endpoint with the lowest
// cost is selected.
func Cost(c *Candidate) float64 {
	cost := c.Load + jitter*c.Random + float64(c.Prefill)/float64(prefillUnit)
	if c.OtherZone {
		cost += otherZoneCost
	}
	if !c.Preferred {
		cost += notPreferredCost
	}
	if c.ReloadPending {
		cost += reloadCost
	}
	cost += slowCost * c.Lacking
	if c.Late {
		cost += lateCost
	}
	return cost
}

// MaxLoad returns the load at which an endpoint is full for this gateway. limit is the
// request's own limit in requests per slot, or 0 for none. shared is the limit for
// endpoints preferred by other gateways. prefersAny is set if this gateway prefers any
// endpoints of the service.
func MaxLoad(limit, shared float64, preferred, prefersAny bool) float64 {
	if limit == 0 || preferred || !prefersAny {
		return limit
	}
	return min(limit, shared)
}

// choose returns the endpoint with the lowest cost among those that the gateway prefers and
// a small sample of the others, from its own zone and from other zones. An ejected, paused,
// or suspected endpoint is selected only if there is no other and none is merely full. The
// shard's lock must be held.
func (b *Balancer) choose(s *shard, q *Query, now time.Time) (*endpoint, error) {
	c := b.candidates(s, q, now)
	if e := c.staleLimit; e != nil {
		b.wantToken(e, now)
	}
	cold := b.cheapestCold(&c, q, now)
	switch {
	case c.usable.endpoint != nil:
		if cold.endpoint != nil && cold.cost < c.usable.cost {
			b.wantToken(cold.endpoint, now)
		}
		return c.usable.endpoint, nil
	case c.full:
		return nil, &FullError{Service: q.Service, TokenFrom: cold.requestToken(now)}
	case c.overrun.endpoint != nil:
		return c.overrun.endpoint, nil
	case c.unusable.endpoint != nil && !q.Healthy:
		return c.unusable.endpoint, nil
	case c.opensIn > 0:
		return nil, &FullError{Service: q.Service, OpensIn: c.opensIn, TokenFrom: c.requestToken(now)}
	}
	if c.neverEnds {
		return nil, &DeadlineError{Service: q.Service}
	}
	return nil, &NoEndpointError{Service: q.Service, Loading: c.loading}
}

// cheapestCold returns the sampled cold endpoint with the lowest cost, as if this gateway had a
// token, or none if they are full.
func (b *Balancer) cheapestCold(c *candidates, q *Query, now time.Time) lowestCost {
	var out lowestCost
	for _, x := range c.cold.items() {
		if q.MaxLoad == 0 || x.load < q.MaxLoad {
			out.consider(x.endpoint, b.cost(x.endpoint, x.load, q, now))
		}
	}
	return out
}

// wantToken has the holder of e asked for a token.
func (b *Balancer) wantToken(e *endpoint, now time.Time) {
	e.advisory.limit.noteTokenRequest(now)
	b.cfg.OnTokenWanted(e.record.Incarnation())
}

// cost returns the cost of selecting e, which has the given load, for q. An endpoint with a
// rate limit counts as preferred by any gateway that may send there, since no other gateway
// does so at that time.
func (b *Balancer) cost(e *endpoint, load float64, q *Query, now time.Time) float64 {
	return Cost(&Candidate{
		Load:          load,
		Prefill:       time.Duration(e.speed.Pace * float64(e.prefill)),
		OtherZone:     e.record.Zone != b.cfg.Zone,
		Preferred:     e.preferred || e.rateLimited(now),
		Lacking:       e.lacking(now),
		Late:          e.fit(&q.Work, load, now) == work.BeginsLate,
		ReloadPending: e.reloadPending(q),
		Random:        b.cfg.Random(),
	})
}

// lacking returns the share of the slots of e that are no places. A limit that e declares does not count:
// only answers to requests show when it has ended.
func (e *endpoint) lacking(now time.Time) float64 {
	places := e.speed.Places
	if e.speed.MeanTime > 0 && !e.advisory.limit.declared {
		places = e.places(now)
	}
	return 1 - places/float64(max(e.record.Slots, 1))
}
