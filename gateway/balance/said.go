package balance

import (
	"time"

	"github.com/silverdeck/silverdeck/gateway/advisory"
	"github.com/silverdeck/silverdeck/roster"
)

// said is what an endpoint said of itself in its answers. It belongs to one life, and neither
// the store's list nor an ejection that ends undoes it.
type said struct {
	limit limit
	// leaving is set once it said that it leaves.
	leaving bool
	// restUntil is until when it wants no requests of this gateway.
	restUntil time.Time
	// unreadable is set once a head of its answers could not be read whole.
	unreadable bool
	news       news
}

// learn takes in what another gateway tells, and returns whether that is new.
func (s *said) learn(r *advisory.Record, now time.Time) bool {
	change := s.limit.learn(r, now)
	leaves := s.leave(r.Leaving)
	if change == LimitSame && !leaves {
		return false
	}
	s.news = news{changedAt: now}
	return true
}

// leaving returns whether e leaves, by its record or its own word.
func (e *endpoint) leaving() bool {
	return e.record.Leaving || e.said.leaving
}

// leave takes in whether the endpoint says that it leaves, and returns whether that is new.
// Nothing takes it back: late heads of other connections may lack it.
func (s *said) leave(leaving bool) bool {
	changed := leaving && !s.leaving
	s.leaving = s.leaving || leaving
	return changed
}

// rest takes in for how long the endpoint wants no requests, and returns whether that is
// longer than was known. No answer ends a rest.
func (s *said) rest(d time.Duration, now time.Time) bool {
	until := now.Add(d)
	if d == 0 || !until.After(s.restUntil) {
		return false
	}
	s.restUntil = until
	return true
}

// keepDeparted is for how long what an endpoint said is kept after its record has gone: a
// store that comes back from an outage may bring the record again.
const keepDeparted = time.Minute

// departed is what an endpoint without a record had said.
type departed struct {
	life roster.Life
	said *said
	// since is when it was found to be gone, or zero.
	since time.Time
}

// depart keeps what e said. The caller holds the lock.
func (s *shard) depart(e *endpoint) {
	if s.departed == nil {
		s.departed = map[string]*departed{}
	}
	s.departed[e.record.ID] = &departed{life: e.record.Life(), said: e.said}
}

// come returns an endpoint that has a record now, with what it had said before. The caller
// holds the lock.
func (s *shard) come(r *roster.Endpoint) *endpoint {
	e := &endpoint{record: r, said: &said{}}
	if d := s.departed[r.ID]; d != nil && d.life.Same(r.Life()) {
		e.said = d.said
	}
	delete(s.departed, r.ID)
	return e
}

// expireDeparted forgets endpoints that have been gone for long. The caller holds the lock.
func (s *shard) expireDeparted(now time.Time) {
	for id, d := range s.departed {
		if d.since.IsZero() {
			d.since = now
		}
		if now.Sub(d.since) > keepDeparted {
			delete(s.departed, id)
		}
	}
}

// limited returns whether e takes less than its slots tell, by its own word.
func (e *endpoint) limited(now time.Time) bool {
	return e.said.limit.stands(e.held, now)
}

// resting returns whether e wants no requests of this gateway now.
func (e *endpoint) resting(now time.Time) bool {
	return now.Before(e.said.restUntil)
}

// opensIn returns after what time e takes a request of this gateway by its own word, or 0 if
// it does now.
func (e *endpoint) opensIn(now time.Time) time.Duration {
	if !e.said.limit.named && e.said.restUntil.IsZero() {
		return 0 // as nearly always: each choice asks this of all endpoints
	}
	return max(e.limitOpensIn(now), e.said.restUntil.Sub(now), 0)
}

// limitOpensIn returns after what time the limit of e leaves room for a request, or 0 if it
// does now. Where another gateway holds the endpoint it leaves room for each token.
func (e *endpoint) limitOpensIn(now time.Time) time.Duration {
	switch l := &e.said.limit; {
	case !e.limited(now):
		return 0
	case e.held:
		return max(l.opensAt.Sub(now), 0)
	case now.Before(l.tokenUntil):
		return max(l.tokenFrom.Sub(now), 0)
	default:
		return max(l.askAt.Sub(now), minAsk)
	}
}

// Heard is what an answer's head changed in what is known of its endpoint.
type Heard struct {
	Limit LimitChange
	// Leaves is set for the first head that says that the endpoint leaves.
	Leaves bool
	// Rests is set where the endpoint asked for a longer rest than was known.
	Rests bool
	// FirstUnreadable is set for the first head of an endpoint's life that could not be read
	// whole.
	FirstUnreadable bool
}

// Hear takes in what the endpoint said of itself in the head of an answer to a request that
// was sent at sentAt.
func (l *Lease) Hear(a advisory.Advisory, sentAt, now time.Time) Heard {
	l.shard.mu.Lock()
	defer l.shard.mu.Unlock()
	s := l.endpoint.said
	first := len(a.Unreadable) > 0 && !s.unreadable
	s.unreadable = s.unreadable || first
	heard := Heard{
		Limit:           s.limit.hear(a.Limit, sentAt, now),
		Leaves:          s.leave(a.Leaving),
		Rests:           s.rest(a.Rest, now),
		FirstUnreadable: first,
	}
	if heard.Limit != LimitSame || heard.Leaves {
		s.news = news{changedAt: now, heard: true}
		l.balancer.cfg.Advised()
	}
	return heard
}
