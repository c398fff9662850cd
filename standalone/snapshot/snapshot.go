// Package snapshot holds the one order of accepted configurations.
//
// The whole configuration is one value under one key of the platform. It is
// replaced by conditional writes alone, so accepted changes have one order,
// several objects change together or not at all, and the revision is an epoch
// that every order to an engine can carry.
//
// A Holder owns the newest that a process has seen; it only moves forward. A
// Snapshot does not change.
package snapshot

import (
	"bytes"
	"cmp"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"slices"

	"github.com/silverdeck/silverdeck/standalone/object"
)

// Key is where the platform keeps the snapshot.
const Key = "silverdeck/head"

// Limits of a snapshot.
const (
	// MaxEncodedBytes is what the platform holds under one key.
	MaxEncodedBytes = 1 << 20
	// maxDecodedBytes bounds what a compressed snapshot may grow to.
	maxDecodedBytes = 64 << 20
	// maxMarks is how many writes back a writer can still find its own mark.
	maxMarks = 64
)

// Snapshot is one accepted configuration.
type Snapshot struct {
	// Revision counts accepted changes, from 1. It never goes back.
	Revision int64 `json:"revision"`
	// Author names the operator of the last change.
	Author string `json:"author,omitempty"`
	// Marks are the unique marks of the last writes, newest last. A writer that
	// lost the answer to its write looks for its mark here.
	Marks []string `json:"marks,omitempty"`
	// Objects are sorted by kind, then name.
	Objects []object.Object `json:"objects"`
	// Deleted has the last deletions, so that a late change to a deleted object
	// is told who deleted it.
	Deleted []Deletion `json:"deleted,omitempty"`
}

// Deletion records who deleted an object and when.
type Deletion struct {
	Ref      object.Ref `json:"ref"`
	Revision int64      `json:"revision"`
	By       string     `json:"by"`
}

// Find returns the object named ref, or nil.
func (s *Snapshot) Find(ref object.Ref) *object.Object {
	i, ok := slices.BinarySearchFunc(s.Objects, ref, compareToRef)
	if !ok {
		return nil
	}
	return &s.Objects[i]
}

// OfKind returns the objects of kind k in order of name.
func (s *Snapshot) OfKind(k object.Kind) []object.Object {
	var out []object.Object
	for _, o := range s.Objects {
		if o.Kind == k {
			out = append(out, o)
		}
	}
	return out
}

// HasMark returns whether the write with this mark is among the last.
func (s *Snapshot) HasMark(mark string) bool {
	return slices.Contains(s.Marks, mark)
}

func compareToRef(o object.Object, ref object.Ref) int {
	if c := cmp.Compare(o.Kind, ref.Kind); c != 0 {
		return c
	}
	return cmp.Compare(o.Name, ref.Name)
}

// SizeError tells that a configuration does not fit the platform's value.
type SizeError struct {
	Bytes int
}

// Error names the size and the limit.
func (e *SizeError) Error() string {
	return fmt.Sprintf("snapshot: %d bytes compressed, the platform holds %d under a key", e.Bytes, MaxEncodedBytes)
}

// Encode returns s as compressed JSON.
func Encode(s *Snapshot) ([]byte, error) {
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	if err := json.NewEncoder(z).Encode(s); err != nil {
		return nil, err
	}
	if err := z.Close(); err != nil {
		return nil, err
	}
	if b.Len() > MaxEncodedBytes {
		return nil, &SizeError{Bytes: b.Len()}
	}
	return b.Bytes(), nil
}

// Decode returns the snapshot in b.
func Decode(b []byte) (*Snapshot, error) {
	z, err := gzip.NewReader(bytes.NewReader(b))
	if err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	s := &Snapshot{}
	if err := json.NewDecoder(io.LimitReader(z, maxDecodedBytes)).Decode(s); err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	if s.Revision < 0 {
		return nil, fmt.Errorf("snapshot: revision %d", s.Revision)
	}
	slices.SortFunc(s.Objects, func(a, b object.Object) int { return compareToRef(a, b.Ref()) })
	return s, nil
}
