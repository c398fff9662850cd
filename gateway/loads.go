package gateway

import (
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/silverdeck/silverdeck/gateway/balance"
	"github.com/silverdeck/silverdeck/leases"
	"github.com/silverdeck/silverdeck/roster"
)

// loadFleet returns the endpoints of a service that run a model, for granting load leases.
func (g *Gateway) loadFleet(service, model string) *leases.Fleet {
	f := &leases.Fleet{}
	for _, d := range g.table.ZoneDemand(service) {
		f.Demand += d
	}
	q := &balance.Query{Service: service, Model: model, MinVersion: g.minVersion(model)}
	for _, c := range g.balancer.Capacities(q, time.Now()) {
		f.Endpoints = append(f.Endpoints, leases.Endpoint{
			VM: roster.VM(c.Addr), Zone: c.Zone, Slots: c.Places, InFlight: c.InFlight,
			Unavailable: !c.Usable, Paused: c.Paused, Version: c.Version,
		})
	}
	return f
}

// Metrics of load leases that this gateway decided on.
const (
	metricLeasesGranted = "gateway.load_leases.granted"
	metricLeasesRefused = "gateway.load_leases.refused"
)

// recordLeaseDecision records a decision on a load lease. Endpoints repeat refused requests several
// times a second, so that these are logged for debugging only.
func (g *Gateway) recordLeaseDecision(q leases.LoadRequest, d leases.Grant) {
	name, message, log := metricLeasesRefused, "load lease refused", g.log.Debug
	if d.Given {
		name, message, log = metricLeasesGranted, "load lease granted", g.log.Info
	}
	metrics.GetOrRegisterCounter(name, g.registry).Inc(1)
	log(message, "service", q.Service, "model", q.Model, "addr", q.VM, "weights", q.Held, "running", q.Running,
		"remainingMs", q.Remaining.Milliseconds(), "newerInMs", q.NewerIn.Milliseconds(), "drainMs", d.Drain.Milliseconds(),
		"spare", d.Spare, "pending", d.Pending, "out", d.Out, "needed", d.Needed)
}
