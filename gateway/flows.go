package gateway

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/silverdeck/silverdeck/gateway/balance"
	"github.com/silverdeck/silverdeck/gateway/zoneflow"
	"github.com/silverdeck/silverdeck/routes"
)

// FlowMetrics shows the flows to other availability zones.
type FlowMetrics struct {
	// Share is the share of the demand of the gateway's zone that flows to other zones, of the
	// service with the highest one. Changes counts the changes.
	Share   metrics.GaugeFloat64
	Changes metrics.Counter
}

// NewFlowMetrics registers the metrics in r.
func NewFlowMetrics(r metrics.Registry) *FlowMetrics {
	return &FlowMetrics{
		Share:   metrics.GetOrRegisterGaugeFloat64("gateway.zone_flow_share", r),
		Changes: metrics.GetOrRegisterCounter("gateway.zone_flow_changes", r),
	}
}

// flows holds the shares of the demand of this gateway's zone that flow to other zones, by service.
// Only the Heartbeater's goroutine uses it.
type flows struct {
	shares map[string][]zoneflow.Share
	// changes counts the changes of shares.
	changes uint64
}

// highestShare returns the highest share of the demand for a service that flows to other zones.
func (f *flows) highestShare() float64 {
	highest := 0.0
	for _, shares := range f.shares {
		highest = max(highest, zoneflow.Total(shares))
	}
	return highest
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
		zones := zoneflow.Zones(g.table.ZoneDemand(name), g.balancer.RoomByZone(name, g.queries(name, service), now), g.cfg.Regions)
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
	g.log.Info("zone flow", "service", service, "share", zoneflow.Total(shares),
		"to", formatShares(shares), "zones", formatZones(zones))
	g.flowMetrics.Share.Update(g.flows.highestShare())
	g.flowMetrics.Changes.Inc(1)
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
