// Package object holds the labelled objects that operators edit.
//
// It owns nothing; an object does not change once it is accepted. Names of fields
// are stored and on the wire.
package object

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// Kind names a type of object.
type Kind string

// The kinds that operators can apply.
const (
	KindModel   Kind = "Model"
	KindAdapter Kind = "Adapter"
	KindRollout Kind = "Rollout"
	KindService Kind = "Service"
	KindAccount Kind = "Account"
	KindDrain   Kind = "Drain"
)

// Kinds returns all kinds in the order in which they are shown.
func Kinds() []Kind {
	return []Kind{KindModel, KindAdapter, KindRollout, KindService, KindAccount, KindDrain}
}

// Ref names one object.
type Ref struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// String returns kind/name.
func (r Ref) String() string {
	return string(r.Kind) + "/" + r.Name
}

// Object is one labelled object of the configuration.
type Object struct {
	Kind   Kind              `json:"kind"`
	Name   string            `json:"name"`
	Labels map[string]string `json:"labels,omitempty"`
	// Version is the revision of the configuration that last changed the
	// object. An operator who sends 0 expects that the object does not exist;
	// see snapshot.Change for changes that expect nothing.
	Version int64 `json:"version,omitempty"`
	// ChangedBy names the operator of the last change.
	ChangedBy string `json:"changedBy,omitempty"`
	Spec      Spec   `json:"spec"`
}

// Ref returns the object's name with its kind.
func (o Object) Ref() Ref {
	return Ref{Kind: o.Kind, Name: o.Name}
}

// FieldError tells which field of which object is wrong, and what would be right.
type FieldError struct {
	Object Ref
	Field  string
	Value  string
	Want   string
}

// Error returns one line that names object, field, value and what is wanted.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: %s: %q is wrong: want %s", e.Object, e.Field, e.Value, e.Want)
}

type envelope struct {
	Kind      Kind              `json:"kind"`
	Name      string            `json:"name"`
	Labels    map[string]string `json:"labels"`
	Version   int64             `json:"version"`
	ChangedBy string            `json:"changedBy"`
	Spec      json.RawMessage   `json:"spec"`
}

// UnmarshalJSON decodes an object strictly: an unknown kind or field is an error.
func (o *Object) UnmarshalJSON(b []byte) error {
	var e envelope
	if err := decodeStrict(b, &e); err != nil {
		return err
	}
	ref := Ref{Kind: e.Kind, Name: e.Name}
	spec := newSpec(e.Kind)
	if spec == nil {
		return &FieldError{Object: ref, Field: "kind", Value: string(e.Kind), Want: fmt.Sprintf("one of %v", Kinds())}
	}
	if len(e.Spec) > 0 {
		if err := decodeStrict(e.Spec, spec); err != nil {
			return fmt.Errorf("%s: spec: %w", ref, err)
		}
	}
	*o = Object{Kind: e.Kind, Name: e.Name, Labels: e.Labels, Version: e.Version, ChangedBy: e.ChangedBy, Spec: spec}
	return nil
}

func decodeStrict(b []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	return d.Decode(v)
}
