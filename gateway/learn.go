package gateway

import (
	"time"

	"github.com/silverdeck/silverdeck/gateway/balance"
	"github.com/silverdeck/silverdeck/member"
	"github.com/silverdeck/silverdeck/mirror"
	"github.com/silverdeck/silverdeck/platform"
	"github.com/silverdeck/silverdeck/roster"
)

// useNotice takes in what the process beside an endpoint tells.
func (g *Gateway) useNotice(n member.Notice) {
	pause := time.Duration(n.PauseMS) * time.Millisecond
	g.log.Info("notice", "addr", n.Addr, "born", n.Born, "pauseMs", n.PauseMS, "model", n.Model, "version", n.Version)
	if n.Version != 0 {
		g.loads.Release(roster.VM(n.Addr))
	}
	g.balancer.ApplyAnnouncement(balance.Announcement{
		Addr:        n.Addr,
		Born:        n.Born,
		PausedUntil: time.Now().Add(pause),
		Weights:     roster.Weights{Model: n.Model, Version: n.Version},
	})
}

// useConfig puts the copy of the configuration in force. One that can't be read
// leaves the former in force.
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
	if !g.proxy.Supersedes(config) {
		return
	}
	g.awaitQuarantine()
	// Limits come first: the gateway is ready once a configuration is in force.
	g.callers.SetLimits(ConnectionLimits(config.Limits))
	g.proxy.SetConfig(config)
	g.log.Info("configuration in force", "version", config.Version, "revision", config.Revision)
	g.inventory.Broadcast()
}

// useEndpoints puts a list of endpoints in force.
func (g *Gateway) useEndpoints(list *roster.List) {
	g.balancer.Update(list)
	g.client.Prune(list.ByAddr(), time.Now())
}

// logBelief writes a line when an endpoint is ejected, used again or reassigned.
func (g *Gateway) logBelief(b balance.HealthEvent) {
	g.log.Info("endpoint health", "endpoint", b.Endpoint, "change", b.Change.String(),
		"failures", b.FailureRate, "forMs", time.Until(b.EjectedUntil).Milliseconds())
}

// useVersions takes in the versions that are named.
func (g *Gateway) useVersions(s *mirror.State) {
	found := !g.versionsRead.Swap(true)
	for name, stored := range s.Objects {
		v, err := platform.DecodeVersion(stored.Data)
		if err != nil {
			g.badVersions.Report(name, err)
			continue
		}
		if g.noteVersion(v.Model, v.Version, found) {
			g.log.Info("version named", "model", v.Model, "version", v.Version, "revision", stored.Revision, "found", found)
			g.inventory.Broadcast()
			g.wantNamings()
		}
	}
}

// noteVersion takes in a version that is named, or found at the start, and returns
// whether it is the newest.
func (g *Gateway) noteVersion(model string, version int64, found bool) bool {
	if found {
		return g.versions.AddExisting(model, version, time.Now())
	}
	return g.versions.Add(model, version, time.Now())
}

// useMembers takes in the gateways that the store lists.
func (g *Gateway) useMembers(s *mirror.State) {
	var entries []member.Entry
	for name, stored := range s.Objects {
		entry, err := platform.DecodeMember(stored.Data)
		if err != nil {
			g.badMembers.Report(name, err)
			continue
		}
		entries = append(entries, *entry)
	}
	g.table.SetListed(entries)
	g.syncer.Elect(time.Now())
}
