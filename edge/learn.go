package edge

import (
	"time"

	"github.com/silverdeck/silverdeck/balance"
	"github.com/silverdeck/silverdeck/member"
	"github.com/silverdeck/silverdeck/mirror"
	"github.com/silverdeck/silverdeck/platform"
	"github.com/silverdeck/silverdeck/roster"
)

// notice takes in what the process beside an endpoint tells.
func (e *Edge) notice(n member.Notice) {
	pause := time.Duration(n.PauseMS) * time.Millisecond
	e.log.Info("notice", "addr", n.Addr, "pauseMs", n.PauseMS, "model", n.Model, "version", n.Version)
	e.balancer.Notice(n.Addr, time.Now().Add(pause), roster.Weights{Model: n.Model, Version: n.Version})
}

func (e *Edge) useConfig(s *mirror.State) {
	stored, found := s.Objects[platform.ConfigName]
	if !found {
		return
	}
	config, err := platform.DecodeConfig(stored.Data)
	if err != nil {
		e.log.Error("bad configuration", "revision", stored.Revision, "err", err)
		return
	}
	if e.gateway.Use(config) {
		e.log.Info("configuration in force", "version", config.Version, "revision", config.Revision)
		e.inventory.announce()
	}
}

// useEndpoints puts the copy of the endpoints' records in force, with endpoints
// that are kept although the platform has lost their records. It looks again
// when the first of them is to go.
func (e *Edge) useEndpoints(*mirror.State) {
	e.rosterMu.Lock()
	defer e.rosterMu.Unlock()
	now := time.Now()
	list := e.decodeRoster(e.mirrors[platform.KindEndpoints].State())
	listed := len(list.Endpoints)
	before := e.roster.Load()
	end := e.retention.Fill(list, before, now)
	if kept := len(list.Endpoints) - listed; kept > 0 {
		e.log.Info("lapsed endpoints kept", "endpoints", kept, "forMs", end.Sub(now).Milliseconds(), "revision", list.Revision)
		time.AfterFunc(end.Sub(now), func() { e.useEndpoints(nil) })
	}
	e.roster.Store(list)
	e.logRoster(before, list)
	e.balancer.Update(list)
	e.client.Keep(list.Addrs(), now)
}

// decodedEndpoint is an endpoint's record as it stood at a revision.
type decodedEndpoint struct {
	revision int64
	endpoint *roster.Endpoint
}

// decodeRoster returns the endpoints that the store lists. Records that did not
// change are not decoded again. The caller holds rosterMu.
func (e *Edge) decodeRoster(s *mirror.State) *roster.List {
	list := &roster.List{Revision: s.Revision, Endpoints: make(map[string]*roster.Endpoint, len(s.Objects))}
	decoded := make(map[string]decodedEndpoint, len(s.Objects))
	for name, stored := range s.Objects {
		d := e.decoded[name]
		if d.endpoint == nil || d.revision != stored.Revision {
			endpoint, err := platform.DecodeEndpoint(stored.Data)
			if err != nil {
				e.log.Error("bad endpoint", "endpoint", name, "err", err)
				continue
			}
			d = decodedEndpoint{revision: stored.Revision, endpoint: endpoint}
		}
		decoded[name] = d
		list.Endpoints[name] = d.endpoint
	}
	e.decoded = decoded
	return list
}

// logBelief writes a line when an endpoint is left alone or used again.
func (e *Edge) logBelief(b balance.Belief) {
	e.log.Info("endpoint health", "endpoint", b.Endpoint, "change", b.Change.String(),
		"failures", b.Failures, "forMs", time.Until(b.Until).Milliseconds())
}

// logRoster writes a line for each endpoint that changed.
func (e *Edge) logRoster(old, list *roster.List) {
	for name, now := range list.Endpoints {
		var before *roster.Endpoint
		if old != nil {
			before = old.Endpoints[name]
		}
		if before == nil || before.Leaving != now.Leaving || len(before.Weights) != len(now.Weights) ||
			(len(now.Weights) > 0 && before.Weights[0] != now.Weights[0]) {
			e.log.Info("endpoint", "endpoint", name, "service", now.Service, "addr", now.Addr, "zone", now.Zone,
				"leaving", now.Leaving, "weights", now.Weights, "revision", list.Revision)
		}
	}
	if old == nil {
		return
	}
	for name := range old.Endpoints {
		if list.Endpoints[name] == nil {
			e.log.Info("endpoint gone", "endpoint", name, "revision", list.Revision)
		}
	}
}

func (e *Edge) useVersions(s *mirror.State) {
	for name, stored := range s.Objects {
		v, err := platform.DecodeVersion(stored.Data)
		if err != nil {
			e.log.Error("bad version", "name", name, "err", err)
			continue
		}
		if e.versions.named(v.Model, v.Version, time.Now()) {
			e.log.Info("version named", "model", v.Model, "version", v.Version, "revision", stored.Revision)
			e.inventory.announce()
		}
	}
}

func (e *Edge) useMembers(s *mirror.State) {
	var entries []member.Entry
	for name, stored := range s.Objects {
		entry, err := platform.DecodeMember(stored.Data)
		if err != nil {
			e.log.Error("bad entry", "name", name, "err", err)
			continue
		}
		entries = append(entries, *entry)
	}
	e.table.Know(entries)
}
