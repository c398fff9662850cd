package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/silverdeck/silverdeck/gateway/balance"
	"github.com/silverdeck/silverdeck/mirror"
	"github.com/silverdeck/silverdeck/platform"
	"github.com/silverdeck/silverdeck/routes"
)

// applyEvacuations puts the evacuations in s into force.
func (g *Gateway) applyEvacuations(s *mirror.State) {
	zones := map[string]bool{}
	for zone := range s.Objects {
		zones[zone] = true
	}
	g.log.Info("evacuations in force", "zones", slices.Sorted(maps.Keys(zones)), "revision", s.Revision)
	g.balancer.SetEvacuated(zones, time.Now())
	g.applyConfig(g.mirrors[platform.KindConfig].State())
}

// evacuationsKnown reports whether this gateway knows which availability zones are being
// evacuated. Before that, it must not send requests to any endpoint.
func (g *Gateway) evacuationsKnown() bool {
	m := g.mirrors[platform.KindEvacuations]
	return m == nil || m.State().Revision > 0
}

// coldLimits returns the limits on requests to cold endpoints, by service.
func (g *Gateway) coldLimits(c *routes.Config) map[string]balance.ColdLimit {
	out := map[string]balance.ColdLimit{}
	for name, s := range c.Services {
		if s.ColdPerSecond > 0 {
			rate := balance.ColdRate(s.ColdPerSecond, g.cfg.ColdOverage, g.cfg.ColdSlack)
			out[name] = balance.ColdLimit{Duration: s.ColdStart, Rate: rate}
		}
	}
	return out
}
