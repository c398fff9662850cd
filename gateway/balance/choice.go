package balance

import (
	"fmt"
	"time"

	"github.com/silverdeck/silverdeck/roster"
)

// What counts in the choice beside the load, in requests for each slot.
const (
	// otherZoneCost is that of an endpoint in another availability zone: traffic between
	// zones is priced, but little.
	otherZoneCost = 0.10
	// notPreferredCost keeps gateways from choosing the same endpoint at the same moment,
	// since they know of each other's requests only by heartbeats.
	notPreferredCost = 0.80
	// changingCost is added for an endpoint that loads newer weights soon, for a request that
	// is to last. It is less than a full endpoint's load, so that the few that have changed
	// do not get all such requests.
	changingCost = 0.5
	// prefillUnit is the time of reading prompts that counts as one request for each slot.
	prefillUnit = 250 * time.Millisecond
	// jitter is drawn anew for each endpoint, so that equal ones share requests out. Less
	// than any of the costs above.
	jitter = 0.03
)

// Candidate is an endpoint as the choice sees it.
type Candidate struct {
	// Load is the requests of all gateways there, for each slot. Those of other
	// gateways are as old as their last heartbeat.
	Load float64
	// Prefill is the time for which this gateway's requests there are yet to be read.
	Prefill time.Duration
	// OtherZone is set when it is in another availability zone than the gateway.
	OtherZone bool
	// Preferred is set when this is the gateway that prefers it.
	Preferred bool
	// Changing is set when it loads newer weights soon, which the request would not outlast.
	Changing bool
	// Draw is a random number from [0, 1).
	Draw float64
}

// Cost returns what a choice of c costs, in requests for each slot. The endpoint
// with the lowest cost is chosen.
func Cost(c *Candidate) float64 {
	cost := c.Load + jitter*c.Draw + float64(c.Prefill)/float64(prefillUnit)
	if c.OtherZone {
		cost += otherZoneCost
	}
	if !c.Preferred {
		cost += notPreferredCost
	}
	if c.Changing {
		cost += changingCost
	}
	return cost
}

// MaxLoad returns the load at which an endpoint is full for this gateway. limit is
// the request's own, in requests for each slot, or 0 for none; shared is that of endpoints
// which others prefer; prefersAny is set when the gateway prefers endpoints of the service.
func MaxLoad(limit, shared float64, preferred, prefersAny bool) float64 {
	if limit == 0 || preferred || !prefersAny {
		return limit
	}
	return min(limit, shared)
}

// FullError tells that endpoints of a service exist and all are at their limit.
type FullError struct {
	Service string
	// OpensIn is after what time the first takes a request again, where all that may have it
	// take none now by their own word; 0 if another is merely full.
	OpensIn time.Duration
	// Ask is one of these whose holder can be asked for a token, if there is any.
	Ask roster.Life
}

// Error names the service.
func (e *FullError) Error() string {
	return fmt.Sprintf("balance: all endpoints of %s are full", e.Service)
}

// NoEndpointError tells that no endpoint of a service may take the request.
type NoEndpointError struct {
	Service string
	// Loading is set when one that may have the request is paused: it takes requests again
	// once it has loaded weights.
	Loading bool
}

// Error names the service.
func (e *NoEndpointError) Error() string {
	return fmt.Sprintf("balance: no endpoint of %s", e.Service)
}

// cheapest keeps the endpoint with the lowest cost.
type cheapest struct {
	endpoint *endpoint
	cost     float64
}

func (c *cheapest) offer(e *endpoint, cost float64) {
	if c.endpoint == nil || cost < c.cost {
		c.endpoint, c.cost = e, cost
	}
}

// options are the endpoints that a request may go to.
type options struct {
	// usable is the best of those that the gateway prefers and of those that were drawn,
	// unusable the best of those that are ejected, paused or suspected.
	usable, unusable cheapest
	// near and far are drawn from those that others prefer, in this zone and elsewhere,
	// lasting from those that keep their weights, where the request is to last.
	near, far, lasting sample
	// full is set when any was left out because it is full, loading when any that is paused
	// does not fit.
	full, loading bool
	// opensIn is the least time after which one takes the request that takes none now by its
	// own word; 0 if there is none.
	opensIn time.Duration
	// ask is one whose holder can be asked for a token, unheard one of which nothing was heard
	// for long; nil if there is none.
	ask, unheard *endpoint
}

// noteClosed notes an endpoint that takes a request only after a time.
func (o *options) noteClosed(e *endpoint, opensIn time.Duration, now time.Time) {
	if o.opensIn == 0 || opensIn < o.opensIn {
		o.opensIn = opensIn
	}
	if e.held {
		e.said.limit.wantedAt = now
	}
	if !e.asks(now) {
		return
	}
	o.ask = e
	if e.said.limit.unheard(now) {
		o.unheard = e
	}
}

// asked returns the endpoint whose holder is to be asked, if there is one.
func (o *options) asked(now time.Time) roster.Life {
	if o.ask == nil || o.ask == o.unheard {
		return roster.Life{}
	}
	o.ask.said.limit.ask(now)
	return o.ask.record.Life()
}

// choose returns the endpoint with the lowest cost of those that the gateway prefers, and
// of a few that are drawn from its own zone and from others. One that is ejected, paused
// or suspected is taken only when there is no other and none is merely full. The caller
// holds the shard's lock.
func (b *Balancer) choose(s *shard, q *Query, now time.Time) (*endpoint, error) {
	o := b.options(s, q, now)
	if e := o.unheard; e != nil {
		e.said.limit.ask(now)
		b.cfg.Unheard(e.record.Life())
	}
	for _, drawn := range [][]loaded{o.near.drawn(), o.far.drawn(), o.lasting.drawn()} {
		for _, x := range drawn {
			o.usable.offer(x.endpoint, b.cost(x.endpoint, x.load, q, now))
		}
	}
	switch {
	case o.usable.endpoint != nil:
		return o.usable.endpoint, nil
	case o.full:
		return nil, &FullError{Service: q.Service}
	case o.unusable.endpoint != nil && !q.Healthy:
		return o.unusable.endpoint, nil
	case o.opensIn > 0:
		return nil, &FullError{Service: q.Service, OpensIn: o.opensIn, Ask: o.asked(now)}
	}
	return nil, &NoEndpointError{Service: q.Service, Loading: o.loading}
}

// options returns the endpoints that a request of q may go to.
func (b *Balancer) options(s *shard, q *Query, now time.Time) options {
	draw := sample{random: b.cfg.Random}
	o := options{near: draw, far: draw, lasting: draw}
	usable, preferred := b.preferred(s, q, now)
	shared := SharedLoad(usable, preferred)
	answers := b.answers(s, q.MaxIdle, now)
	for _, e := range s.ordered {
		if !e.fits(q) || !answers(e) {
			o.loading = o.loading || e.among(q) && e.health.paused(now)
			continue
		}
		if opensIn := e.opensIn(now); opensIn > 0 {
			o.noteClosed(e, opensIn, now)
			continue
		}
		load := b.load(e)
		limit := MaxLoad(q.MaxLoad, shared, e.preferred, preferred > 0)
		switch {
		case limit > 0 && load >= limit:
			o.full = true
		case !b.usable(e, now):
			o.unusable.offer(e, b.cost(e, load, q, now))
		case q.Apart:
			o.usable.offer(e, load)
		case e.preferred || e.limited(now):
			o.usable.offer(e, b.cost(e, load, q, now))
		case q.Lasting > 0 && !e.changes(q):
			o.lasting.add(e, load)
		case e.record.Zone == b.cfg.Zone:
			o.near.add(e, load)
		default:
			o.far.add(e, load)
		}
	}
	return o
}

// preferred returns how many endpoints the gateway prefers, and how many of these it can use
// for a request of q.
func (b *Balancer) preferred(s *shard, q *Query, now time.Time) (usable, preferred int) {
	for _, e := range s.ordered {
		if !e.preferred {
			continue
		}
		preferred++
		if e.fits(q) && b.usable(e, now) && !e.limited(now) && !e.resting(now) {
			usable++
		}
	}
	return usable, preferred
}

// cost returns what a choice of e, whose load is given, costs a request of q. An endpoint that
// names a limit is preferred by whoever may send there: nobody else does now.
func (b *Balancer) cost(e *endpoint, load float64, q *Query, now time.Time) float64 {
	return Cost(&Candidate{
		Load:      load,
		Prefill:   e.prefill,
		OtherZone: e.record.Zone != b.cfg.Zone,
		Preferred: e.preferred || e.limited(now),
		Changing:  e.changes(q),
		Draw:      b.cfg.Random(),
	})
}
