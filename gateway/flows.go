package gateway

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/silverdeck/silverdeck/gateway/balance"
	"github.com/silverdeck/silverdeck/gateway/zoneflow"
	"github.com/silverdeck/silverdeck/routes"
)

// flows holds the shares of the demand of this gateway's zone that flow to other zones, by service.
// Only the Heartbeater's goroutine uses it.
type flows struct {
	shares map[string][]zoneflow.Share
	// changes counts the changes of shares.
	changes uint64
}

// updateFlows derives the flows from the current sums of demand and room. Without demand of a
// service there are none.
func (g *Gateway) updateFlows(now time.Time) {
	config := g.proxy.Routes()
	if config == nil {
		return
	}
	for service := range g.flows.shares {
		if config.Services[service] == nil {
			g.setFlow(service, nil, nil)
		}
	}
	for name, service := range config.Services {
		zones := zonesOf(g.table.ZoneDemand(name), g.balancer.RoomByZone(name, g.queries(name, service), now), g.cfg.Regions)
		next := zoneflow.Settle(g.flows.shares[name], zoneflow.Shares(zones, g.cfg.Zone))
		if !slices.Equal(next, g.flows.shares[name]) {
			g.setFlow(name, next, zones)
		}
	}
}

// setFlow sets the shares of a service, which follow from zones.
func (g *Gateway) setFlow(service string, shares []zoneflow.Share, zones []zoneflow.Zone) {
	g.flows.changes++
	if len(shares) == 0 {
		delete(g.flows.shares, service)
	} else {
		g.flows.shares[service] = shares
	}
	g.log.Info("zone flow", "service", service, "share", zoneflow.Total(shares), "to", formatShares(shares), "zones", formatZones(zones))
	total := 0.0
	for _, s := range g.flows.shares {
		total = max(total, zoneflow.Total(s))
	}
	metrics.GetOrRegisterGaugeFloat64("gateway.zone_flow_share", g.registry).Update(total)
	metrics.GetOrRegisterCounter("gateway.zone_flow_changes", g.registry).Inc(1)
}

// queries returns what requests to a service need of an endpoint, one query for each of its models.
func (g *Gateway) queries(name string, service *routes.Service) []balance.Query {
	if service.Engine == nil || len(service.Engine.Models) == 0 {
		return []balance.Query{{Service: name}}
	}
	var out []balance.Query
	for _, model := range service.Engine.Models {
		out = append(out, balance.Query{Service: name, Model: model, MinVersion: g.minVersion(model)})
	}
	return out
}

// zonesOf returns the zones with demand or room, sorted by name, or nil if no demand is known. A zone
// whose region is unknown counts as a region of its own.
func zonesOf(demand, room map[string]float64, regions map[string]string) []zoneflow.Zone {
	if demand == nil {
		return nil
	}
	names := maps.Clone(demand)
	maps.Copy(names, room)
	var out []zoneflow.Zone
	for _, name := range slices.Sorted(maps.Keys(names)) {
		out = append(out, zoneflow.Zone{Name: name, Region: cmp.Or(regions[name], name), Demand: demand[name], Room: room[name]})
	}
	return out
}

func formatShares(shares []zoneflow.Share) string {
	var out []string
	for _, s := range shares {
		out = append(out, fmt.Sprintf("%s:%.2f", s.To, s.Share))
	}
	return strings.Join(out, " ")
}

// formatZones returns the demand of each zone and its room, in slots.
func formatZones(zones []zoneflow.Zone) string {
	var out []string
	for _, z := range zones {
		out = append(out, fmt.Sprintf("%s:%.1f/%.1f", z.Name, z.Demand, z.Room))
	}
	return strings.Join(out, " ")
}
