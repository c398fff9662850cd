package poison

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// UnknownKeyError means that nothing suspected or quarantined has the key.
type UnknownKeyError struct {
	Key string
}

// Error implements error.
func (e *UnknownKeyError) Error() string {
	return fmt.Sprintf("poison: no suspected or quarantined request or part has key %q", e.Key)
}

// Status describes a suspected or quarantined request or part of prompts to operators.
type Status struct {
	Key string `json:"key"`
	// Part is the ID of a part of prompts; it is empty for a request.
	Part string `json:"part,omitempty"`
	// Quarantined is set when the suspect is sent to no endpoint; otherwise it is suspected.
	Quarantined bool `json:"quarantined"`
	// Ends is the number of endpoints that crashed while processing the suspect, Relapses the
	// number of its quarantines that have expired.
	Ends     int   `json:"ends"`
	Relapses uint8 `json:"relapses"`
	// AgeMS is the time since the record last changed, LeftMS the time until the quarantine
	// expires.
	AgeMS  int64 `json:"ageMs"`
	LeftMS int64 `json:"leftMs,omitempty"`

	record Record
}

// Quarantined returns the keys of the quarantined suspects.
func (t *Table) Quarantined() []Key {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Key
	for k, q := range t.suspects {
		if q.State() == Quarantined {
			out = append(out, k)
		}
	}
	return out
}

// List returns the suspected and quarantined requests and parts, the most recently changed first.
func (t *Table) List(now time.Time) []Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Status
	for _, q := range t.suspects {
		if q.State() == Clear {
			continue
		}
		age := now.Sub(q.changedAt)
		l := Status{Key: q.Key.String(), Ends: len(q.Crashes), Relapses: q.Relapses, AgeMS: age.Milliseconds(), record: q.Record}
		if q.Key.Kind == KindPart {
			l.Part = PartID(q.Key.Digest).String()
		}
		if q.State() == Quarantined {
			l.Quarantined, l.LeftMS = true, (QuarantineTime(q.Relapses) - age).Milliseconds()
		}
		out = append(out, l)
	}
	slices.SortFunc(out, func(a, b Status) int { return cmp.Or(cmp.Compare(a.AgeMS, b.AgeMS), cmp.Compare(a.Key, b.Key)) })
	return out
}

// Clear clears the request or part with the given key, as in log lines, so that it is sent to
// endpoints again. The error is an *UnknownKeyError.
func (t *Table) Clear(key string, now time.Time) error {
	for _, l := range t.List(now) {
		if l.Key == key {
			t.clear(l.record.Key, CauseOperator, now)
			return nil
		}
	}
	return &UnknownKeyError{Key: key}
}
