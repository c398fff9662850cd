package balance

import (
	"time"

	"github.com/silverdeck/silverdeck/roster"
)

// Tokens of endpoints that other gateways hold.
const (
	// tokenTime is for how long a token may be used.
	tokenTime = time.Second
	// minAsk is the least time between two questions of a gateway for tokens of one endpoint.
	minAsk = 200 * time.Millisecond
	// unheardTime is for how long nothing may be heard from an endpoint with a limit, beyond
	// the time between two requests, until another gateway than its holder looks whether the
	// limit stands: the holder may have no requests for it.
	unheardTime = 2 * time.Second
)

// asks returns whether the holder of e may be asked for a token now.
func (e *endpoint) asks(now time.Time) bool {
	return !e.held && e.limited(now) && !e.resting(now) && !now.Before(e.said.limit.askAt)
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
func (b *Balancer) Grant(of roster.Life, now time.Time) (granted bool, opensIn time.Duration) {
	b.withEndpoint(of, func(e *endpoint) {
		if !e.held {
			return
		}
		if opensIn = e.limitOpensIn(now); opensIn == 0 {
			e.said.limit.take(now)
			granted = true
		}
	})
	return granted, opensIn
}

// Answered takes in what the holder of an endpoint answered to the question for a token: that
// it gave one, or after what time to ask again.
func (b *Balancer) Answered(of roster.Life, granted bool, opensIn time.Duration, now time.Time) {
	b.withEndpoint(of, func(e *endpoint) {
		l := &e.said.limit
		if granted {
			l.tokenUntil = now.Add(tokenTime)
		}
		l.askAt = now.Add(max(opensIn, minAsk))
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
