package balance

import (
	"time"

	"github.com/silverdeck/silverdeck/gateway/work"
	"github.com/silverdeck/silverdeck/roster"
)

// maxDraws is how often a selection draws an endpoint of a zone group. With four fifths of the group full
// or not eligible, fewer than sampleSize are found less than once in 50,000 selections.
const maxDraws = 64

// DrawsSamples reports whether the selection for q among the given number of endpoints draws its
// samples. It looks at all endpoints where these are no more than it would draw, where the best of all is
// wanted, where few are allowed, and for a response that has begun, whose sample depends on the weights.
func DrawsSamples(endpoints int, q *Query) bool {
	return endpoints > maxDraws && !q.LeastLoaded && len(q.Include) == 0 && q.LatestVersion == 0
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
	// accepts the request, or an unprepared one is asked again; 0 if there is none.
	opensIn time.Duration
	// tokenFrom is an endpoint whose holder can be asked for a token. staleLimit is one
	// that has not been heard from for a long time. Either is nil if there is none.
	tokenFrom, staleLimit *endpoint
	// cold is a sample of the cold endpoints whose holders can be asked for a token.
	cold reservoir
}

// noteOpening notes that an endpoint accepts no request until opensIn has passed.
func (c *candidates) noteOpening(opensIn time.Duration) {
	if c.opensIn == 0 || opensIn < c.opensIn {
		c.opensIn = opensIn
	}
}

// addUnavailable adds an endpoint that has stated to accept no request until opensIn has passed.
func (c *candidates) addUnavailable(e *endpoint, opensIn time.Duration, now time.Time) {
	c.noteOpening(opensIn)
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

// selection selects the endpoint for a request.
type selection struct {
	candidates
	balancer *Balancer
	q        *Query
	now      time.Time
	// shared is the load limit for endpoints that other gateways prefer, prefersAny whether this
	// one prefers any.
	shared     float64
	prefersAny bool
	responding respondingFilter
}

// candidates returns the endpoints that a request for q may be sent to. If nothing usable was drawn,
// it looks at all endpoints. The shard's lock must be held.
func (b *Balancer) candidates(s *shard, q *Query, now time.Time) candidates {
	s.refreshIndex(b.cfg.Zone, now)
	usable, preferred := b.preferred(s, q, now)
	sel := selection{balancer: b, q: q, now: now, shared: SharedLoad(usable, preferred), prefersAny: preferred > 0}
	if q.Admitted {
		sel.shared = q.MaxLoad
	}
	sel.responding = b.respondingFilter(s, q.MaxIdle, now)
	if DrawsSamples(len(s.ordered), q) {
		sel.reset()
		sel.draw(s)
		sel.considerSamples()
	}
	if sel.usable.endpoint == nil {
		sel.reset()
		for _, e := range s.ordered {
			sel.add(e)
		}
		sel.considerSamples()
	}
	return sel.candidates
}

func (sel *selection) reset() {
	empty := reservoir{random: sel.balancer.cfg.Random}
	sel.candidates = candidates{sameZone: empty, otherZone: empty, upToDate: empty, cold: empty}
}

// draw adds the endpoints that each selection looks at, and samples of the others.
func (sel *selection) draw(s *shard) {
	s.index.settle(sel.now)
	for _, e := range s.index.always.members {
		sel.add(e)
	}
	if e := s.endpoints[sel.q.Vacated]; e != nil && e.group != &s.index.always {
		sel.add(e)
	}
	sel.drawFrom(&s.index.sameZone, &sel.sameZone)
	sel.drawFrom(&s.index.otherZone, &sel.otherZone)
}

// drawFrom adds endpoints of g, each as probable as the others, until enough were accepted into the
// sample.
func (sel *selection) drawFrom(g *group, sample *reservoir) {
	n := len(g.members)
	for i := 0; i < min(n, maxDraws) && sample.seen < sampleSize; i++ {
		g.swap(i, i+int(sel.balancer.cfg.Random()*float64(n-i)))
		sel.add(g.members[i])
	}
}

// considerSamples compares the sampled endpoints with the others.
func (sel *selection) considerSamples() {
	for _, sample := range [...]*reservoir{&sel.sameZone, &sel.otherZone, &sel.upToDate} {
		for _, x := range sample.items() {
			sel.usable.consider(x.endpoint, sel.balancer.cost(x.endpoint, x.load, sel.q, sel.now))
		}
	}
}

// add adds e to the candidates.
func (sel *selection) add(e *endpoint) {
	b, q, now := sel.balancer, sel.q, sel.now
	if !e.eligible(q) || !sel.responding.permits(e) {
		sel.loading = sel.loading || e.included(q) && e.health.paused(now)
		return
	}
	if preparedIn := e.health.preparedIn(now); preparedIn > 0 {
		sel.noteOpening(preparedIn)
		return
	}
	if opensIn := e.opensIn(now); opensIn > 0 {
		sel.addUnavailable(e, opensIn, now)
		if e.offersColdToken(now) && b.usable(e, now) {
			sel.cold.add(e, b.load(e))
		}
		return
	}
	limit := MaxLoad(q.MaxLoad, sel.shared, e.preferred, sel.prefersAny)
	if limit > 0 && e.record.ID == q.Vacated {
		limit = max(limit, freeSlotLoad)
	}
	sel.addOpen(e, limit)
}

// addOpen adds an endpoint that accepts requests. limit is the load at which it is full, or 0.
func (sel *selection) addOpen(e *endpoint, limit float64) {
	b, q, now := sel.balancer, sel.q, sel.now
	load := b.load(e)
	fit := e.fit(&q.Work, load, now)
	switch {
	case fit == work.NeverEnds:
		sel.neverEnds = true
	case limit > 0 && load >= limit:
		sel.full = true
	case !b.usable(e, now):
		sel.unusable.consider(e, b.cost(e, load, q, now))
	case fit == work.EndsLate:
		sel.overrun.consider(e, load)
	case q.LeastLoaded:
		sel.usable.consider(e, load)
	case q.Vacated != "" && e.record.ID == q.Vacated:
		sel.usable.consider(e, load-vacatedBenefit)
	case e.preferred || e.rateLimited(now):
		sel.usable.consider(e, b.cost(e, load, q, now))
	case q.LatestVersion > 0 && !e.reloadPending(q):
		sel.upToDate.add(e, load)
	case e.record.Zone == b.cfg.Zone:
		sel.sameZone.add(e, load)
	default:
		sel.otherZone.add(e, load)
	}
}

// preferred returns the number of endpoints that the gateway prefers, and how many of them
// can be used for q.
func (b *Balancer) preferred(s *shard, q *Query, now time.Time) (usable, preferred int) {
	for _, e := range s.index.always.members {
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
