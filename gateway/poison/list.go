package poison

import (
	"cmp"
	"encoding/hex"
	"fmt"
	"slices"
	"time"
)

// UnknownKeyError tells that no suspected or quarantined request has a key.
type UnknownKeyError struct {
	Key string
}

// Error names the key.
func (e *UnknownKeyError) Error() string {
	return fmt.Sprintf("poison: no request is suspected that has the key %q", e.Key)
}

// Listed is a request as the person on call sees it.
type Listed struct {
	Key string `json:"key"`
	// Quarantined is set when it is sent to no endpoint; else it is suspected.
	Quarantined bool `json:"quarantined"`
	// Ends is how many endpoints ended under it, Relapses how many quarantines have run out.
	Ends     int   `json:"ends"`
	Relapses uint8 `json:"relapses"`
	// AgeMS is how long ago that changed, LeftMS how long the quarantine lasts.
	AgeMS  int64 `json:"ageMs"`
	LeftMS int64 `json:"leftMs,omitempty"`

	record Record
}

// List returns the requests that are suspected or quarantined, the latest first.
func (t *Table) List(now time.Time) []Listed {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Listed
	for _, q := range t.requests {
		if q.State() == Clear {
			continue
		}
		age := now.Sub(q.changedAt)
		l := Listed{Key: hex.EncodeToString(q.Key.Digest[:]), Ends: len(q.Ends), Relapses: q.Relapses, AgeMS: age.Milliseconds(), record: q.Record}
		if q.State() == Quarantined {
			l.Quarantined, l.LeftMS = true, (QuarantineTime(q.Relapses) - age).Milliseconds()
		}
		out = append(out, l)
	}
	slices.SortFunc(out, func(a, b Listed) int { return cmp.Or(cmp.Compare(a.AgeMS, b.AgeMS), cmp.Compare(a.Key, b.Key)) })
	return out
}

// Clear lets the request with a digest, in hexadecimal, be sent again. The error is an
// *UnknownKeyError.
func (t *Table) Clear(digest string, now time.Time) error {
	for _, l := range t.List(now) {
		if l.Key == digest {
			t.clear(l.record.Key, CauseOperator, now)
			return nil
		}
	}
	return &UnknownKeyError{Key: digest}
}
