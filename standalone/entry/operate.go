package entry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/silverdeck/silverdeck/standalone/fleet"
	"github.com/silverdeck/silverdeck/standalone/object"
	"github.com/silverdeck/silverdeck/standalone/objectstore"
	"github.com/silverdeck/silverdeck/standalone/operator"
	"github.com/silverdeck/silverdeck/standalone/peer"
	"github.com/silverdeck/silverdeck/standalone/plan"
	"github.com/silverdeck/silverdeck/standalone/snapshot"
	"github.com/silverdeck/silverdeck/weights"
)

// applyLimit is how long an operator waits for a change to be accepted.
const applyLimit = 10 * time.Second

// Apply implements operator.Backend.
func (e *Entry) Apply(ctx context.Context, b snapshot.Batch, dryRun bool) (*operator.ApplyResult, error) {
	ctx, cancel := context.WithTimeout(ctx, applyLimit)
	defer cancel()
	if err := e.pin(ctx, b.Changes); err != nil {
		return nil, err
	}
	if dryRun {
		next, err := snapshot.Next(e.holder.Current(), b)
		if err != nil {
			return nil, err
		}
		return e.result(next), nil
	}
	next, err := e.committer.Commit(ctx, b)
	// The committer reads before it writes: also a batch that is refused may have
	// brought a newer configuration to this entry.
	e.changed(whatSnapshot, e.holder.Current().Revision)
	if err != nil {
		return nil, err
	}
	return e.result(next), nil
}

func (e *Entry) result(s *snapshot.Snapshot) *operator.ApplyResult {
	p := plan.Make(s, e.list.Load())
	return &operator.ApplyResult{Revision: s.Revision, Warnings: p.Warnings(s)}
}

// pin binds each rollout of a batch to the content that its manifest has now.
func (e *Entry) pin(ctx context.Context, changes []snapshot.Change) error {
	for _, c := range changes {
		spec, ok := c.Object.Spec.(*object.RolloutSpec)
		if !ok || spec.Root != "" || c.Op != snapshot.OpPut {
			continue
		}
		m, err := e.readManifest(ctx, spec, changes)
		if err != nil {
			return &object.FieldError{
				Object: c.Object.Ref(), Field: "spec.weights", Value: spec.Weights,
				Want: "a version with a manifest at the origin (" + err.Error() + ")",
			}
		}
		spec.Root = m.Root().String()
	}
	return nil
}

// readManifest reads the manifest of what spec rolls out.
func (e *Entry) readManifest(ctx context.Context, spec *object.RolloutSpec, changes []snapshot.Change) (*weights.Manifest, error) {
	source, err := e.source(spec, changes)
	if err != nil {
		return nil, err
	}
	b, err := e.origin.Manifest(ctx, source+"/"+spec.Weights)
	if err != nil {
		return nil, err
	}
	m, err := weights.ParseManifest(b)
	if err != nil {
		return nil, err
	}
	e.manifestMu.Lock()
	defer e.manifestMu.Unlock()
	e.manifests[m.Root()] = m
	return m, nil
}

// source returns where the origin keeps what spec rolls out; the model or the
// adapter may stand in the same batch.
func (e *Entry) source(spec *object.RolloutSpec, changes []snapshot.Change) (string, error) {
	ref := object.Ref{Kind: object.KindModel, Name: spec.Model}
	if spec.Adapter != "" {
		ref = object.Ref{Kind: object.KindAdapter, Name: spec.Adapter}
	}
	found := e.holder.Current().Find(ref)
	for i, c := range changes {
		if c.Op == snapshot.OpPut && c.Object.Ref() == ref {
			found = &changes[i].Object
		}
	}
	if found == nil {
		return "", fmt.Errorf("%s does not exist", ref)
	}
	switch s := found.Spec.(type) {
	case *object.ModelSpec:
		return s.Source, nil
	case *object.AdapterSpec:
		return s.Source, nil
	}
	return "", fmt.Errorf("%s has no source", ref)
}

// Snapshot implements operator.Backend.
func (e *Entry) Snapshot() *snapshot.Snapshot {
	return e.holder.Current()
}

// Status implements operator.Backend.
func (e *Entry) Status() *operator.Status {
	p := e.planner.Plan()
	s := &operator.Status{
		Entry: e.cfg.VM, Revision: p.Revision, ListVersion: p.ListVersion,
		Rollouts: []operator.RolloutStatus{}, Endpoints: []operator.EndpointStatus{},
		Warnings: p.Warnings(e.holder.Current()), Events: e.events.List(),
	}
	s.InForce.Oldest = p.Revision
	for _, ep := range e.table.All() {
		s.Endpoints = append(s.Endpoints, endpointStatus(p, ep))
		if vm, ok := p.VMs[ep.VM]; !ok || vm.Leaving || ep.Suspect {
			continue
		}
		s.InForce.Of++
		s.InForce.Oldest = min(s.InForce.Oldest, ep.Revision)
		if ep.Revision >= p.Revision {
			s.InForce.On++
		}
	}
	for _, o := range e.holder.Current().OfKind(object.KindRollout) {
		if r := p.Rollouts[o.Name]; r != nil {
			s.Rollouts = append(s.Rollouts, e.rolloutStatus(r))
		}
	}
	return s
}

func endpointStatus(p *plan.Plan, ep fleet.Endpoint) operator.EndpointStatus {
	state := string(ep.State)
	if ep.Suspect {
		state = "suspect"
	}
	if why, ok := p.Drained[ep.VM]; ok && !ep.Suspect {
		state += " (" + why + ")"
	}
	out := operator.EndpointStatus{
		VM: ep.VM, Zone: ep.Zone, State: state, Revision: ep.Revision, Loaded: []string{},
		Running: ep.Load.Running, Queued: ep.Load.Queued, Slots: ep.Load.Slots,
	}
	for _, l := range ep.Loaded {
		name := l.Model
		if l.Adapter != "" {
			name += "+" + l.Adapter
		}
		out.Loaded = append(out.Loaded, name+"@"+l.Weights)
	}
	return out
}

func (e *Entry) rolloutStatus(r *plan.Rollout) operator.RolloutStatus {
	at := e.activation(r)
	permit := r.Permitted(at)
	s := operator.RolloutStatus{
		Name: r.Name, Subject: r.Subject().String(), Weights: r.Spec.Weights, Root: r.Root.Short(),
		Replicas: len(r.VMs), Permitted: permit.VMs, Halted: permit.Halted,
	}
	for i, vm := range r.VMs {
		switch at(vm.Name) {
		case plan.ActivationLive:
			s.Live++
		case plan.ActivationFailed:
			s.Failed++
		}
		g, heard := e.progress(vm, r)
		s.ChunksHave += g.Stats.Have
		s.ChunksTotal += g.Stats.Total
		s.OriginBytes += g.Stats.OriginBytes
		s.PeerBytes += g.Stats.PeerBytes
		if !g.Live {
			s.Behind = append(s.Behind, operator.Behind{VM: vm.Name, Why: e.whyBehind(vm, g, heard, i < permit.VMs)})
		}
	}
	return s
}

func (e *Entry) progress(vm objectstore.VM, r *plan.Rollout) (peer.Progress, bool) {
	ep, ok := e.table.Get(vm.Name)
	if !ok {
		return peer.Progress{}, false
	}
	for _, g := range ep.Progress {
		if g.Root == r.Root {
			return g, true
		}
	}
	return peer.Progress{}, true
}

func (e *Entry) whyBehind(vm objectstore.VM, g peer.Progress, heard, permitted bool) string {
	ep, _ := e.table.Get(vm.Name)
	switch {
	case !heard:
		return "its agent has not been heard"
	case ep.Suspect:
		return "its agent is no longer heard"
	case g.Failed != "":
		return g.Failed
	case g.Stats.Total == 0:
		return "has not begun to fetch"
	case g.Stats.Have < g.Stats.Total:
		return fmt.Sprintf("has %d of %d chunks; stalled %d, corrupt %d; %s", g.Stats.Have, g.Stats.Total,
			g.Stats.Stalled, g.Stats.CorruptPeer+g.Stats.CorruptOrigin, orElse(g.Stats.Blocked, "fetching"))
	case !permitted:
		return "complete; waits for its batch"
	}
	return "complete; the engine is loading"
}

func orElse(s, other string) string {
	if s == "" {
		return other
	}
	return s
}

// errStarting tells that the entry knows neither configuration nor VMs.
var errStarting = errors.New("entry: no list of VMs yet")

// Ready implements telemetry.StatusProvider.
func (e *Entry) Ready() error {
	if e.leaving.Load() {
		return errors.New("entry: leaving")
	}
	if e.list.Load().Version == 0 {
		return errStarting
	}
	return nil
}

// State implements telemetry.StatusProvider.
func (e *Entry) State() any {
	sent, received := e.pool.Traffic()
	return struct {
		Status  *operator.Status `json:"status"`
		Floor   int64            `json:"floor"`
		Watches bool             `json:"watches"`
		Crossed int64            `json:"answersCrossed"`
		Cut     int64            `json:"answersCut"`
		// Sent and Received are bytes of control messages on the connections
		// that this entry opened; its agents count their own.
		Sent     int64 `json:"controlSent"`
		Received int64 `json:"controlReceived"`
	}{e.Status(), e.spreader.floor.Load(), e.watches(), e.forwarder.Crossed.Load(), e.forwarder.Cut.Load(), sent, received}
}
