package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/silverdeck/silverdeck/gateway/admission"
	"github.com/silverdeck/silverdeck/gateway/balance"
	"github.com/silverdeck/silverdeck/member"
)

// newGate returns the gate that admits callers' requests.
func (g *Gateway) newGate() *admission.Gate {
	return admission.New(admission.Config{
		Supply:     g.supply,
		News:       g.demandNews,
		Random:     rand.Float64,
		OnDecision: g.admissionMetrics.Record,
		OnChange: func(s admission.Status) {
			g.log.Info("admission changed", "service", s.Service, "shortage", s.Shortage, "room", s.Room, "running", s.Running,
				"demand", s.Fleet.Recent.Total(), "own", s.Own.Recent.Total(), "gateways", s.Gateways, "covers", s.Covers, "ageMs", s.Age.Milliseconds(),
				"levels", s.Levels, "limit", s.Limit, "admitted", s.Admitted)
		},
	})
}

// refreshAdmission applies news of other gateways to admission and updates its metrics.
func (g *Gateway) refreshAdmission(now time.Time) {
	g.gate.Refresh(now)
	g.admissionMetrics.RecordStatus(g.gate.Status())
}

// supply implements admission.Config.Supply.
func (g *Gateway) supply(service string, now time.Time) admission.Supply {
	var out admission.Supply
	for _, c := range g.capacities(service, now) {
		room := c.Room()
		if more := float64(c.Coming) - room; c.ReadyIn > 0 && more > 0 {
			out.Coming = append(out.Coming, admission.Arrival{In: c.ReadyIn, Places: more})
		}
		if room == 0 {
			out.Elsewhere += c.Own
			if c.Open {
				out.Open++
			}
			continue
		}
		out.Room += room
		out.Running += float64(c.InFlight)
		out.Own += float64(c.Own)
	}
	return out
}

// capacities returns the capacities of a service's endpoints. An endpoint is usable if it is for any
// of the service's models.
func (g *Gateway) capacities(service string, now time.Time) []balance.Capacity {
	config := g.proxy.Routes()
	if config == nil || config.Services[service] == nil || config.Services[service].Engine == nil {
		return g.balancer.Capacities(&balance.Query{Service: service}, now)
	}
	var out []balance.Capacity
	for _, model := range config.Services[service].Engine.Models {
		found := g.balancer.Capacities(&balance.Query{Service: service, Model: model, MinVersion: g.minVersion(model)}, now)
		if out == nil {
			out = found
			continue
		}
		for i := range min(len(out), len(found)) {
			out[i].Usable = out[i].Usable || found[i].Usable
			if out[i].ReadyIn == 0 {
				out[i].ReadyIn, out[i].Coming = found[i].ReadyIn, found[i].Coming
			}
			out[i].Cold = out[i].Cold || found[i].Cold
		}
	}
	return out
}

// demandNews implements admission.Config.News.
func (g *Gateway) demandNews(service string, now time.Time) admission.News {
	d, short := g.table.Demand(service, now), g.table.Shortage(service, now)
	return admission.News{Demand: admission.Demand{Recent: admission.Slots(d.Slots), Mean: d.Mean}, Accounts: short.Accounts, Told: short.Told,
		Covers: d.Covers, Gateways: d.Gateways, Known: d.Known, Age: d.Age}
}

// ownDemand returns the demand of this gateway's callers for heartbeats.
func (g *Gateway) ownDemand(now time.Time) []member.Demand {
	var out []member.Demand
	for service, demand := range g.gate.Demand(now) {
		if d, ok := member.NewDemand(service, member.SlotsByRank(demand.Recent), demand.Mean); ok {
			out = append(out, d)
		}
	}
	return out
}
