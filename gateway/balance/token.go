package balance

import (
	"time"

	"github.com/silverdeck/silverdeck/roster"
)

// Tokens of endpoints that other gateways hold.
const (
	// tokenTime is for how long a token may be used.
	tokenTime = time.Second
	// maxAhead is how long before it may be used a token is given at most: the callers who come
	// until then are refused.
	maxAhead = time.Second
	// wantedTime is for how long the holder keeps its turn after it had no room for a request.
	wantedTime = time.Second
	// minAsk is the least time between two questions of a gateway for tokens of one endpoint.
	minAsk = 200 * time.Millisecond
	// unheardTime is for how long nothing may be heard from an endpoint with a limit, beyond
	// the time between two requests, until another gateway than its holder looks whether the
	// limit stands: the holder may have no requests for it.
	unheardTime = 2 * time.Second
)

// AskPause returns after what time a gateway asks again that was told when the endpoint takes
// the next request. Drawn, so that of several gateways not always the same comes first. draw is
// a random number from [0, 1).
func AskPause(opensIn time.Duration, draw float64) time.Duration {
	return time.Duration((0.5 + draw) * float64(max(opensIn, minAsk)))
}

// asker is a gateway that asks for tokens.
type asker struct {
	// askedAt is when it did so last, lentAt when it got one.
	askedAt, lentAt time.Time
}

// lend gives a gateway the next request, which may be sent after opensIn, unless that is too far
// ahead or another's turn. The holder and the others take turns while both want some, and so do
// the others among themselves, so that nobody's callers are left without.
func (l *limit) lend(gateway string, opensIn time.Duration, now time.Time) bool {
	a := l.asker(gateway, now)
	ownTurn := l.lent && now.Sub(l.wantedAt) < wantedTime
	if ownTurn || opensIn > maxAhead || l.isBehind(a) {
		return false
	}
	l.opensAt = now.Add(opensIn + LimitInterval(l.rate))
	l.lent, a.lentAt = true, now
	return true
}

// asker notes that a gateway asks, and forgets those that have not asked for a while.
func (l *limit) asker(gateway string, now time.Time) *asker {
	if l.askers == nil {
		l.askers = map[string]*asker{}
	}
	for name, a := range l.askers {
		if now.Sub(a.askedAt) > wantedTime {
			delete(l.askers, name)
		}
	}
	a := l.askers[gateway]
	if a == nil {
		a = &asker{}
		l.askers[gateway] = a
	}
	a.askedAt = now
	return a
}

// isBehind returns whether another gateway that asks has waited for longer.
func (l *limit) isBehind(a *asker) bool {
	for _, other := range l.askers {
		if other.lentAt.Before(a.lentAt) {
			return true
		}
	}
	return false
}

// asks returns whether the holder of e may be asked for a token now: there is no use for one
// while e rests, nor for a second one.
func (e *endpoint) asks(now time.Time) bool {
	if e.held || !e.limited(now) || e.resting(now) {
		return false
	}
	l := &e.said.limit
	return !now.Before(l.askAt) && !now.Before(l.tokenUntil)
}

// unheard returns whether nothing was heard from e for so long that its limit may have ended.
func (l *limit) unheard(now time.Time) bool {
	return now.Sub(l.heardAt) > LimitInterval(l.rate)+unheardTime
}

// ask notes that the holder is being asked.
func (l *limit) ask(now time.Time) {
	l.askAt = now.Add(minAsk)
}

// Grant implements tokens.Granter.
func (b *Balancer) Grant(gateway string, of roster.Life, now time.Time) (granted bool, opensIn time.Duration) {
	b.withEndpoint(of, func(e *endpoint) {
		if !e.held {
			return
		}
		opensIn = e.limitOpensIn(now)
		granted = !e.limited(now) || e.said.limit.lend(gateway, opensIn, now)
	})
	return granted, opensIn
}

// Answered takes in what the holder of an endpoint answered to the question for a token: that
// it gave one, which may be used after a time, or after what time to ask again.
func (b *Balancer) Answered(of roster.Life, granted bool, opensIn time.Duration, now time.Time) {
	b.withEndpoint(of, func(e *endpoint) {
		l := &e.said.limit
		if granted {
			l.tokenFrom = now.Add(opensIn)
			l.tokenUntil = l.tokenFrom.Add(tokenTime)
		}
		l.askAt = now.Add(AskPause(opensIn, b.cfg.Random()))
	})
}

// withEndpoint calls f with one life of an endpoint, under the lock, if there is one.
func (b *Balancer) withEndpoint(of roster.Life, f func(*endpoint)) {
	b.eachShard(func(s *shard) {
		if e := s.endpoints[of.ID]; e != nil && e.record.Life().Same(of) {
			f(e)
		}
	})
}
