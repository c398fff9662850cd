package roster

import (
	"maps"
	"sync"
	"time"
)

// Thresholds for a mass disappearance: so many endpoints of a service are missing from the
// platform's list at once only if the platform has lost their records.
const (
	// minMassCount is the least number of endpoints; two may fail at the same time.
	minMassCount = 3
	// minMassShare is the least share of the service's endpoints.
	minMassShare = 0.4
)

// Retention keeps endpoints that disappear from the platform's list because its store was
// unavailable and could not record their heartbeats. Their records return soon after the
// store does; an endpoint that is still missing then is gone. It is safe for concurrent use.
type Retention struct {
	grace, unnoticedGrace time.Duration

	mu sync.Mutex
	// storeLost is set while the store is unreachable.
	storeLost bool
	// returnedAt is when the store last became reachable again.
	returnedAt time.Time
	// kept holds the retained endpoints, by ID.
	kept map[string]retained
}

// retained is how long a missing endpoint is kept.
type retained struct {
	until time.Time
	// mass is set for an endpoint that disappeared in a mass disappearance. It is kept while
	// the store is unreachable, even if that is detected only after the disappearance.
	mass bool
}

// NewRetention returns a Retention that keeps missing endpoints for grace after the store's
// return. After a mass disappearance without a detected store failure it keeps them for
// unnoticedGrace.
func NewRetention(grace, unnoticedGrace time.Duration) *Retention {
	return &Retention{grace: grace, unnoticedGrace: unnoticedGrace, kept: map[string]retained{}}
}

// StoreLost records that the store answers none of the gateways that watch it.
func (r *Retention) StoreLost() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeLost = true
}

// StoreReturned records that the store is reachable again.
func (r *Retention) StoreReturned(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.storeLost {
		return
	}
	r.storeLost = false
	r.returnedAt = now
}

// StoreRestored records that the store returned from a copy. The records of endpoints that started since
// the copy was made are missing until they are written again.
func (r *Retention) StoreRestored(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.returnedAt = now
}

// AddRetained adds to list those endpoints of before that are missing from it and may return.
// It returns when the first of them expires, or the zero time if none was added.
func (r *Retention) AddRetained(list, before *List, now time.Time) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.kept, func(id string, _ retained) bool { return list.Endpoints[id] != nil })
	if before == nil {
		return time.Time{}
	}
	together := isMassDisappearance(list, before)
	until := r.initialExpiry(together, now)
	var first time.Time
	for id, e := range before.Endpoints {
		if list.Endpoints[id] != nil || e.Leaving {
			continue
		}
		t, known := r.kept[id]
		if !known {
			t = retained{until: until, mass: together}
			r.kept[id] = t
		}
		end := r.expiry(t, now)
		if !now.Before(end) {
			delete(r.kept, id)
			continue
		}
		list.Endpoints[id] = e
		if first.IsZero() || end.Before(first) {
			first = end
		}
	}
	return first
}

// MayHaveLapsed reports whether the records of endpoints of before that were gone for a moment, as listed by
// ID, may have lapsed while their endpoints were running.
func (r *Retention) MayHaveLapsed(gone map[string]bool, before *List, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.storeLost || now.Before(r.returnedAt.Add(r.grace)) {
		return true
	}
	left := &List{Endpoints: maps.Clone(before.Endpoints)}
	maps.DeleteFunc(left.Endpoints, func(id string, _ *Endpoint) bool { return gone[id] })
	return isMassDisappearance(left, before)
}

// expiry returns when an endpoint expires, as far as is known now. The lock must be held.
func (r *Retention) expiry(t retained, now time.Time) time.Time {
	if !t.mass {
		return t.until
	}
	if r.storeLost {
		return now.Add(r.grace)
	}
	if returned := r.returnedAt.Add(r.grace); returned.After(t.until) {
		return returned
	}
	return t.until
}

// initialExpiry returns when endpoints that disappear now expire. The lock must be held.
func (r *Retention) initialExpiry(together bool, now time.Time) time.Time {
	if r.storeLost {
		return now.Add(r.grace)
	}
	until := r.returnedAt.Add(r.grace)
	if !now.Before(until) && together {
		return now.Add(r.unnoticedGrace)
	}
	return until
}

// isMassDisappearance reports whether more endpoints of one service are missing from list
// than can have left at the same time.
func isMassDisappearance(list, before *List) bool {
	all, missing := map[string]int{}, map[string]int{}
	for id, e := range before.Endpoints {
		all[e.Service]++
		if list.Endpoints[id] == nil && !e.Leaving {
			missing[e.Service]++
		}
	}
	for service, n := range missing {
		if n >= minMassCount && float64(n) >= minMassShare*float64(all[service]) {
			return true
		}
	}
	return false
}
