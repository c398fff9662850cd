package snapshot

import (
	"fmt"

	"github.com/silverdeck/silverdeck/standalone/object"
)

// checkInteractions returns a conflict when an object that was changed after
// the operator looked interacts with change c.
func (s *Snapshot) checkInteractions(c Change, b Batch) error {
	if b.Base == 0 || b.Base >= s.Revision {
		return nil
	}
	for _, o := range s.Objects {
		if o.Version <= b.Base || o.Ref() == c.Object.Ref() {
			continue
		}
		if reason := interaction(c.Object, o); reason != "" {
			return &ConflictError{Object: c.Object.Ref(), With: o.Ref(), Version: o.Version, By: o.ChangedBy, Reason: reason}
		}
	}
	return nil
}

// interaction returns in words how a change to a meets a change to b, or "".
func interaction(a, b object.Object) string {
	if r := interactionOneWay(a, b); r != "" {
		return r
	}
	return interactionOneWay(b, a)
}

func interactionOneWay(a, b object.Object) string {
	switch x := a.Spec.(type) {
	case *object.RolloutSpec:
		return rolloutInteraction(x, b)
	case *object.ServiceSpec:
		if _, ok := b.Spec.(*object.AccountSpec); ok && x.Accounts != "" && object.Selects(x.Accounts, AccountLabels(b)) {
			return fmt.Sprintf("service %s selects account %s by its labels", a.Name, b.Name)
		}
	}
	return ""
}

func rolloutInteraction(x *object.RolloutSpec, b object.Object) string {
	switch y := b.Spec.(type) {
	case *object.RolloutSpec:
		if x.Model == y.Model && x.Adapter == y.Adapter {
			return "both roll out the same weights"
		}
	case *object.ModelSpec:
		if x.Model == b.Name {
			return "the rollout is of that model"
		}
	case *object.AdapterSpec:
		if x.Adapter == b.Name {
			return "the rollout is of that adapter"
		}
	case *object.AccountSpec:
		if x.Accounts != "" && object.Selects(x.Accounts, AccountLabels(b)) {
			return "the rollout selects that account by its labels"
		}
	}
	return ""
}

// AccountLabels returns the labels by which selectors see a client account:
// its own, and its name.
func AccountLabels(o object.Object) map[string]string {
	l := make(map[string]string, len(o.Labels)+1)
	for k, v := range o.Labels {
		l[k] = v
	}
	l[object.LabelAccount] = o.Name
	return l
}
