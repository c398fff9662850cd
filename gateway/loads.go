package gateway

import (
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"github.com/silverdeck/silverdeck/gateway/balance"
	"github.com/silverdeck/silverdeck/inventory"
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

// mayGrantLoads reports whether this gateway grants the load leases of a service now.
func (g *Gateway) mayGrantLoads(service string) bool {
	var addrs []string
	for _, e := range g.gateways() {
		addrs = append(addrs, inventory.PlaceOf(e).Addr)
	}
	owns := leases.Owner(service, addrs) == inventory.PlaceOf(g.self).Addr
	return leases.MayGrant(owns, time.Since(g.startedAt), g.cfg.ContactTime)
}

// LeaseCounters counts decisions on load leases.
type LeaseCounters struct {
	// Refused counts refused requests; endpoints repeat them.
	Granted, Refused metrics.Counter
}

// NewLeaseCounters registers the counters in r.
func NewLeaseCounters(r metrics.Registry) *LeaseCounters {
	return &LeaseCounters{
		Granted: metrics.GetOrRegisterCounter("gateway.load_leases_granted", r),
		Refused: metrics.GetOrRegisterCounter("gateway.load_leases_refused", r),
	}
}

// recordLeaseDecision records a decision on a load lease. Endpoints repeat refused requests several
// times a second, so that these are logged for debugging only.
func (g *Gateway) recordLeaseDecision(q leases.LoadRequest, d leases.Grant) {
	l := g.log.With("service", q.Service, "model", q.Model, "addr", q.VM, "weights", q.Held, "running", q.Running,
		"remainingMs", q.Remaining.Milliseconds(), "newerInMs", q.NewerIn.Milliseconds(), "drainMs", d.Drain.Milliseconds(),
		"spare", d.Spare, "pending", d.Pending, "out", d.Out, "needed", d.Needed)
	if !d.Given {
		g.leaseCounters.Refused.Inc(1)
		l.Debug("load lease refused")
		return
	}
	g.leaseCounters.Granted.Inc(1)
	l.Info("load lease granted")
}
