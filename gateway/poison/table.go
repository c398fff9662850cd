package poison

import (
	"cmp"
	"maps"
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

// Assessment is what the records of a request's suspects mean for the request.
type Assessment struct {
	// State is the strictest of the states that follow from the suspects.
	State State
	// Cause is the suspect from which State follows.
	Cause Key
	// Trials are the keys of the leases that a request needs that is on trial; see Key.TrialKey.
	Trials []Key
	// Crashes is the number of crashes of the suspect with the most crashes for which the request is
	// on trial.
	Crashes int
}

// Assess returns what the records say about a request. It hashes the request's body only if the table
// holds requests of the same shape.
func (t *Table) Assess(s *Suspects, now time.Time) Assessment {
	if t.size.Load() == 0 {
		return Assessment{}
	}
	own, suspected := t.requestKey(s.Request)
	t.mu.Lock()
	defer t.mu.Unlock()
	var out Assessment
	if q := t.suspects[own]; suspected && q != nil {
		out.add(q.Record, t.stateFor(q, s.Parts, now))
	}
	if part := t.worstPart(s.Parts, now); part != nil {
		out.add(part.Record, t.stateFor(part, s.Parts, now))
	}
	return out
}

// add takes in the state that follows from one suspect.
func (a *Assessment) add(r Record, state State) {
	if state > a.State {
		a.State, a.Cause = state, r.Key
	}
	if state == OnTrial {
		a.Trials = append(a.Trials, r.Key.TrialKey())
		a.Crashes = max(a.Crashes, len(r.Crashes))
	}
}

// requestKey returns the key of a request, and whether the table may hold it.
func (t *Table) requestKey(r *Request) (Key, bool) {
	if !t.hasShape(r.Shape()) {
		return Key{}, false
	}
	return r.Key(), true
}

// worstPart returns the part from which the strictest state follows for a request with all of parts, of
// these the one with the most crashes, or nil if no part is suspected. The caller holds the lock.
func (t *Table) worstPart(parts []Key, now time.Time) *suspect {
	var worst *suspect
	var worstState State
	for _, k := range parts {
		q := t.suspects[k]
		if q == nil || q.isInitial() {
			continue
		}
		state := t.stateFor(q, parts, now)
		if worst == nil || cmp.Or(cmp.Compare(state, worstState), cmp.Compare(len(q.Crashes), len(worst.Crashes))) > 0 {
			worst, worstState = q, state
		}
	}
	return worst
}

// stateFor returns the state that follows from a suspect for a request with the given parts. The caller
// holds the lock.
func (t *Table) stateFor(q *suspect, parts []Key, now time.Time) State {
	state := q.State()
	switch {
	case q.Key.Kind == KindRequest && state == Suspected:
		return OnTrial
	case q.Key.Kind == KindPart:
		return t.partStateFor(q, parts, now)
	}
	return state
}

// partStateFor is stateFor for a part. The caller holds the lock.
func (t *Table) partStateFor(q *suspect, parts []Key, now time.Time) State {
	state, rounds := q.State(), q.rounds()
	switch {
	case state == Suspected && requiresTrial(rounds, q.Survived):
		return OnTrial
	case state == Quarantined && q.Survived && !isConfirmed(rounds, len(q.Crashes), true):
		return OnTrial
	case state == Quarantined && t.contested(q, parts, now):
		return OnTrial
	case state == Clear && q.Relapses > 0: // several requests with it would be in progress at a time
		return OnTrial
	}
	return state
}

// contested reports whether the crashes under a quarantined part may be due to another suspect that a
// request with the given parts does not have. Such a request may tell which of them it is. The caller
// holds the lock.
func (t *Table) contested(q *suspect, parts []Key, now time.Time) bool {
	for k, other := range t.suspects {
		if k != q.Key && !slices.Contains(parts, k) && q.contestedBy(&other.Record, now.Sub(q.changedAt)) {
			return true
		}
	}
	return false
}

// rounds returns the number of rounds of crashes of a part.
func (q *suspect) rounds() int {
	return roundsOf(slices.Collect(maps.Values(q.noticedAt)))
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

// evict removes a suspect if the table is full. The caller holds the lock.
func (t *Table) evict() {
	if len(t.suspects) < maxSuspects {
		return
	}
	var oldest *suspect
	for _, q := range t.suspects {
		if oldest == nil || q.evictedBefore(oldest) {
			oldest = q
		}
	}
	t.remove(oldest)
}

// evictedBefore returns whether q is evicted before o.
func (q *suspect) evictedBefore(o *suspect) bool {
	order := cmp.Or(cmp.Compare(q.State(), o.State()), cmp.Compare(len(q.Crashes), len(o.Crashes)), q.changedAt.Compare(o.changedAt))
	return order < 0
}

func (t *Table) remove(q *suspect) {
	delete(t.suspects, q.Key)
	if q.Key.Kind == KindRequest {
		if t.shapes[q.Key.Shape]--; t.shapes[q.Key.Shape] == 0 {
			delete(t.shapes, q.Key.Shape)
		}
	}
	t.size.Add(-1)
}

// dropExplained removes crashes that are attributed to other suspects. The caller holds the
// lock.
func (t *Table) dropExplained(now time.Time) {
	for _, q := range t.suspects {
		if q.State() != Quarantined || now.Sub(q.changedAt) < settleTime {
			continue
		}
		for _, other := range t.suspects {
			if q.Explains(&other.Record) && now.Sub(other.changedAt) >= settleTime {
				t.update(other.withoutCrashesOf(&q.Record), true, CauseExplained, now)
			}
		}
	}
}

// expire ends expired quarantines and removes suspects that have not changed for a long time.
// The caller holds the lock.
func (t *Table) expire(now time.Time) {
	t.dropExplained(now)
	for _, q := range t.suspects {
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
