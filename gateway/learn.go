package gateway

import (
	"time"

	"github.com/silverdeck/silverdeck/gateway/balance"
	"github.com/silverdeck/silverdeck/member"
	"github.com/silverdeck/silverdeck/mirror"
	"github.com/silverdeck/silverdeck/platform"
	"github.com/silverdeck/silverdeck/roster"
)

// notice takes in what the process beside an endpoint tells.
func (g *Gateway) notice(n member.Notice) {
	pause := time.Duration(n.PauseMS) * time.Millisecond
	g.log.Info("notice", "addr", n.Addr, "pauseMs", n.PauseMS, "model", n.Model, "version", n.Version)
	g.balancer.Announce(n.Addr, time.Now().Add(pause), roster.Weights{Model: n.Model, Version: n.Version})
}

func (g *Gateway) useConfig(s *mirror.State) {
	stored, found := s.Objects[platform.ConfigName]
	if !found {
		return
	}
	config, err := platform.DecodeConfig(stored.Data)
	if err != nil {
		g.log.Error("bad configuration", "revision", stored.Revision, "err", err)
		return
	}
	if g.proxy.Use(config) {
		g.log.Info("configuration in force", "version", config.Version, "revision", config.Revision)
		g.inventory.announce()
	}
}

// useEndpoints puts the copy of the endpoints' records in force, with endpoints
// that are kept although the platform has lost their records. It looks again
// when the first of them is to go.
func (g *Gateway) useEndpoints(*mirror.State) {
	g.rosterMu.Lock()
	defer g.rosterMu.Unlock()
	now := time.Now()
	list := g.decodeRoster(g.mirrors[platform.KindEndpoints].State())
	listed := len(list.Endpoints)
	before := g.roster.Load()
	end := g.retention.Fill(list, before, now)
	if kept := len(list.Endpoints) - listed; kept > 0 {
		g.log.Info("lapsed endpoints kept", "endpoints", kept, "forMs", end.Sub(now).Milliseconds(), "revision", list.Revision)
		time.AfterFunc(end.Sub(now), func() { g.useEndpoints(nil) })
	}
	g.roster.Store(list)
	g.logRoster(before, list)
	g.balancer.Update(list)
	g.client.Keep(list.Addrs(), now)
}

// decodedEndpoint is an endpoint's record as it stood at a revision.
type decodedEndpoint struct {
	revision int64
	endpoint *roster.Endpoint
}

// decodeRoster returns the endpoints that the store lists. Records that did not
// change are not decoded again. The caller holds rosterMu.
func (g *Gateway) decodeRoster(s *mirror.State) *roster.List {
	list := &roster.List{Revision: s.Revision, Endpoints: make(map[string]*roster.Endpoint, len(s.Objects))}
	decoded := make(map[string]decodedEndpoint, len(s.Objects))
	for name, stored := range s.Objects {
		d := g.decoded[name]
		if d.endpoint == nil || d.revision != stored.Revision {
			endpoint, err := platform.DecodeEndpoint(stored.Data)
			if err != nil {
				g.log.Error("bad endpoint", "endpoint", name, "err", err)
				continue
			}
			d = decodedEndpoint{revision: stored.Revision, endpoint: endpoint}
		}
		decoded[name] = d
		list.Endpoints[name] = d.endpoint
	}
	g.decoded = decoded
	return list
}

// logBelief writes a line when an endpoint is left alone or used again.
func (g *Gateway) logBelief(b balance.Belief) {
	g.log.Info("endpoint health", "endpoint", b.Endpoint, "change", b.Change.String(),
		"failures", b.Failures, "forMs", time.Until(b.Until).Milliseconds())
}

// logRoster writes a line for each endpoint that changed.
func (g *Gateway) logRoster(old, list *roster.List) {
	for name, now := range list.Endpoints {
		var before *roster.Endpoint
		if old != nil {
			before = old.Endpoints[name]
		}
		if before == nil || before.Leaving != now.Leaving || len(before.Weights) != len(now.Weights) ||
			(len(now.Weights) > 0 && before.Weights[0] != now.Weights[0]) {
			g.log.Info("endpoint", "endpoint", name, "service", now.Service, "addr", now.Addr, "zone", now.Zone,
				"leaving", now.Leaving, "weights", now.Weights, "revision", list.Revision)
		}
	}
	if old == nil {
		return
	}
	for name := range old.Endpoints {
		if list.Endpoints[name] == nil {
			g.log.Info("endpoint gone", "endpoint", name, "revision", list.Revision)
		}
	}
}

func (g *Gateway) useVersions(s *mirror.State) {
	for name, stored := range s.Objects {
		v, err := platform.DecodeVersion(stored.Data)
		if err != nil {
			g.log.Error("bad version", "name", name, "err", err)
			continue
		}
		if g.versions.named(v.Model, v.Version, time.Now()) {
			g.log.Info("version named", "model", v.Model, "version", v.Version, "revision", stored.Revision)
			g.inventory.announce()
		}
	}
}

func (g *Gateway) useMembers(s *mirror.State) {
	var entries []member.Entry
	for name, stored := range s.Objects {
		entry, err := platform.DecodeMember(stored.Data)
		if err != nil {
			g.log.Error("bad entry", "name", name, "err", err)
			continue
		}
		entries = append(entries, *entry)
	}
	g.table.Know(entries)
}
