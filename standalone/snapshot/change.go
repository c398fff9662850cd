package snapshot

import (
	"fmt"
	"slices"

	"github.com/silverdeck/silverdeck/standalone/object"
)

// AnyVersion in Change.Expect says that the object may stand at any version.
const AnyVersion = -1

// Op is what a change does.
type Op string

// The operations on an object.
const (
	OpPut    Op = "put"
	OpDelete Op = "delete"
)

// Change puts or deletes one object.
type Change struct {
	Op     Op            `json:"op"`
	Object object.Object `json:"object"`
	// Expect is the version at which the operator saw the object: 0 when it did
	// not exist, AnyVersion to overwrite whatever is there.
	Expect int64 `json:"expect"`
}

// Batch is a set of changes that are accepted together or not at all.
type Batch struct {
	Changes []Change `json:"changes"`
	// Author is the operator, as authenticated.
	Author string `json:"author"`
	// Mark is unique to the batch; see Snapshot.Marks.
	Mark string `json:"mark"`
	// Base is the revision that the operator looked at, or 0 for none. Changes
	// accepted since that interact with the batch are conflicts.
	Base int64 `json:"base,omitempty"`
}

// ConflictError tells the loser of a race what changed and by whom.
type ConflictError struct {
	Object object.Ref `json:"object"`
	// With is the object that the other operator changed; it is Object itself
	// or one that interacts with it.
	With object.Ref `json:"with"`
	// Version is the revision of the other change; By is its operator.
	Version int64  `json:"version"`
	By      string `json:"by"`
	// Reason says in words how the two interact.
	Reason string `json:"reason"`
}

// Error names both sides and the reason.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s: conflict: %s was changed by %q at revision %d: %s", e.Object, e.With, e.By, e.Version, e.Reason)
}

// Next returns the snapshot after b, or the first conflict or fault. s stays
// as it is. Whatever of b can't be accepted keeps all of b out.
//
// Spec step: config.pml, "accept".
func Next(s *Snapshot, b Batch) (*Snapshot, error) {
	if err := checkConflicts(s, b); err != nil {
		return nil, err
	}
	n := &Snapshot{
		Revision: s.Revision + 1,
		Author:   b.Author,
		Marks:    append(slices.Clone(s.Marks), b.Mark),
		Objects:  slices.Clone(s.Objects),
		Deleted:  slices.Clone(s.Deleted),
	}
	if extra := len(n.Marks) - maxMarks; extra > 0 {
		n.Marks = n.Marks[extra:]
	}
	for _, c := range b.Changes {
		n.applyChange(c, b.Author)
	}
	if extra := len(n.Deleted) - maxMarks; extra > 0 {
		n.Deleted = n.Deleted[extra:]
	}
	return n, n.checkReferences()
}

func (s *Snapshot) applyChange(c Change, author string) {
	ref := c.Object.Ref()
	i, found := slices.BinarySearchFunc(s.Objects, ref, compareToRef)
	if c.Op == OpDelete {
		if found {
			s.Objects = slices.Delete(s.Objects, i, i+1)
			s.Deleted = append(s.Deleted, Deletion{Ref: ref, Revision: s.Revision, By: author})
		}
		return
	}
	o := c.Object
	o.Version = s.Revision
	o.ChangedBy = author
	if found {
		keepPrevious(o.Spec, s.Objects[i].Spec)
		s.Objects[i] = o
		return
	}
	s.Objects = slices.Insert(s.Objects, i, o)
}

// keepPrevious notes in a rollout's new spec what the old one rolled out.
func keepPrevious(now, old object.Spec) {
	n, ok := now.(*object.RolloutSpec)
	if !ok {
		return
	}
	o := old.(*object.RolloutSpec)
	n.Previous = o.Previous
	if n.Root != o.Root {
		n.Previous = &object.Pin{Weights: o.Weights, Root: o.Root}
	}
}

func checkConflicts(s *Snapshot, b Batch) error {
	for _, c := range b.Changes {
		if c.Op != OpPut && c.Op != OpDelete {
			return &object.FieldError{Object: c.Object.Ref(), Field: "op", Value: string(c.Op), Want: "put or delete"}
		}
		if c.Op == OpPut {
			if err := object.Validate(c.Object); err != nil {
				return err
			}
		}
		if err := s.checkExpected(c); err != nil {
			return err
		}
		if err := s.checkInteractions(c, b); err != nil {
			return err
		}
	}
	return nil
}

func (s *Snapshot) checkExpected(c Change) error {
	if c.Expect == AnyVersion {
		return nil
	}
	ref := c.Object.Ref()
	old := s.Find(ref)
	switch {
	case old == nil && c.Expect != 0:
		return s.deletedConflict(ref)
	case old != nil && old.Version != c.Expect:
		return &ConflictError{
			Object: ref, With: ref, Version: old.Version, By: old.ChangedBy,
			Reason: fmt.Sprintf("it stood at version %d when you looked", c.Expect),
		}
	}
	return nil
}

func (s *Snapshot) deletedConflict(ref object.Ref) error {
	e := &ConflictError{Object: ref, With: ref, Reason: "it no longer exists"}
	for _, d := range s.Deleted {
		if d.Ref == ref {
			e.Version = d.Revision
			e.By = d.By
			e.Reason = "it was deleted"
		}
	}
	return e
}

// checkReferences returns the first object that names one that does not exist.
func (s *Snapshot) checkReferences() error {
	for _, o := range s.Objects {
		var want []object.Ref
		switch spec := o.Spec.(type) {
		case *object.AdapterSpec:
			want = append(want, object.Ref{Kind: object.KindModel, Name: spec.Model})
		case *object.RolloutSpec:
			if spec.Model != "" {
				want = append(want, object.Ref{Kind: object.KindModel, Name: spec.Model})
			}
			if spec.Adapter != "" {
				want = append(want, object.Ref{Kind: object.KindAdapter, Name: spec.Adapter})
			}
		case *object.ServiceSpec:
			if spec.Model != "" {
				want = append(want, object.Ref{Kind: object.KindModel, Name: spec.Model})
			}
			if spec.Adapter != "" {
				want = append(want, object.Ref{Kind: object.KindAdapter, Name: spec.Adapter})
			}
		}
		for _, ref := range want {
			if s.Find(ref) == nil {
				return &object.FieldError{Object: o.Ref(), Field: "spec", Value: ref.String(), Want: "an object that exists, or one in the same batch"}
			}
		}
	}
	return nil
}
