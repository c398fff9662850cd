package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

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
