package balance

import (
	"time"

	"github.com/silverdeck/silverdeck/gateway/work"
	"github.com/silverdeck/silverdeck/roster"
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

// lowestCost keeps the endpoint with the lowest cost.
type lowestCost struct {
	endpoint *endpoint
	cost     float64
}

func (c *lowestCost) consider(e *endpoint, cost float64) {
	if c.endpoint == nil || cost < c.cost {
		c.endpoint, c.cost = e, cost
	}
}

// requestToken returns the endpoint, whose holder the caller asks for a token, or the zero value
// if there is none.
func (c *lowestCost) requestToken(now time.Time) roster.Incarnation {
	if c.endpoint == nil {
		return roster.Incarnation{}
	}
	c.endpoint.advisory.limit.noteTokenRequest(now)
	return c.endpoint.record.Incarnation()
}

// candidates holds the endpoints that a request may be sent to.
type candidates struct {
	// usable is the best of the endpoints that the gateway prefers and of those that were
	// sampled. unusable is the best of the ejected, paused, and suspected endpoints.
	usable, unusable lowestCost
	// overrun is the best of the usable endpoints at which the stream is expected to be cut off
	// by its deadline.
	overrun lowestCost
	// sameZone and otherZone are samples of the endpoints that other gateways prefer, in
	// this zone and in others. upToDate is a sample of those that hold the latest weights,
	// for a request with LatestVersion set.
	sameZone, otherZone, upToDate reservoir
	// full is set if an endpoint was left out because it is full. loading is set if a
	// paused endpoint was left out as not eligible.
	full, loading bool
	// neverEnds is set if an endpoint was left out because the stream could not end there in
	// time.
	neverEnds bool
	// opensIn is the shortest time until an endpoint with a rate limit or a back-off
	// accepts the request; 0 if there is none.
	opensIn time.Duration
	// tokenFrom is an endpoint whose holder can be asked for a token. staleLimit is one
	// that has not been heard from for a long time. Either is nil if there is none.
	tokenFrom, staleLimit *endpoint
	// cold is a sample of the cold endpoints whose holders can be asked for a token.
	cold reservoir
}

// addUnavailable adds an endpoint that accepts no request until opensIn has passed.
func (c *candidates) addUnavailable(e *endpoint, opensIn time.Duration, now time.Time) {
	if c.opensIn == 0 || opensIn < c.opensIn {
		c.opensIn = opensIn
	}
	if e.held {
		e.advisory.limit.holderBlockedAt = now
	}
	if !e.mayRequestToken(now) {
		return
	}
	c.tokenFrom = e
	if e.advisory.limit.stale(now) {
		c.staleLimit = e
	}
}

// requestToken returns the endpoint whose holder should be asked for a token, if there is
// one that is not already being asked through Config.OnTokenWanted.
func (c *candidates) requestToken(now time.Time) roster.Incarnation {
	if c.tokenFrom == nil || c.tokenFrom == c.staleLimit {
		return roster.Incarnation{}
	}
	c.tokenFrom.advisory.limit.noteTokenRequest(now)
	return c.tokenFrom.record.Incarnation()
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
	for _, sampled := range [][]endpointLoad{c.sameZone.items(), c.otherZone.items(), c.upToDate.items()} {
		for _, x := range sampled {
			c.usable.consider(x.endpoint, b.cost(x.endpoint, x.load, q, now))
		}
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

// candidates returns the endpoints that a request for q may be sent to.
func (b *Balancer) candidates(s *shard, q *Query, now time.Time) candidates {
	empty := reservoir{random: b.cfg.Random}
	c := candidates{sameZone: empty, otherZone: empty, upToDate: empty, cold: empty}
	usable, preferred := b.preferred(s, q, now)
	shared := SharedLoad(usable, preferred)
	if q.Admitted {
		shared = q.MaxLoad
	}
	responds := b.respondingFilter(s, q.MaxIdle, now)
	for _, e := range s.ordered {
		if !e.eligible(q) || !responds(e) {
			c.loading = c.loading || e.included(q) && e.health.paused(now)
			continue
		}
		if opensIn := e.opensIn(now); opensIn > 0 {
			c.addUnavailable(e, opensIn, now)
			if e.offersColdToken(now) && b.usable(e, now) {
				c.cold.add(e, b.load(e))
			}
			continue
		}
		limit := MaxLoad(q.MaxLoad, shared, e.preferred, preferred > 0)
		if limit > 0 && e.record.ID == q.Vacated {
			limit = max(limit, freeSlotLoad)
		}
		b.addOpen(&c, e, q, limit, now)
	}
	return c
}

// addOpen adds an endpoint that accepts requests to c. limit is the load at which it is full, or 0.
func (b *Balancer) addOpen(c *candidates, e *endpoint, q *Query, limit float64, now time.Time) {
	load := b.load(e)
	fit := e.fit(&q.Work, load, now)
	switch {
	case fit == work.NeverEnds:
		c.neverEnds = true
	case limit > 0 && load >= limit:
		c.full = true
	case !b.usable(e, now):
		c.unusable.consider(e, b.cost(e, load, q, now))
	case fit == work.EndsLate:
		c.overrun.consider(e, load)
	case q.LeastLoaded:
		c.usable.consider(e, load)
	case q.Vacated != "" && e.record.ID == q.Vacated:
		c.usable.consider(e, load-vacatedBenefit)
	case e.preferred || e.rateLimited(now):
		c.usable.consider(e, b.cost(e, load, q, now))
	case q.LatestVersion > 0 && !e.reloadPending(q):
		c.upToDate.add(e, load)
	case e.record.Zone == b.cfg.Zone:
		c.sameZone.add(e, load)
	default:
		c.otherZone.add(e, load)
	}
}

// preferred returns the number of endpoints that the gateway prefers, and how many of them
// can be used for q.
func (b *Balancer) preferred(s *shard, q *Query, now time.Time) (usable, preferred int) {
	for _, e := range s.ordered {
		if !e.preferred {
			continue
		}
		preferred++
		if e.eligible(q) && b.usable(e, now) && !e.rateLimited(now) && !e.inBackoff(now) {
			usable++
		}
	}
	return usable, preferred
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
