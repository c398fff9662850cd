package standin

import (
	"encoding/json"
	"maps"
	"math/rand/v2"
	"time"
)

// Bounds of how much later than it was sent a write is applied that gets no answer.
const (
	// minLate is the lower bound.
	minLate = time.Second
	// maxLate is the upper bound.
	maxLate = 6 * time.Second
)

// SetLate makes the store leave a share of all writes unanswered and apply them seconds later, if
// their condition still holds then.
func (s *Store) SetLate(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lateShare = share
}

// drawLate returns how much later a write is applied, or 0 if it is not late. The caller holds s.mu.
func (s *Store) drawLate() time.Duration {
	if rand.Float64() >= s.lateShare {
		return 0
	}
	return minLate + rand.N(maxLate-minLate)
}

// recordTTL is the time after which the store removes a record that its endpoint no longer writes.
const recordTTL = 3 * time.Second

// Writer is what becomes of the writer of a record.
type Writer int

// The states of a writer.
const (
	// Writing means that it writes its record again and again.
	Writing Writer = iota
	// Gone means that it no longer writes its record.
	Gone
	// Ended means that it has ended.
	Ended
)

// PutRecord writes the record of an endpoint with its sequence. The record changes only if something
// besides its sequence does. A late write is not applied if the writer has ended by then, and lapses if it is gone.
func (s *Store) PutRecord(name string, spec map[string]any, sequence int64, state func() Writer) {
	record := maps.Clone(spec)
	record["sequence"] = sequence
	data, _ := json.Marshal(record)
	s.mu.Lock()
	defer s.mu.Unlock()
	if d := s.drawLate(); d > 0 {
		time.AfterFunc(d, func() {
			w := state()
			if w == Ended {
				return
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			s.putRecord(name, data)
			if w == Gone {
				time.AfterFunc(recordTTL, func() { s.Delete(endpointRecords, name) })
			}
		})
		return
	}
	s.putRecord(name, data)
}

// putRecord writes a record unless it is the stored one but for its sequence. The caller holds s.mu.
func (s *Store) putRecord(name string, data json.RawMessage) {
	if old, found := s.objects[endpointRecords][name]; found && string(withoutSequence(old.Spec)) == string(withoutSequence(data)) {
		return
	}
	s.put(endpointRecords, name, data)
}

// endpointRecords is the kind of the records of endpoints.
const endpointRecords = "servers"

// withoutSequence returns a spec in a canonical form without its sequence.
func withoutSequence(spec json.RawMessage) json.RawMessage {
	var fields map[string]any
	if json.Unmarshal(spec, &fields) != nil {
		return spec
	}
	delete(fields, "sequence")
	out, _ := json.Marshal(fields)
	return out
}
