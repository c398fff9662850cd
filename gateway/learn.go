package gateway

import (
	"time"

	"github.com/silverdeck/silverdeck/gateway/balance"
	"github.com/silverdeck/silverdeck/gateway/work"
	"github.com/silverdeck/silverdeck/member"
	"github.com/silverdeck/silverdeck/mirror"
	"github.com/silverdeck/silverdeck/platform"
	"github.com/silverdeck/silverdeck/roster"
	"github.com/silverdeck/silverdeck/routes"
)

// applyNotice applies a notice from an endpoint's sidecar.
func (g *Gateway) applyNotice(n member.Notice) {
	pause := time.Duration(n.PauseMS) * time.Millisecond
	g.log.Info("notice", "addr", n.Addr, "born", n.Born, "pauseMs", n.PauseMS, "model", n.Model, "version", n.Version, "pace", n.Pace)
	if n.Version != 0 {
		g.loads.Release(roster.VM(n.Addr))
	}
	g.balancer.ApplyAnnouncement(balance.Announcement{
		Addr:        n.Addr,
		Born:        n.Born,
		PausedUntil: time.Now().Add(pause),
		Weights:     roster.Weights{Model: n.Model, Version: n.Version},
		Pace:        n.Pace,
		ReceivedAt:  time.Now(),
	})
}

// applyConfig puts the configuration in s into force. If it can't be decoded, the previous
// one stays in force. The first one waits until evacuations are known; see applyEvacuations.
func (g *Gateway) applyConfig(s *mirror.State) {
	stored, found := s.Objects[platform.ConfigName]
	if !found || !g.evacuationsKnown() {
		return
	}
	config, err := platform.DecodeConfig(stored.Data)
	if err != nil {
		g.log.Error("bad configuration", "revision", stored.Revision, "err", err)
		return
	}
	config.Era = s.Era
	if !g.proxy.Supersedes(config) {
		return
	}
	g.awaitQuarantine()
	// Set the limits first: the gateway becomes ready once it has a configuration.
	g.callerServer.SetLimits(ConnectionLimits(config.Limits))
	g.balancer.SetColdLimits(g.coldLimits(config))
	g.balancer.SetServices(engineServices(config))
	g.proxy.SetConfig(config)
	g.log.Info("configuration in force", "version", config.Version, "revision", config.Revision, "era", config.Era)
	g.inventory.Broadcast()
}

// engineServices returns what is known about the model engines, by service.
func engineServices(c *routes.Config) map[string]work.Service {
	out := map[string]work.Service{}
	for name, s := range c.Services {
		if s.Engine != nil {
			out[name] = work.Service{Engine: s.Engine, GapTarget: c.ShortestGapTarget(name)}
		}
	}
	return out
}

// applyEndpoints puts a list of endpoints into force.
func (g *Gateway) applyEndpoints(list *roster.List) {
	g.balancer.Update(list)
	g.client.Prune(list.ByAddr(), time.Now())
}

// logHealthEvent logs that an endpoint was ejected, restored or reassigned.
func (g *Gateway) logHealthEvent(b balance.HealthEvent) {
	g.log.Info("endpoint health", "endpoint", b.Endpoint, "change", b.Change.String(),
		"failures", b.FailureRate, "forMs", time.Until(b.EjectedUntil).Milliseconds())
}

// logPaceEvent logs that an endpoint has become slow or no longer is.
func (g *Gateway) logPaceEvent(b balance.PaceEvent) {
	g.log.Info("endpoint pace", "endpoint", b.Endpoint, "pace", b.Pace, "places", b.Places)
}

// applyVersions applies the named versions in s.
func (g *Gateway) applyVersions(s *mirror.State) {
	found := !g.versionsLoaded.Swap(true)
	for name, stored := range s.Objects {
		v, err := platform.DecodeVersion(stored.Data)
		if err != nil {
			g.unreadableVersions.Report(name, err)
			continue
		}
		if g.addVersion(v.Model, v.Version, found) {
			g.log.Info("version named", "model", v.Model, "version", v.Version, "revision", stored.Revision, "found", found)
			g.inventory.Broadcast()
			g.requestNamings()
		}
	}
}

// addVersion records a named version and reports whether it is the newest. found is set for
// versions that were named before this gateway started, at an unknown time.
func (g *Gateway) addVersion(model string, version int64, found bool) bool {
	if found {
		return g.versions.AddExisting(model, version, time.Now())
	}
	return g.versions.Add(model, version, time.Now())
}

// applyMembers applies the gateways listed in the store.
func (g *Gateway) applyMembers(s *mirror.State) {
	var entries []member.Entry
	for name, stored := range s.Objects {
		entry, err := platform.DecodeMember(stored.Data)
		if err != nil {
			g.unreadableMembers.Report(name, err)
			continue
		}
		entries = append(entries, *entry)
	}
	g.table.SetListed(entries)
	g.syncer.Elect(time.Now())
	if g.heartbeater != nil && g.table.Size() == 1 {
		g.heartbeater.SendSoon() // others that start wait to be contacted
	}
}
