package gateway

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/silverdeck/silverdeck/gateway/balance"
	"github.com/silverdeck/silverdeck/mirror"
	"github.com/silverdeck/silverdeck/platform"
	"github.com/silverdeck/silverdeck/routes"
)

// evacuations are the availability zones whose endpoints get no requests. It is safe for concurrent use.
type evacuations struct {
	mu sync.Mutex
	// era is that of the last list, inForce what followed from it.
	era     int64
	inForce map[string]bool
	// kept holds the zones that were in force when the store returned from a copy. Until keptUntil they
	// stay so, whatever the store lists: the operator writes again what was lost.
	kept      map[string]bool
	keptUntil time.Time
}

// update returns the zones that are in force for what the store lists in an era, and for how long that
// holds without another list; 0 if forever. The lock must be held.
func (e *evacuations) update(listed map[string]bool, era int64, now time.Time) (map[string]bool, time.Duration) {
	if era != e.era && e.era != 0 {
		e.kept, e.keptUntil = e.inForce, now.Add(lapsedRetention)
	}
	e.era, e.inForce = era, maps.Clone(listed)
	left := e.keptUntil.Sub(now)
	if left <= 0 {
		return e.inForce, 0
	}
	maps.Copy(e.inForce, e.kept)
	return e.inForce, left
}

// applyEvacuations puts the evacuations that the store lists into force.
func (g *Gateway) applyEvacuations() {
	g.evacuations.mu.Lock()
	defer g.evacuations.mu.Unlock()
	s := g.mirrors[platform.KindEvacuations].State()
	zones, left := g.evacuations.update(zonesOf(s), s.Era, time.Now())
	if left > 0 {
		time.AfterFunc(left, g.applyEvacuations)
	}
	g.log.Info("evacuations in force", "zones", slices.Sorted(maps.Keys(zones)), "revision", s.Revision)
	g.balancer.SetEvacuated(zones, time.Now())
	g.applyConfig(g.mirrors[platform.KindConfig].State())
}

// zonesOf returns the zones whose evacuation is listed.
func zonesOf(s *mirror.State) map[string]bool {
	zones := map[string]bool{}
	for zone := range s.Objects {
		zones[zone] = true
	}
	return zones
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
