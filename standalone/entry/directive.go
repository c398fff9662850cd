package entry

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"

	"github.com/silverdeck/silverdeck/standalone/fleet"
	"github.com/silverdeck/silverdeck/standalone/objectstore"
	"github.com/silverdeck/silverdeck/standalone/peer"
	"github.com/silverdeck/silverdeck/standalone/plan"
)

// directive returns what the agent on vm shall do, by plan p, still without the
// members of its rollouts: those only stand behind their hash until fill.
func (e *Entry) directive(p *plan.Plan, vm string) peer.Directive {
	d := peer.Directive{Revision: p.Revision, Homes: fleet.Homes(vm, e.entryAddrs(true))}
	_, d.Drained = p.Drained[vm]
	for _, name := range p.ByVM[vm] {
		r := p.Rollouts[name]
		activate := e.mayActivate(r, vm)
		d.Waits = d.Waits || !activate
		d.Assignments = append(d.Assignments, peer.Assignment{
			Rollout:  r.Name,
			Model:    r.Model,
			Adapter:  r.Spec.Adapter,
			Weights:  r.Spec.Weights,
			Path:     r.Path,
			Root:     r.Root,
			Epoch:    p.Revision,
			Activate: activate,
			Budget:   r.Spec.Budget,

			MembersHash: r.MembersHash,
		})
	}
	b, _ := json.Marshal(d)
	d.Hash = xxhash.Sum64(b)
	return d
}

// fill adds the members of its rollouts to a directive that is sent.
func fill(d *peer.Directive, p *plan.Plan) {
	for i := range d.Assignments {
		a := &d.Assignments[i]
		a.Members = p.Rollouts[a.Rollout].Members()
	}
}

// mayActivate returns whether vm is among those that r may activate now.
func (e *Entry) mayActivate(r *plan.Rollout, vm string) bool {
	permit := r.Permitted(e.activation(r))
	for i := range min(permit.VMs, len(r.VMs)) {
		if r.VMs[i].Name == vm {
			return true
		}
	}
	return false
}

// activation returns how far each VM is with r, as this entry knows.
func (e *Entry) activation(r *plan.Rollout) func(vm string) plan.Activation {
	return func(vm string) plan.Activation {
		ep, ok := e.table.Get(vm)
		if !ok {
			return plan.ActivationPending
		}
		if ep.Suspect {
			return plan.ActivationGone
		}
		for _, g := range ep.Progress {
			if g.Root != r.Root {
				continue
			}
			if g.Live {
				return plan.ActivationLive
			}
			if g.Failed != "" {
				return plan.ActivationFailed
			}
		}
		return plan.ActivationPending
	}
}

// entryAddrs returns the peer addresses of the entries in the list, with this
// one if self is set; the seeds when the list is empty.
func (e *Entry) entryAddrs(self bool) []string {
	var out []string
	for _, vm := range e.list.Load().VMs {
		if vm.Role == objectstore.RoleEntry && !vm.Leaving && (self || vm.Addr != e.cfg.Peer) {
			out = append(out, vm.Addr)
		}
	}
	if len(out) > 0 {
		return out
	}
	for _, addr := range e.cfg.Seeds {
		if self || addr != e.cfg.Peer {
			out = append(out, addr)
		}
	}
	return out
}
