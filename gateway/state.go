package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/silverdeck/silverdeck/gateway/advisory"
	"github.com/silverdeck/silverdeck/gateway/affinity"
	"github.com/silverdeck/silverdeck/gateway/balance"
	"github.com/silverdeck/silverdeck/gateway/poison"
	"github.com/silverdeck/silverdeck/inventory"
	"github.com/silverdeck/silverdeck/leases"
	"github.com/silverdeck/silverdeck/member"
	"github.com/silverdeck/silverdeck/mirror"
	"github.com/silverdeck/silverdeck/platform"
	"github.com/silverdeck/silverdeck/roster"
)

// Why a gateway is not ready.
var (
	errLeaving     = errors.New("gateway: leaving")
	errNoConfig    = errors.New("gateway: no configuration yet")
	errNoEndpoints = errors.New("gateway: no endpoints yet")
)

// Ready implements telemetry.StatusProvider.
func (g *Gateway) Ready() error {
	switch {
	case g.leaving.Load():
		return errLeaving
	case g.proxy.Routes() == nil:
		return errNoConfig
	case g.endpoints.Current() == nil:
		return errNoEndpoints
	}
	return nil
}

// shownState is what the person on call sees of a gateway.
type shownState struct {
	Self      member.Entry     `json:"self"`
	Live      []member.Entry   `json:"live"`
	Revisions map[string]int64 `json:"revisions"`
	InFlight  map[string]int   `json:"inFlight"`
	Versions  []shownVersion   `json:"versions"`
	// Poison are the requests under which endpoints ended.
	Poison []poison.RequestStatus `json:"poison"`
}

// shownVersion is the newest version of a model as the person on call sees it.
type shownVersion struct {
	Model   string `json:"model"`
	Version int64  `json:"version"`
	// AgeMS is how long ago it was named, or found if Found is set.
	AgeMS int64 `json:"ageMs"`
	Found bool  `json:"found"`
	// Required is the version below which no request is sent.
	Required int64 `json:"required"`
}

// State implements telemetry.StatusProvider.
func (g *Gateway) State() any {
	revisions := map[string]int64{}
	for kind, m := range g.mirrors {
		revisions[kind] = m.State().Revision
	}
	return shownState{Self: g.self, Live: g.table.Live(), Revisions: revisions, InFlight: byID(g.balancer.InFlight()), Versions: g.shownVersions(),
		Poison: g.poison.List(time.Now())}
}

// byID returns counts of endpoints by their IDs.
func byID(counts map[roster.Life]int) map[string]int {
	out := make(map[string]int, len(counts))
	for l, n := range counts {
		out[l.ID] = n
	}
	return out
}

func (g *Gateway) shownVersions() []shownVersion {
	var out []shownVersion
	for _, n := range g.versions.Newest() {
		out = append(out, shownVersion{Model: n.Model, Version: n.Version, AgeMS: time.Since(n.At).Milliseconds(),
			Found: n.TimeUnknown, Required: g.minVersion(n.Model)})
	}
	return out
}

// heartbeat returns this gateway's next heartbeat, without its number.
func (g *Gateway) heartbeat() member.Heartbeat {
	status := g.syncer.Status()
	b := member.Heartbeat{
		Entry:    g.self,
		Ready:    g.Ready() == nil,
		Copies:   map[string]mirror.Version{},
		Watching: status.Watching,
		Away:     status.StoreLost,
	}
	b.SetEndpoints(g.balancer.InFlight(), g.balancer.Suspects(time.Now()))
	now := time.Now()
	b.Poison = poison.Pack(g.poison.Gossip(g.table.IsRelay(), now))
	b.Advice = advisory.Encode(g.balancer.Advisories(g.table.IsRelay(), now), now)
	for kind, m := range g.mirrors {
		b.Copies[kind] = m.State().Version()
	}
	return b
}

// afterHeartbeat takes in what the last heartbeats of others told. silent are the
// gateways from which none came any more.
func (g *Gateway) afterHeartbeat(silent []string) {
	g.noteSuspended(g.suspension.Suspended())
	g.prefer()
	for _, name := range silent {
		g.log.Warn("entry lost", "entry", name)
	}
	for _, name := range g.table.Joined() {
		g.log.Info("entry heard", "entry", name)
	}
	if g.table.Size() == 1 {
		g.balancer.NoteTraffic(time.Now()) // there is nobody to hear from
	}
	g.endpoints.SetStoreLost(g.syncer.StoreLost(), time.Now())
	g.requireHeld(time.Now())
}

// noteSuspended takes in that the VM was suspended for d.
func (g *Gateway) noteSuspended(d time.Duration) {
	if d == 0 {
		return
	}
	g.log.Warn("suspended", "forMs", d.Milliseconds())
	g.versions.AdjustForSuspension(d)
}

// prefer deals out the endpoints anew where they or the gateways have changed: with 1,900
// and 340 that is too much work for each heartbeat.
func (g *Gateway) prefer() {
	now := dealt{endpoints: g.endpoints.Current(), members: g.table.Changes(), ready: g.Ready() == nil}
	if g.dealt == now {
		return
	}
	g.dealt = now
	g.balancer.SetPreferred(affinity.Preferred(now.endpoints, g.gateways(), g.self.Name))
	g.balancer.SetHeld(affinity.Held(now.endpoints, g.readyGateways(), g.self.Name), time.Now())
}

// dealt is from what endpoints were last dealt out to gateways.
type dealt struct {
	endpoints *roster.List
	members   uint64
	ready     bool
}

// afterOther takes in a heartbeat of another gateway.
func (g *Gateway) afterOther(ctx context.Context) {
	g.balancer.NoteTraffic(time.Now())
	g.syncer.SyncWithPeers(ctx, time.Now())
}

// gateways returns all live gateways with this one, in no order.
func (g *Gateway) gateways() []member.Entry {
	return append(g.table.Live(), g.self)
}

// leasable returns what is known of the endpoints of a service that run a model, for leases
// on their loads.
func (g *Gateway) leasable(service, model string) []leases.Endpoint {
	places := g.balancer.Capacities(&balance.Query{Service: service, Model: model, MinVersion: g.minVersion(model)}, time.Now())
	out := make([]leases.Endpoint, 0, len(places))
	for _, p := range places {
		out = append(out, leases.Endpoint{VM: roster.VM(p.Addr), Slots: p.Slots, InFlight: p.InFlight, Unavailable: !p.Usable})
	}
	return out
}

// describeService returns the inventory of a service, or nil while too little is
// known.
func (g *Gateway) describeService(service string) *inventory.Inventory {
	config, list := g.proxy.Routes(), g.endpoints.Current()
	if config == nil || list == nil || g.mirrors[platform.KindVersions].State().Revision == 0 {
		return nil
	}
	k := &inventory.FleetState{
		Config:    inventory.ServiceConfigFrom(config, service),
		Versions:  inventory.Newest(g.versions),
		Endpoints: list.Endpoints,
		PeerPort:  g.cfg.PeerPort,
		Regions:   g.cfg.Regions,
	}
	for _, e := range g.gateways() {
		k.Gateways = append(k.Gateways, inventory.PlaceOf(e))
	}
	return inventory.Compose(service, k)
}
