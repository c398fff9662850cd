package entry

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/silverdeck/silverdeck/exchange"
	"github.com/silverdeck/silverdeck/standalone/agent"
	"github.com/silverdeck/silverdeck/standalone/peer"
	"github.com/silverdeck/silverdeck/weights"
)

// errBehind tells an agent to ask another entry.
var errBehind = errors.New("entry: a newer configuration exists than this entry has")

// Service has the net/rpc methods that agents and other entries call.
type Service struct {
	entry *Entry
}

// Report takes an agent's report and answers with its directive. An entry that
// knows of a newer configuration than it has gives none.
func (s *Service) Report(r peer.Report, d *peer.Directive) error {
	e := s.entry
	known := e.table.Heard(&r, time.Now())
	e.spreader.seen(r.Revision)
	t := time.NewTimer(agent.HoldReport)
	defer t.Stop()
	for held := true; held; {
		config, others := e.holder.Changed(), e.table.Changed()
		*d = s.answer(r)
		if !d.Unchanged {
			break
		}
		if !d.Waits {
			others = nil
		}
		held = hold(config, others, t.C)
	}
	d.Incarnation = known
	return nil
}

// hold waits for a new configuration, for news of other endpoints, or until
// the time is over; then it returns false.
func hold(config, others <-chan struct{}, over <-chan time.Time) bool {
	select {
	case <-config:
		return true
	case <-others:
		return true
	case <-over:
		return false
	}
}

// answer returns the directive for the agent that sent r.
func (s *Service) answer(r peer.Report) peer.Directive {
	e := s.entry
	if e.spreader.behind() || e.holder.Current().Revision == 0 {
		return peer.Directive{Unchanged: true}
	}
	p := e.planner.Plan()
	d := e.directive(p, r.VM)
	if d.Hash == r.DirectiveHash {
		return peer.Directive{Revision: d.Revision, Hash: d.Hash, Unchanged: true, Waits: d.Waits}
	}
	fill(&d, p)
	return d
}

// Exchange takes and gives news between entries.
func (s *Service) Exchange(q peer.ExchangeRequest, reply *peer.ExchangeReply) error {
	s.entry.spreader.answer(q, reply)
	return nil
}

// manifestLimit is how long the origin may take for a manifest.
const manifestLimit = 10 * time.Second

// ManifestService answers agents that ask an entry for a manifest, under the
// same net/rpc name as agents do.
type ManifestService struct {
	entry *Entry
}

// Manifest returns the manifest of a rollout in force.
func (s *ManifestService) Manifest(q exchange.ManifestRequest, reply *exchange.ManifestReply) error {
	m, err := s.entry.manifest(q.Root)
	if err != nil {
		return err
	}
	reply.Manifest, err = json.Marshal(m)
	return err
}

// manifest returns the manifest that root names, from memory or the origin.
func (e *Entry) manifest(root weights.Digest) (*weights.Manifest, error) {
	e.manifestMu.Lock()
	defer e.manifestMu.Unlock()
	if m := e.manifests[root]; m != nil {
		return m, nil
	}
	for _, r := range e.planner.Plan().Rollouts {
		if r.Root != root {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), manifestLimit)
		defer cancel()
		b, err := e.origin.Manifest(ctx, r.Path)
		if err != nil {
			return nil, err
		}
		m, err := exchange.CheckManifest(b, root)
		if err != nil {
			return nil, err
		}
		e.manifests[root] = m
		return m, nil
	}
	return nil, errBehind
}
