package poison

import (
	"cmp"
	"encoding/hex"
	"fmt"
	"slices"
	"time"
)

// UnknownKeyError means that no suspected or quarantined request has the key.
type UnknownKeyError struct {
	Key string
}

// Error implements error.
func (e *UnknownKeyError) Error() string {
	return fmt.Sprintf("poison: no suspected or quarantined request has key %q", e.Key)
}

// RequestStatus describes a suspected or quarantined request to operators.
type RequestStatus struct {
	Key string `json:"key"`
	// Quarantined is set when the request is sent to no endpoint; otherwise it is suspected.
	Quarantined bool `json:"quarantined"`
	// Ends is the number of endpoints that crashed while processing the request, Relapses the
	// number of its quarantines that have expired.
	Ends     int   `json:"ends"`
	Relapses uint8 `json:"relapses"`
	// AgeMS is the time since the record last changed, LeftMS the time until the quarantine
	// expires.
	AgeMS  int64 `json:"ageMs"`
	LeftMS int64 `json:"leftMs,omitempty"`

	record Record
}

// Quarantined returns the keys of the quarantined requests.
func (t *Table) Quarantined() []Key {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Key
	for k, q := range t.requests {
		if q.State() == Quarantined {
			out = append(out, k)
		}
	}
	return out
}

// List returns the suspected and quarantined requests, the most recently changed first.
func (t *Table) List(now time.Time) []RequestStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []RequestStatus
	for _, q := range t.requests {
		if q.State() == Clear {
			continue
		}
		age := now.Sub(q.changedAt)
		l := RequestStatus{Key: hex.EncodeToString(q.Key.Digest[:]), Ends: len(q.Crashes), Relapses: q.Relapses, AgeMS: age.Milliseconds(), record: q.Record}
		if q.State() == Quarantined {
			l.Quarantined, l.LeftMS = true, (QuarantineTime(q.Relapses) - age).Milliseconds()
		}
		out = append(out, l)
	}
	slices.SortFunc(out, func(a, b RequestStatus) int { return cmp.Or(cmp.Compare(a.AgeMS, b.AgeMS), cmp.Compare(a.Key, b.Key)) })
	return out
}

// Clear clears the request with the given digest, in hexadecimal, so that it is sent to
// endpoints again. The error is an *UnknownKeyError.
func (t *Table) Clear(digest string, now time.Time) error {
	for _, l := range t.List(now) {
		if l.Key == digest {
			t.clear(l.record.Key, CauseOperator, now)
			return nil
		}
	}
	return &UnknownKeyError{Key: digest}
}
