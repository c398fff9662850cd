package roster

import (
	"maps"
	"sync"
	"time"
)

// How many endpoints of a service vanish together only when the platform forgot
// them.
const (
	// massCount is the least number: two may die together.
	massCount = 3
	// massShare is the least part of the service's endpoints.
	massShare = 0.4
)

// Retention keeps endpoints that vanish from the platform's list because its
// store was away and could not take their heartbeats. They are back soon after
// the store's return; one that is still missing then is gone. It is safe for
// concurrent use.
type Retention struct {
	grace, unnoticed time.Duration

	mu sync.Mutex
	// storeLost is set while the store does not answer.
	storeLost bool
	// returnedAt is when the store last answered again.
	returnedAt time.Time
	// kept are the vanished endpoints, by ID.
	kept map[string]term
}

// term is for how long a vanished endpoint is kept.
type term struct {
	until time.Time
	// together is set for one that vanished with many others. While the store is away it is
	// kept, also where the store was found to be away only afterwards.
	together bool
}

// NewRetention returns a Retention that keeps vanished endpoints for grace
// after the store's return, and for unnoticed when many vanish together although
// no copy of the store was seen to fail.
func NewRetention(grace, unnoticed time.Duration) *Retention {
	return &Retention{grace: grace, unnoticed: unnoticed, kept: map[string]term{}}
}

// StoreLost notes that the store answers no gateway that watches it.
func (r *Retention) StoreLost() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeLost = true
}

// StoreReturned notes that the store answers again.
func (r *Retention) StoreReturned(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.storeLost {
		return
	}
	r.storeLost = false
	r.returnedAt = now
}

// Fill adds to list the endpoints of before that have vanished from it and may
// be back. It returns when the first of them is to be given up, or the zero
// time when none was added.
func (r *Retention) Fill(list, before *List, now time.Time) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.kept, func(id string, _ term) bool { return list.Endpoints[id] != nil })
	if before == nil {
		return time.Time{}
	}
	together := vanishedTogether(list, before)
	until := r.until(together, now)
	var first time.Time
	for id, e := range before.Endpoints {
		if list.Endpoints[id] != nil || e.Leaving {
			continue
		}
		t, known := r.kept[id]
		if !known {
			t = term{until: until, together: together}
			r.kept[id] = t
		}
		end := r.end(t, now)
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

// end returns until when an endpoint is kept, as it looks now. The caller holds the lock.
func (r *Retention) end(t term, now time.Time) time.Time {
	if !t.together {
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

// until returns for how long endpoints that vanish now, together with many others or not,
// are kept. The caller holds the lock.
func (r *Retention) until(together bool, now time.Time) time.Time {
	if r.storeLost {
		return now.Add(r.grace)
	}
	until := r.returnedAt.Add(r.grace)
	if !now.Before(until) && together {
		return now.Add(r.unnoticed)
	}
	return until
}

// vanishedTogether returns whether so many endpoints of one service are missing
// from list that they can't all have left.
func vanishedTogether(list, before *List) bool {
	all, missing := map[string]int{}, map[string]int{}
	for id, e := range before.Endpoints {
		all[e.Service]++
		if list.Endpoints[id] == nil && !e.Leaving {
			missing[e.Service]++
		}
	}
	for service, n := range missing {
		if n >= massCount && float64(n) >= massShare*float64(all[service]) {
			return true
		}
	}
	return false
}
