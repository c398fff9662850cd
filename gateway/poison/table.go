package poison

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/silverdeck/silverdeck/roster"
)

// Limits of a table.
const (
	// maxSuspects is the maximum number of suspects in a table, some 700 KB. Those with the fewest
	// crashes are evicted first, quarantined ones last. Endpoints with 16 slots and as many queued
	// requests, each with two parts of its own, can crash 40 times before one is evicted.
	maxSuspects = 4096
	// settleTime is how long two records must be unchanged before the crashes of one suspect are
	// attributed to the other: the requests aborted by a crash are recorded one by one, and the
	// content of a lost datagram arrives with the next heartbeat.
	settleTime = 250 * time.Millisecond
)

// Cause says why the record of a suspect changed.
type Cause string

// The causes of changes.
const (
	// CauseCrashes means that endpoints crashed while processing the suspect.
	CauseCrashes Cause = "ends"
	// CauseAnswered means that an endpoint answered a request with the suspect completely.
	CauseAnswered Cause = "answered"
	// CauseSurvived means that an endpoint survived a part of an answer with the suspect.
	CauseSurvived Cause = "survived"
	// CauseOperator means that an operator cleared the suspect.
	CauseOperator Cause = "operator"
	// CauseExpired means that the quarantine expired.
	CauseExpired Cause = "time"
	// CauseExplained means that the crashes were attributed to another suspect that was in
	// progress at the same endpoints.
	CauseExplained Cause = "explained"
	// CauseGossip means that the change came from another gateway.
	CauseGossip Cause = "told"
)

// Change describes a change of a suspect's record.
type Change struct {
	Record Record
	Before State
	Cause  Cause
}

// Table records what endpoints were processing when they crashed. It is safe for concurrent use.
type Table struct {
	// onChange is called with changes; see NewTable.
	onChange func(Change)
	// size is the number of suspects, which is almost always 0.
	size atomic.Int64

	mu       sync.Mutex
	suspects map[Key]*suspect
	// shapes is the number of requests with each shape.
	shapes map[Shape]int
	// quarantineSentAt is when Gossip last returned all quarantined suspects.
	quarantineSentAt time.Time
}

// suspect is the table's entry for a suspect.
type suspect struct {
	Record
	// changedAt is when the record last changed, and crashedAt when a crash was last added.
	changedAt, crashedAt time.Time
	// noticedAt are the times at which the crashes of a part were noticed by any gateway.
	noticedAt map[Incarnation]time.Time
	// gossipOwnUntil is the time until which this gateway's own last change is included in its
	// heartbeats, whatever other gateways send meanwhile. gossipUntil is the same for a change
	// from any gateway.
	gossipOwnUntil, gossipUntil time.Time
}

// NewTable returns an empty table. onChange is called with each change of a state, and with each
// change of a record that did not come from another gateway. It must neither block nor use
// the table.
func NewTable(onChange func(Change)) *Table {
	return &Table{onChange: onChange, suspects: map[Key]*suspect{}, shapes: map[Shape]int{}}
}

// State returns the state of the suspect with the given key.
func (t *Table) State(k Key) State {
	r := t.Record(k)
	return r.State()
}

func (t *Table) hasShape(s Shape) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.shapes[s] > 0
}

// Record returns the record of the suspect with the given key.
func (t *Table) Record(k Key) Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	if q := t.suspects[k]; q != nil {
		return q.withAges(time.Now())
	}
	return Record{Key: k}
}

// Records returns the records of suspects.
func (t *Table) Records(keys []Key) []Record {
	out := make([]Record, 0, len(keys))
	for _, k := range keys {
		out = append(out, t.Record(k))
	}
	return out
}

// withAges returns the record with the ages of its crashes.
func (q *suspect) withAges(now time.Time) Record {
	r := q.Record
	if len(q.noticedAt) == 0 {
		return r
	}
	for _, l := range r.Crashes {
		r.Ages = append(r.Ages, now.Sub(q.noticedAt[l]))
	}
	return r
}

// RecordCrash records that an endpoint crashed while processing a request. Each of its suspects may be
// the cause.
func (t *Table) RecordCrash(s *Suspects, l roster.Incarnation, now time.Time) {
	keys := append([]Key{s.Request.Key()}, s.Parts...)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropExplained(now)
	for _, k := range keys {
		next := Record{Key: k, Crashes: []Incarnation{IncarnationOf(l)}}
		if q := t.suspects[k]; q != nil {
			next.Generation = q.Generation
		}
		t.update(next, true, CauseCrashes, now)
	}
}

// RecordAnswer clears the suspects of a request that an endpoint answered completely, and whose answer
// ended at endedAt: none of them crashes every endpoint that starts to process it. An answer that ended
// before the last crash clears nothing.
func (t *Table) RecordAnswer(s *Suspects, endedAt, now time.Time) {
	if t.size.Load() == 0 {
		return
	}
	keys := s.Parts
	if own, suspected := t.requestKey(s.Request); suspected {
		keys = append([]Key{own}, keys...)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, k := range keys {
		if q := t.suspects[k]; q != nil && !q.isInitial() && endedAt.After(q.crashedAt) {
			t.update(q.cleared(), true, CauseAnswered, now)
		}
	}
}

// RecordSurvival records that an endpoint has been writing an answer with the given parts for
// SurvivalTime, up to now.
func (t *Table) RecordSurvival(parts []Key, now time.Time) {
	if t.size.Load() == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, k := range parts {
		if q := t.suspects[k]; q != nil && len(q.Crashes) > 0 && !q.Survived && now.After(q.crashedAt) {
			t.update(Record{Key: k, Generation: q.Generation, Survived: true}, true, CauseSurvived, now)
		}
	}
}

func (t *Table) clear(k Key, cause Cause, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if q := t.suspects[k]; q != nil {
		t.update(q.cleared(), true, cause, now)
	}
}

// Merge merges records from another gateway, and returns whether they changed the table.
func (t *Table) Merge(records []Record, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := false
	for _, r := range records {
		before := t.suspects[r.Key]
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

// update merges a record into the table. The caller holds the lock.
func (t *Table) update(r Record, own bool, cause Cause, now time.Time) {
	q := t.suspects[r.Key]
	if q == nil {
		q = t.insert(Record{Key: r.Key, Generation: r.Generation})
	}
	before := q.State()
	joined := Join(q.Record, r)
	if joined.equal(&q.Record) {
		return
	}
	if len(joined.Crashes) > 0 && !slices.Equal(joined.Crashes, q.Crashes) {
		q.crashedAt = now
	}
	joined.Ages = nil // kept as times in noticedAt
	q.Record, q.changedAt, q.gossipUntil = joined, now, now.Add(gossipTime)
	if q.Key.Kind == KindPart && q.noteCrashes(&r, now) {
		own, cause = true, CauseCrashes
	}
	if own {
		q.gossipOwnUntil = q.gossipUntil
	}
	if own || q.State() != before {
		t.onChange(Change{Record: q.Record, Before: before, Cause: cause})
	}
}

// noteCrashes takes in when the crashes in r, a record that was merged into the one of q, were noticed.
// It reports whether that confirmed q, a part, as the cause.
func (q *suspect) noteCrashes(r *Record, now time.Time) bool {
	times := map[Incarnation]time.Time{}
	for _, l := range q.Crashes {
		if at, found := q.noticedAt[l]; found {
			times[l] = at
			continue
		}
		times[l] = now
		if i := slices.Index(r.Crashes, l); i >= 0 && i < len(r.Ages) {
			times[l] = now.Add(-r.Ages[i])
		}
	}
	q.noticedAt = times
	if q.Confirmed || !isConfirmed(q.rounds(), len(q.Crashes), q.Survived) {
		return false
	}
	q.Confirmed = true
	return true
}

// insert adds a suspect. The caller holds the lock.
func (t *Table) insert(r Record) *suspect {
	t.evict()
	q := &suspect{Record: r}
	t.suspects[r.Key] = q
	if r.Key.Kind == KindRequest {
		t.shapes[r.Key.Shape]++
	}
	t.size.Add(1)
	return q
}
