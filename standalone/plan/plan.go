// Package plan works out from a configuration and the list of VMs what each
// VM shall load. It is a pure function of both, so every process that knows
// them comes to the same plan, and no leader is needed.
// It owns nothing and makes no calls.
package plan

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/silverdeck/silverdeck/standalone/object"
	"github.com/silverdeck/silverdeck/standalone/objectstore"
	"github.com/silverdeck/silverdeck/standalone/snapshot"
	"github.com/silverdeck/silverdeck/swarm"
	"github.com/silverdeck/silverdeck/weights"
)

// Rollout is an accepted rollout, resolved.
type Rollout struct {
	Name string
	Spec *object.RolloutSpec
	// Model is the base model that serves, also for an adapter's rollout.
	Model string
	// Path is where the origin keeps the weights; Root names their content.
	Path string
	Root weights.Digest
	// Version is the revision that last changed the rollout.
	Version int64
	// selector and accounts are Spec.VMs and Spec.Accounts, parsed.
	selector, accounts object.Selector
	// VMs are those that load it, in the order in which they activate.
	VMs []objectstore.VM
	// MembersHash names the result of Members.
	MembersHash uint64
	members     []swarm.Member
	// Losers are selected VMs for which another rollout won; By names it.
	Losers []Loss
}

// Loss is a VM that two rollouts claim.
type Loss struct {
	VM string
	By string
}

// Plan is what follows from one configuration and one list of VMs.
type Plan struct {
	// Revision is the configuration's. It is the epoch of every order that
	// follows from the plan.
	Revision    int64
	ListVersion int64
	Rollouts    map[string]*Rollout
	// ByVM has the names of the rollouts that a VM loads, sorted: models
	// before their adapters.
	ByVM map[string][]string
	// Drained has the VMs that an operator takes out of service, with the reason.
	Drained map[string]string
	// VMs are the VMs of the list by name, Labels what selectors see of them.
	VMs    map[string]objectstore.VM
	Labels map[string]map[string]string
}

// Make returns the plan for s and l.
func Make(s *snapshot.Snapshot, l *objectstore.VMList) *Plan {
	p := &Plan{
		Revision:    s.Revision,
		ListVersion: l.Version,
		Rollouts:    map[string]*Rollout{},
		ByVM:        map[string][]string{},
		Drained:     map[string]string{},
		VMs:         map[string]objectstore.VM{},
		Labels:      map[string]map[string]string{},
	}
	for _, vm := range l.VMs {
		p.VMs[vm.Name] = vm
		p.Labels[vm.Name] = vm.LabelSet()
	}
	rollouts := p.resolve(s)
	for _, vm := range l.VMs {
		if vm.Role == objectstore.RoleModel && !vm.Leaving {
			p.claim(vm, rollouts)
		}
	}
	p.drain(s, l)
	for _, r := range p.Rollouts {
		sortForActivation(r)
		r.members = r.Members()
		r.MembersHash = hashMembers(r.members)
	}
	return p
}

func hashMembers(list []swarm.Member) uint64 {
	h := xxhash.New()
	for _, m := range list {
		for _, s := range []string{m.VM, m.Addr, m.Zone, m.Region} {
			_, _ = h.WriteString(s)
			_, _ = h.Write([]byte{0})
		}
	}
	return h.Sum64()
}

// resolve returns the rollouts of s that can be carried out, the winners
// before the losers: higher priority first, then the one changed last.
func (p *Plan) resolve(s *snapshot.Snapshot) []*Rollout {
	var out []*Rollout
	for _, o := range s.OfKind(object.KindRollout) {
		r := resolveOne(s, o)
		if r == nil {
			continue
		}
		p.Rollouts[r.Name] = r
		out = append(out, r)
	}
	slices.SortStableFunc(out, func(a, b *Rollout) int {
		if c := cmp.Compare(b.Spec.Priority, a.Spec.Priority); c != 0 {
			return c
		}
		if c := cmp.Compare(b.Version, a.Version); c != 0 {
			return c
		}
		return cmp.Compare(a.Name, b.Name)
	})
	return out
}

func resolveOne(s *snapshot.Snapshot, o object.Object) *Rollout {
	spec, ok := o.Spec.(*object.RolloutSpec)
	if !ok {
		return nil
	}
	root, err := weights.ParseDigest(spec.Root)
	if err != nil {
		return nil
	}
	r := &Rollout{Name: o.Name, Spec: spec, Model: spec.Model, Root: root, Version: o.Version, selector: object.Compile(spec.VMs), accounts: object.Compile(spec.Accounts)}
	source := ""
	if a := s.Find(object.Ref{Kind: object.KindAdapter, Name: spec.Adapter}); a != nil {
		as := a.Spec.(*object.AdapterSpec)
		source = as.Source
		r.Model = as.Model
	}
	if m := s.Find(object.Ref{Kind: object.KindModel, Name: spec.Model}); m != nil {
		source = m.Spec.(*object.ModelSpec).Source
	}
	if source == "" {
		return nil
	}
	r.Path = source + "/" + spec.Weights
	return r
}

// claim gives vm to the first rollout of each model or adapter that selects it.
func (p *Plan) claim(vm objectstore.VM, rollouts []*Rollout) {
	won := map[object.Ref]string{}
	for _, r := range rollouts {
		if !r.selector.Matches(p.Labels[vm.Name]) {
			continue
		}
		subject := r.Subject()
		if by, taken := won[subject]; taken {
			r.Losers = append(r.Losers, Loss{VM: vm.Name, By: by})
			continue
		}
		won[subject] = r.Name
		r.VMs = append(r.VMs, vm)
		p.ByVM[vm.Name] = append(p.ByVM[vm.Name], r.Name)
	}
	slices.SortFunc(p.ByVM[vm.Name], func(a, b string) int {
		ra, rb := p.Rollouts[a], p.Rollouts[b]
		if c := cmp.Compare(ra.Spec.Adapter, rb.Spec.Adapter); c != 0 {
			return c
		}
		return cmp.Compare(a, b)
	})
}

// Subject names the model or adapter that is rolled out.
func (r *Rollout) Subject() object.Ref {
	if r.Spec.Adapter != "" {
		return object.Ref{Kind: object.KindAdapter, Name: r.Spec.Adapter}
	}
	return object.Ref{Kind: object.KindModel, Name: r.Spec.Model}
}

// Reaches returns whether the rollout reaches a client account, by the labels
// that selectors see of it.
func (r *Rollout) Reaches(account map[string]string) bool {
	if r.accounts == nil {
		return object.Selects(r.Spec.Accounts, account)
	}
	return r.accounts.Matches(account)
}

// Members returns the VMs that hold or fetch the rollout's weights. The result
// must not be changed.
func (r *Rollout) Members() []swarm.Member {
	if r.members != nil {
		return r.members
	}
	out := make([]swarm.Member, len(r.VMs))
	for i, vm := range r.VMs {
		out[i] = swarm.Member{VM: vm.Name, Addr: vm.Addr, Zone: vm.Zone, Region: vm.Region}
	}
	return out
}

func (p *Plan) drain(s *snapshot.Snapshot, l *objectstore.VMList) {
	for _, o := range s.OfKind(object.KindDrain) {
		spec := o.Spec.(*object.DrainSpec)
		selector := object.Compile(spec.VMs)
		for _, vm := range l.VMs {
			if selector.Matches(p.Labels[vm.Name]) {
				p.Drained[vm.Name] = "drain " + o.Name + ": " + spec.Reason
			}
		}
	}
	for _, vm := range l.VMs {
		if vm.Leaving {
			p.Drained[vm.Name] = "the platform is about to take the VM away"
		}
	}
}
