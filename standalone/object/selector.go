package object

import "k8s.io/apimachinery/pkg/labels"

// Labels that every VM has, whatever else the platform's list gives it.
const (
	LabelVM     = "vm"
	LabelZone   = "zone"
	LabelRegion = "region"
	LabelRole   = "role"
)

// LabelAccount is the label that names a client account.
const LabelAccount = "account"

// Selector tells which label sets are selected.
type Selector interface {
	// Matches returns whether the label set l is selected.
	Matches(l map[string]string) bool
}

type selector struct {
	s labels.Selector
}

// ParseSelector returns the selector written in s, in the label selector
// syntax of Kubernetes. An empty s selects everything.
func ParseSelector(s string) (Selector, error) {
	p, err := labels.Parse(s)
	if err != nil {
		return nil, err
	}
	return selector{s: p}, nil
}

// Matches implements Selector.
func (s selector) Matches(l map[string]string) bool {
	return s.s.Matches(labels.Set(l))
}

// nothing selects nothing.
type nothing struct{}

// Matches implements Selector.
func (nothing) Matches(map[string]string) bool { return false }

// Compile returns the selector written in s, to be used many times. One that
// does not parse selects nothing; Validate refuses it before.
func Compile(s string) Selector {
	p, err := ParseSelector(s)
	if err != nil {
		return nothing{}
	}
	return p
}

// Selects returns whether the selector written in s selects the label set l.
func Selects(s string, l map[string]string) bool {
	return Compile(s).Matches(l)
}
