package plan

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Activation is how far one VM is with a rollout.
type Activation int

// The activations.
const (
	// ActivationPending is the zero value: nothing is known yet.
	ActivationPending Activation = iota
	ActivationLive
	ActivationFailed
	// ActivationGone is a VM that is not heard; no wave waits for it.
	ActivationGone
)

// Permit is how far a rollout may go.
type Permit struct {
	// VMs is how many VMs of the rollout may activate, in its order.
	VMs int
	// Halted says why it goes no further, or is empty.
	Halted string
}

// sortForActivation puts the VMs of r into an order that every process knows.
func sortForActivation(r *Rollout) {
	key := func(vm string) uint64 { return xxhash.Sum64String(r.Name + "\x00" + vm) }
	slices.SortFunc(r.VMs, func(a, b vmT) int {
		if c := cmp.Compare(key(a.Name), key(b.Name)); c != 0 {
			return c
		}
		return cmp.Compare(a.Name, b.Name)
	})
}

// Permitted returns how far r may go, when at tells how far each VM is. A wave
// of Strategy.Batch VMs may activate once nobody in the waves before is
// pending. Nothing has to be written down for that: the answer follows from
// what the VMs report.
func (r *Rollout) Permitted(at func(vm string) Activation) Permit {
	if r.Spec.Strategy.Paused {
		return Permit{VMs: r.activated(at), Halted: "paused by an operator"}
	}
	failed := 0
	for _, vm := range r.VMs {
		if at(vm.Name) == ActivationFailed {
			failed++
		}
	}
	if failed > r.Spec.Strategy.MaxFailed {
		return Permit{VMs: r.activated(at), Halted: fmt.Sprintf("%d VMs failed to load, %d are allowed", failed, r.Spec.Strategy.MaxFailed)}
	}
	batch := r.Spec.Strategy.Batch
	if batch <= 0 {
		return Permit{VMs: len(r.VMs)}
	}
	permitted := 0
	for permitted < len(r.VMs) {
		wave := r.VMs[permitted:min(permitted+batch, len(r.VMs))]
		permitted += len(wave)
		if slices.ContainsFunc(wave, func(vm vmT) bool { return at(vm.Name) == ActivationPending }) {
			break
		}
	}
	return Permit{VMs: permitted}
}

// activated counts the VMs up to the last live one: what is live stays so.
func (r *Rollout) activated(at func(vm string) Activation) int {
	n := 0
	for i, vm := range r.VMs {
		if at(vm.Name) == ActivationLive {
			n = i + 1
		}
	}
	return n
}
