package plan

import (
	"fmt"
	"slices"

	"github.com/silverdeck/silverdeck/standalone/object"
	"github.com/silverdeck/silverdeck/standalone/objectstore"
	"github.com/silverdeck/silverdeck/standalone/snapshot"
)

// vmT keeps signatures short.
type vmT = objectstore.VM

// Warning is something that an operator probably did not mean.
type Warning struct {
	Object object.Ref `json:"object"`
	// With is the other side, if there is one.
	With object.Ref `json:"with,omitzero"`
	Text string     `json:"text"`
}

// Warnings returns what is odd in s, given the VMs that there are.
func (p *Plan) Warnings(s *snapshot.Snapshot) []Warning {
	var out []Warning
	for _, o := range s.Objects {
		switch spec := o.Spec.(type) {
		case *object.RolloutSpec:
			out = append(out, p.rolloutWarnings(o, spec, s)...)
		case *object.ServiceSpec:
			out = append(out, p.serviceWarnings(o, spec, s)...)
		case *object.DrainSpec:
			if p.countVMs(spec.VMs, "") == 0 {
				out = append(out, Warning{Object: o.Ref(), Text: "selects no VM"})
			}
		}
	}
	return out
}

func (p *Plan) rolloutWarnings(o object.Object, spec *object.RolloutSpec, s *snapshot.Snapshot) []Warning {
	var out []Warning
	r := p.Rollouts[o.Name]
	if r == nil {
		return []Warning{{Object: o.Ref(), Text: "has no pinned content; its manifest could not be read"}}
	}
	if p.countVMs(spec.VMs, objectstore.RoleModel) == 0 {
		out = append(out, Warning{Object: o.Ref(), Text: "selects no VM"})
	}
	if !anyAccount(s, spec.Accounts) {
		out = append(out, Warning{Object: o.Ref(), Text: "selects no client account"})
	}
	lost := map[string]int{}
	for _, l := range r.Losers {
		lost[l.By]++
	}
	for _, by := range sortedKeys(lost) {
		other := object.Ref{Kind: object.KindRollout, Name: by}
		text := fmt.Sprintf("claims %d VMs that %s holds for another version", lost[by], other)
		if p.Rollouts[by].Root == r.Root {
			text = fmt.Sprintf("claims %d VMs that %s holds for the same version", lost[by], other)
		}
		out = append(out, Warning{Object: o.Ref(), With: other, Text: text})
	}
	return out
}

func (p *Plan) serviceWarnings(o object.Object, spec *object.ServiceSpec, s *snapshot.Snapshot) []Warning {
	var out []Warning
	role := objectstore.RoleModel
	if spec.Model == "" {
		role = objectstore.RolePlain
	}
	if p.countVMs(spec.VMs, role) == 0 {
		out = append(out, Warning{Object: o.Ref(), Text: "selects no VM; no caller can reach it"})
	}
	if !anyAccount(s, spec.Accounts) {
		out = append(out, Warning{Object: o.Ref(), Text: "selects no client account; no caller can reach it"})
	}
	if spec.Model != "" && !p.anyRollout(spec) {
		ref := object.Ref{Kind: object.KindModel, Name: spec.Model}
		out = append(out, Warning{Object: o.Ref(), With: ref, Text: "no rollout brings its weights to a VM that it selects"})
	}
	return out
}

func (p *Plan) anyRollout(spec *object.ServiceSpec) bool {
	selector := object.Compile(spec.VMs)
	for _, r := range p.Rollouts {
		if r.Model != spec.Model || r.Spec.Adapter != spec.Adapter {
			continue
		}
		if slices.ContainsFunc(r.VMs, func(vm vmT) bool { return selector.Matches(p.Labels[vm.Name]) }) {
			return true
		}
	}
	return false
}

func (p *Plan) countVMs(selector string, role objectstore.Role) int {
	n := 0
	selected := object.Compile(selector)
	for _, vm := range p.VMs {
		if (role == "" || vm.Role == role) && selected.Matches(p.Labels[vm.Name]) {
			n++
		}
	}
	return n
}

func anyAccount(s *snapshot.Snapshot, selector string) bool {
	accounts := s.OfKind(object.KindAccount)
	if len(accounts) == 0 {
		return true
	}
	return slices.ContainsFunc(accounts, func(o object.Object) bool {
		return object.Selects(selector, snapshot.AccountLabels(o))
	})
}

func sortedKeys(m map[string]int) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}
