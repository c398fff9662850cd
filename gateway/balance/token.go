package balance

import (
	"time"

	"github.com/silverdeck/silverdeck/roster"
)

// Tokens for endpoints that other gateways hold.
const (
	// tokenTTL is how long a token is valid.
	tokenTTL = time.Second
	// maxGrantDelay is how far in advance of its validity a token is granted at most: the
	// gateway refuses requests that arrive before it becomes valid.
	maxGrantDelay = time.Second
	// demandTTL is how long after the holder could not send a request of its own it keeps
	// its turn, and how long a gateway that requested a token takes part in the turns.
	demandTTL = time.Second
	// coldTokenTTL and maxColdGrantDelay take the place of tokenTTL and maxGrantDelay while an
	// endpoint is cold. A gateway uses such a token for its next request, so it is short-lived:
	// all tokens granted within coldTokenTTL may be used at the same moment.
	coldTokenTTL = 150 * time.Millisecond
	// maxColdGrantDelay is described at coldTokenTTL.
	maxColdGrantDelay = 100 * time.Millisecond
	// minTokenRequestInterval is the shortest interval between two token requests of a
	// gateway for one endpoint.
	minTokenRequestInterval = 200 * time.Millisecond
	// staleLimitGrace is how long, beyond the interval between two requests, nothing may be
	// heard from a rate-limited endpoint before a gateway other than its holder checks
	// whether the limit still applies: the holder may have no requests for it.
	staleLimitGrace = 2 * time.Second
)

// TokenRetryDelay returns the delay before a gateway repeats a token request after being
// told that the endpoint accepts the next request in opensIn. The delay is randomized so
// that the same gateway does not always come first. draw is a random number in [0, 1).
func TokenRetryDelay(opensIn time.Duration, draw float64) time.Duration {
	return time.Duration((0.5 + draw) * float64(max(opensIn, minTokenRequestInterval)))
}

// tokenRequester is a gateway that requests tokens.
type tokenRequester struct {
	// requestedAt is when it last requested a token; grantedAt is when it was last granted
	// one.
	requestedAt, grantedAt time.Time
}

// grant gives a gateway the next request, which may be sent after opensIn, unless that is
// too far ahead or it is another gateway's turn. The holder takes turns with the other
// gateways while both have demand, and so do the other gateways among themselves, so that
// no gateway's clients are starved.
//
// For a cold endpoint the first gateway to ask comes first: all gateways have other endpoints,
// and waiting for turns would leave it idle for most of the few seconds until it is warm.
func (l *rateLimit) grant(gateway string, opensIn time.Duration, now time.Time) bool {
	if l.cold(now) && !l.declared {
		return l.grantCold(opensIn, now)
	}
	a := l.requester(gateway, now)
	holderTurn := l.lastGranted && now.Sub(l.holderBlockedAt) < demandTTL
	if holderTurn || opensIn > maxGrantDelay || l.otherWaitsLonger(a) {
		return false
	}
	l.nextSendAt = now.Add(opensIn + l.interval(now))
	l.lastGranted, a.grantedAt = true, now
	return true
}

func (l *rateLimit) grantCold(opensIn time.Duration, now time.Time) bool {
	if opensIn > maxColdGrantDelay {
		return false
	}
	l.nextSendAt = now.Add(opensIn + l.interval(now))
	return true
}

// requester records that a gateway requests a token, and discards gateways that have not
// done so recently.
func (l *rateLimit) requester(gateway string, now time.Time) *tokenRequester {
	if l.requesters == nil {
		l.requesters = map[string]*tokenRequester{}
	}
	for name, a := range l.requesters {
		if now.Sub(a.requestedAt) > demandTTL {
			delete(l.requesters, name)
		}
	}
	a := l.requesters[gateway]
	if a == nil {
		a = &tokenRequester{}
		l.requesters[gateway] = a
	}
	a.requestedAt = now
	return a
}

// otherWaitsLonger reports whether another requesting gateway has waited longer than a.
func (l *rateLimit) otherWaitsLonger(a *tokenRequester) bool {
	for _, other := range l.requesters {
		if other.grantedAt.Before(a.grantedAt) {
			return true
		}
	}
	return false
}

// mayRequestToken reports whether the holder of e may be asked for a token now: a token has
// no use while e is in back-off, and neither has a second one.
func (e *endpoint) mayRequestToken(now time.Time) bool {
	if e.held || !e.rateLimited(now) || e.inBackoff(now) {
		return false
	}
	l := &e.advisory.limit
	return !now.Before(l.nextTokenRequestAt) && !now.Before(l.tokenUntil)
}

// offersColdToken reports whether a token for e is of use because e is cold: it declares no limit
// of its own, and remains cold until the holder has replied.
func (e *endpoint) offersColdToken(now time.Time) bool {
	l := &e.advisory.limit
	return !l.declared && l.cold(now.Add(coldTokenTTL)) && e.mayRequestToken(now)
}

// stale reports whether nothing has been heard from the endpoint for so long that its limit
// may have ended.
func (l *rateLimit) stale(now time.Time) bool {
	return l.declared && now.Sub(l.heardAt) > LimitInterval(l.rate)+staleLimitGrace
}

// noteTokenRequest records that the holder is being asked for a token.
func (l *rateLimit) noteTokenRequest(now time.Time) {
	l.nextTokenRequestAt = now.Add(minTokenRequestInterval)
}

// coldTimeOr returns coldFor, or how long an endpoint is cold after a start if that is unknown.
func (l *rateLimit) coldTimeOr(coldFor time.Duration) time.Duration {
	if coldFor > 0 {
		return coldFor
	}
	return l.coldTime
}

// ColdFor returns how long an endpoint will remain cold as far as this gateway knows.
func (b *Balancer) ColdFor(of roster.Incarnation, now time.Time) time.Duration {
	var out time.Duration
	b.withEndpoint(of, now, func(e *endpoint) { out = max(e.advisory.limit.coldUntil.Sub(now), 0) })
	return out
}

// Grant implements tokens.Granter.
func (b *Balancer) Grant(gateway string, of roster.Incarnation, coldFor time.Duration, now time.Time) (granted bool, opensIn time.Duration) {
	b.withEndpoint(of, now, func(e *endpoint) {
		if !e.held {
			return
		}
		if l := &e.advisory.limit; l.coldRate > 0 && !e.rateLimited(now) {
			l.coldUntil = later(l.coldUntil, now.Add(l.coldTimeOr(coldFor))) // the other gateway may know that e is cold
		}
		opensIn = e.limitOpensIn(now)
		granted = !e.rateLimited(now) || e.advisory.limit.grant(gateway, opensIn, now)
	})
	return granted, opensIn
}

// TokenReply is the holder's reply to a token request: either a token, which is valid after
// OpensIn, or the time after which to ask again.
type TokenReply struct {
	Granted bool
	OpensIn time.Duration
	// RequestedAt is when the token was requested. A token of a cold endpoint expires counted
	// from then, so that a reply on its way does not extend it.
	RequestedAt time.Time
}

// ApplyTokenReply applies the holder's reply to a token request.
func (b *Balancer) ApplyTokenReply(of roster.Incarnation, r TokenReply, now time.Time) {
	b.withEndpoint(of, now, func(e *endpoint) {
		l := &e.advisory.limit
		if r.Granted {
			l.tokenFrom = now.Add(r.OpensIn)
			l.tokenUntil = l.tokenFrom.Add(tokenTTL)
			if l.cold(now) {
				l.tokenUntil = r.RequestedAt.Add(r.OpensIn + coldTokenTTL)
			}
		}
		l.nextTokenRequestAt = now.Add(TokenRetryDelay(r.OpensIn, b.cfg.Random()))
	})
}

// withEndpoint calls f with the given incarnation of an endpoint, if it is known, with the
// lock held.
func (b *Balancer) withEndpoint(of roster.Incarnation, now time.Time, f func(*endpoint)) {
	b.eachShard(func(s *shard) {
		if e := s.endpoints[of.ID]; e != nil && e.record.Incarnation().Same(of) {
			f(e)
			s.note(e, now)
		}
	})
}
