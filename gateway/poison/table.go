package poison

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/silverdeck/silverdeck/roster"
)

// Limits of a table.
const (
	// maxRequests is the maximum number of requests in a table, some 600 KB. Suspected requests
	// are evicted before quarantined ones, the least recently changed first. Endpoints with 16
	// slots and as many queued requests can crash 128 times before one is evicted.
	maxRequests = 4096
	// settleTime is how long two records must be unchanged before the crashes of one request are
	// attributed to the other: the requests aborted by a crash are recorded one by one, and the
	// content of a lost datagram arrives with the next heartbeat.
	settleTime = 250 * time.Millisecond
)

// Cause says why the record of a request changed.
type Cause string

// The causes of changes.
const (
	// CauseCrashes means that endpoints crashed while processing the request.
	CauseCrashes Cause = "ends"
	// CauseAnswered means that an endpoint answered the request completely.
	CauseAnswered Cause = "answered"
	// CauseOperator means that an operator cleared the request.
	CauseOperator Cause = "operator"
	// CauseExpired means that the quarantine expired.
	CauseExpired Cause = "time"
	// CauseExplained means that the crashes were attributed to another request that was in
	// progress at the same endpoints.
	CauseExplained Cause = "explained"
	// CauseGossip means that the change came from another gateway.
	CauseGossip Cause = "told"
)

// Change describes a change of a request's record.
type Change struct {
	Record Record
	Before State
	Cause  Cause
}

// Table records the requests that endpoints were processing when they crashed. It is safe for
// concurrent use.
type Table struct {
	// onChange is called with changes; see NewTable.
	onChange func(Change)
	// size is the number of requests, which is almost always 0.
	size atomic.Int64

	mu       sync.Mutex
	requests map[Key]*request
	// shapes is the number of requests with each shape.
	shapes map[Shape]int
	// quarantineSentAt is when Gossip last returned all quarantined requests.
	quarantineSentAt time.Time
}

// request is the table's entry for a request.
type request struct {
	Record
	// changedAt is when the record last changed.
	changedAt time.Time
	// gossipOwnUntil is the time until which this gateway's own last change is included in its
	// heartbeats, whatever other gateways send meanwhile. gossipUntil is the same for a change
	// from any gateway.
	gossipOwnUntil, gossipUntil time.Time
}

// NewTable returns an empty table. onChange is called with each change of a state, and with each
// change of a record that did not come from another gateway. It must neither block nor use
// the table.
func NewTable(onChange func(Change)) *Table {
	return &Table{onChange: onChange, requests: map[Key]*request{}, shapes: map[Shape]int{}}
}

// Lookup returns the state of a request, and its key if it is not clear. It hashes a request's body
// only if the table holds requests of the same shape.
func (t *Table) Lookup(r *Request) (State, Key) {
	if t.size.Load() == 0 || !t.hasShape(r.Shape()) {
		return Clear, Key{}
	}
	k := r.Key()
	return t.State(k), k
}

// State returns the state of the request with the given key.
func (t *Table) State(k Key) State {
	t.mu.Lock()
	defer t.mu.Unlock()
	if q := t.requests[k]; q != nil {
		return q.State()
	}
	return Clear
}

func (t *Table) hasShape(s Shape) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.shapes[s] > 0
}

// Record returns the record of the request with the given key.
func (t *Table) Record(k Key) Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	if q := t.requests[k]; q != nil {
		return q.Record
	}
	return Record{Key: k}
}

// RecordCrash records that an endpoint crashed while processing a request, and returns the
// resulting state of the request.
func (t *Table) RecordCrash(r *Request, l roster.Incarnation, now time.Time) State {
	k := r.Key()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropExplained(now)
	next := Record{Key: k, Crashes: []Incarnation{IncarnationOf(l)}}
	if q := t.requests[k]; q != nil {
		next.Generation = q.Generation
	}
	return t.update(next, true, CauseCrashes, now)
}

// RecordAnswer clears a request that an endpoint answered completely: it does not crash every
// endpoint that starts to process it.
func (t *Table) RecordAnswer(r *Request, now time.Time) {
	state, k := t.Lookup(r)
	if state == Clear {
		return
	}
	t.clear(k, CauseAnswered, now)
}

func (t *Table) clear(k Key, cause Cause, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if q := t.requests[k]; q != nil {
		t.update(q.cleared(), true, cause, now)
	}
}

// Merge merges records from another gateway, and returns whether they changed the table.
func (t *Table) Merge(records []Record, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := false
	for _, r := range records {
		before := t.requests[r.Key]
		if before == nil && r.State() == Clear {
			continue // not suspected here either
		}
		if before != nil && before.Generation > r.Generation {
			before.gossipOwnUntil = now.Add(gossipTime) // the sender is out of date
			continue
		}
		if before != nil {
			if joined := Join(before.Record, r); joined.equal(&before.Record) {
				continue
			}
		}
		t.update(r, false, CauseGossip, now)
		changed = true
	}
	return changed
}

// update merges a record into the table and returns the resulting state. The caller holds the
// lock.
func (t *Table) update(r Record, own bool, cause Cause, now time.Time) State {
	q := t.requests[r.Key]
	if q == nil {
		t.evict()
		q = &request{Record: Record{Key: r.Key, Generation: r.Generation}}
		t.requests[r.Key] = q
		t.shapes[r.Key.Shape]++
		t.size.Add(1)
	}
	before := q.State()
	joined := Join(q.Record, r)
	if joined.equal(&q.Record) {
		return before
	}
	q.Record, q.changedAt, q.gossipUntil = joined, now, now.Add(gossipTime)
	if own {
		q.gossipOwnUntil = q.gossipUntil
	}
	if own || q.State() != before {
		t.onChange(Change{Record: joined, Before: before, Cause: cause})
	}
	return q.State()
}

// evict removes a request if the table is full. The caller holds the lock.
func (t *Table) evict() {
	if len(t.requests) < maxRequests {
		return
	}
	var oldest *request
	for _, q := range t.requests {
		if oldest == nil || q.evictedBefore(oldest) {
			oldest = q
		}
	}
	t.remove(oldest)
}

// evictedBefore returns whether q is evicted before o.
func (q *request) evictedBefore(o *request) bool {
	if held, other := q.State() == Quarantined, o.State() == Quarantined; held != other {
		return other
	}
	return q.changedAt.Before(o.changedAt)
}

func (t *Table) remove(q *request) {
	delete(t.requests, q.Key)
	if t.shapes[q.Key.Shape]--; t.shapes[q.Key.Shape] == 0 {
		delete(t.shapes, q.Key.Shape)
	}
	t.size.Add(-1)
}

// dropExplained removes crashes that are attributed to other requests. The caller holds the
// lock.
func (t *Table) dropExplained(now time.Time) {
	for _, q := range t.requests {
		if q.State() != Quarantined || now.Sub(q.changedAt) < settleTime {
			continue
		}
		for _, other := range t.requests {
			if q.Explains(&other.Record) && now.Sub(other.changedAt) >= settleTime {
				t.update(other.withoutCrashesOf(&q.Record), true, CauseExplained, now)
			}
		}
	}
}

// expire ends expired quarantines and removes requests that have not changed for a long time.
// The caller holds the lock.
func (t *Table) expire(now time.Time) {
	t.dropExplained(now)
	for _, q := range t.requests {
		age := now.Sub(q.changedAt)
		switch {
		case q.State() == Quarantined && age >= QuarantineTime(q.Relapses):
			t.update(q.expired(), true, CauseExpired, now)
		case q.State() == Quarantined:
		case age >= suspicionTime && q.Relapses == 0, age >= QuarantineTime(maxDoublings):
			t.remove(q)
		}
	}
}
