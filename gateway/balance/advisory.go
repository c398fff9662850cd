package balance

import (
	"time"

	"github.com/silverdeck/silverdeck/gateway/advisory"
	"github.com/silverdeck/silverdeck/roster"
)

// advisoryState is what an endpoint reported about itself in its response headers. It
// belongs to one incarnation, and neither the store's list nor the end of an ejection
// resets it.
type advisoryState struct {
	limit rateLimit
	// leaving is set once the endpoint announced that it is leaving.
	leaving bool
	// backoffUntil is the time until which the endpoint wants no requests from this
	// gateway.
	backoffUntil time.Time
	// unreadable is set once a response header of the endpoint could not be fully parsed.
	unreadable  bool
	propagation propagation
}

// merge applies a record from another gateway and reports whether it contained new
// information. recorded is set if the endpoint is known to be leaving by its record in the store.
func (s *advisoryState) merge(r *advisory.Record, recorded bool, now time.Time) bool {
	change := s.limit.merge(r, now)
	newlyLeaving := s.markLeaving(r.Leaving) && !recorded
	if change == LimitUnchanged && !newlyLeaving {
		return false
	}
	s.propagation = propagation{changedAt: now}
	return true
}

// leaving reports whether e is leaving, according to its record or its own announcement.
func (e *endpoint) leaving() bool {
	return e.record.Leaving || e.advisory.leaving
}

// markLeaving applies a leaving announcement, if there is one, and reports whether it is
// new. It is never revoked: late headers from other connections may lack it.
func (s *advisoryState) markLeaving(leaving bool) bool {
	changed := leaving && !s.leaving
	s.leaving = s.leaving || leaving
	return changed
}

// extendCold applies that the endpoint remains cold for d. No response ends that early.
func (s *advisoryState) extendCold(d time.Duration, now time.Time) {
	if d == 0 {
		return
	}
	wasCold := s.limit.cold(now)
	s.limit.coldUntil = later(s.limit.coldUntil, now.Add(d))
	if !wasCold {
		s.limit.startHolding(now)
	}
}

// extendBackoff applies a requested back-off of d and reports whether it ends later than
// the known one. No response ends a back-off early.
func (s *advisoryState) extendBackoff(d time.Duration, now time.Time) bool {
	until := now.Add(d)
	if d == 0 || !until.After(s.backoffUntil) {
		return false
	}
	s.backoffUntil = until
	return true
}

// removedRetention is how long advisory state is kept after an endpoint's record was
// removed: a store that recovers from an outage may restore the record.
const removedRetention = time.Minute

// removedEndpoint is the advisory state of an endpoint without a record.
type removedEndpoint struct {
	incarnation roster.Incarnation
	advisory    *advisoryState
	// since is when the endpoint was first found to be removed, or zero.
	since time.Time
}

// keepRemoved retains the advisory state of e. The lock must be held.
func (s *shard) keepRemoved(e *endpoint) {
	if s.removed == nil {
		s.removed = map[string]*removedEndpoint{}
	}
	s.removed[e.record.ID] = &removedEndpoint{incarnation: e.record.Incarnation(), advisory: e.advisory}
}

// newEndpoint returns a new endpoint for r, with its retained advisory state if there is
// any. The lock must be held.
func (s *shard) newEndpoint(r *roster.Endpoint) *endpoint {
	e := &endpoint{record: r, advisory: &advisoryState{}, evacuated: s.evacuated[r.Zone]}
	if old := s.removed[r.ID]; old != nil && old.incarnation.Same(r.Incarnation()) {
		e.advisory = old.advisory
	}
	delete(s.removed, r.ID)
	e.applyCold(s.coldLimit)
	return e
}

// expireRemoved discards the state of endpoints that were removed more than
// removedRetention ago. The lock must be held.
func (s *shard) expireRemoved(now time.Time) {
	for id, d := range s.removed {
		if d.since.IsZero() {
			d.since = now
		}
		if now.Sub(d.since) > removedRetention {
			delete(s.removed, id)
		}
	}
}

// rateLimited reports whether a rate limit declared by e applies.
func (e *endpoint) rateLimited(now time.Time) bool {
	return e.advisory.limit.active(e.held, now)
}

// inBackoff reports whether e currently wants no requests from this gateway.
func (e *endpoint) inBackoff(now time.Time) bool {
	return now.Before(e.advisory.backoffUntil)
}

// opensIn returns the time until the rate limit and back-off of e allow a request from this
// gateway, or 0 if they do now.
func (e *endpoint) opensIn(now time.Time) time.Duration {
	if l := &e.advisory.limit; !l.declared && l.coldUntil.IsZero() && e.advisory.backoffUntil.IsZero() {
		return 0 // fast path: called for all endpoints in each selection
	}
	return max(e.limitOpensIn(now), e.advisory.backoffUntil.Sub(now), 0)
}

// limitOpensIn returns the time until the rate limit of e allows a request, or 0 if it does
// now. If another gateway holds the endpoint, the limit allows one request per token.
func (e *endpoint) limitOpensIn(now time.Time) time.Duration {
	switch l := &e.advisory.limit; {
	case !e.rateLimited(now):
		return 0
	case e.held:
		return max(l.nextSendAt.Sub(now), 0)
	case now.Before(l.tokenUntil):
		return max(l.tokenFrom.Sub(now), 0)
	default:
		return max(l.nextTokenRequestAt.Sub(now), minTokenRequestInterval)
	}
}

// AdvisoryChange is the effect of a response header on the known state of its endpoint.
type AdvisoryChange struct {
	Limit LimitChange
	// NowLeaving is set for the first header that announces that the endpoint is leaving.
	NowLeaving bool
	// BackoffExtended is set if the endpoint asked for a longer back-off than was known.
	BackoffExtended bool
	// FirstUnreadable is set for the first header of an incarnation that could not be fully
	// parsed.
	FirstUnreadable bool
}

// ApplyAdvisory applies what the endpoint reported about itself in the response header of a
// request that was sent at sentAt.
func (l *Lease) ApplyAdvisory(a advisory.Advisory, sentAt, now time.Time) AdvisoryChange {
	l.shard.mu.Lock()
	defer l.shard.mu.Unlock()
	s := l.endpoint.advisory
	first := len(a.Unreadable) > 0 && !s.unreadable
	s.unreadable = s.unreadable || first
	s.extendCold(a.Cold, now)
	defer l.shard.note(l.endpoint, now)
	change := AdvisoryChange{
		Limit:           s.limit.observe(a.Limit, sentAt, now),
		NowLeaving:      s.markLeaving(a.Leaving),
		BackoffExtended: s.extendBackoff(a.RetryAfter, now),
		FirstUnreadable: first,
	}
	if change.Limit != LimitUnchanged || change.NowLeaving {
		s.propagation = propagation{changedAt: now, firsthand: true}
		l.balancer.cfg.OnAdvisory()
	}
	return change
}
