package gateway

import (
	"context"
	"errors"
	"maps"
	"time"

	"github.com/silverdeck/silverdeck/gateway/admission"
	"github.com/silverdeck/silverdeck/gateway/advisory"
	"github.com/silverdeck/silverdeck/gateway/affinity"
	"github.com/silverdeck/silverdeck/gateway/poison"
	"github.com/silverdeck/silverdeck/inventory"
	"github.com/silverdeck/silverdeck/member"
	"github.com/silverdeck/silverdeck/mirror"
	"github.com/silverdeck/silverdeck/platform"
	"github.com/silverdeck/silverdeck/roster"
)

// Reasons why a gateway is not ready.
var (
	errStopping    = errors.New("gateway: leaving")
	errNoConfig    = errors.New("gateway: no configuration yet")
	errNoEndpoints = errors.New("gateway: no endpoints yet")
)

// Ready implements telemetry.StatusProvider.
func (g *Gateway) Ready() error {
	switch {
	case g.stopping.Load():
		return errStopping
	case g.proxy.Routes() == nil:
		return errNoConfig
	case g.endpoints.Current() == nil:
		return errNoEndpoints
	}
	return nil
}

// debugState is the gateway's state as shown to operators.
type debugState struct {
	Self      member.Entry     `json:"self"`
	Live      []member.Entry   `json:"live"`
	Revisions map[string]int64 `json:"revisions"`
	Eras      map[string]int64 `json:"eras"`
	InFlight  map[string]int   `json:"inFlight"`
	Versions  []debugVersion   `json:"versions"`
	// Poison lists the requests and parts of prompts under which endpoints crashed.
	Poison []poison.Status `json:"poison"`
	// Paces holds the paces of slow endpoints by ID.
	Paces map[string]float64 `json:"paces"`
	// Admission lists the state of admission by service.
	Admission []admission.Status `json:"admission"`
}

// debugVersion is the newest version of a model as shown to operators.
type debugVersion struct {
	Model   string `json:"model"`
	Version int64  `json:"version"`
	// AgeMS is the time since the version was named, or since it was found if Found is set.
	AgeMS int64 `json:"ageMs"`
	Found bool  `json:"found"`
	// Required is the oldest version to which requests may be sent.
	Required int64 `json:"required"`
}

// State implements telemetry.StatusProvider.
func (g *Gateway) State() any {
	revisions, eras := map[string]int64{}, map[string]int64{}
	for kind, m := range g.mirrors {
		s := m.State()
		revisions[kind], eras[kind] = s.Revision, s.Era
	}
	return debugState{Self: g.self, Live: g.table.Live(), Revisions: revisions, Eras: eras, InFlight: byID(g.balancer.InFlight()), Versions: g.debugVersions(),
		Poison: g.poison.List(time.Now()), Paces: byID(g.balancer.Paces()), Admission: g.gate.Status()}
}

// byID returns values by endpoint ID.
func byID[V any](values map[roster.Incarnation]V) map[string]V {
	out := make(map[string]V, len(values))
	for l, n := range values {
		out[l.ID] = n
	}
	return out
}

func (g *Gateway) debugVersions() []debugVersion {
	var out []debugVersion
	for _, n := range g.versions.Newest() {
		out = append(out, debugVersion{Model: n.Model, Version: n.Version, AgeMS: time.Since(n.At).Milliseconds(),
			Found: n.TimeUnknown, Required: g.minVersion(n.Model)})
	}
	return out
}

// heartbeat returns this gateway's next heartbeat, without its sequence number.
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
	records := g.poison.Gossip(g.table.IsRelay(), now)
	b.Poison, b.PoisonParts = poison.Pack(records), poison.PackParts(records)
	b.Demand, b.Shortages, b.Weight = g.ownDemand(now), g.gate.Shortages(now), g.weights.own.Weight()
	b.Advice = advisory.Encode(g.balancer.Advisories(g.table.IsRelay(), now), now)
	for kind, m := range g.mirrors {
		b.Copies[kind] = m.State().Version()
	}
	return b
}

// afterHeartbeat runs after each heartbeat round. silent names the gateways whose heartbeats
// have stopped.
func (g *Gateway) afterHeartbeat(silent []string) {
	g.noteSuspended(g.suspension.Suspended())
	g.balancer.ExpirePaces(time.Now())
	g.updateAssignment()
	g.refreshAdmission(time.Now())
	for _, name := range silent {
		g.log.Warn("entry lost", "entry", name)
	}
	for _, name := range g.table.Joined() {
		g.log.Info("entry heard", "entry", name)
	}
	if g.table.Size() == 1 {
		g.balancer.NoteTraffic(time.Now()) // there are no other gateways
	}
	g.endpoints.SetStoreLost(g.syncer.StoreLost(), time.Now())
	g.requireWidelyHeld(time.Now())
	g.updateContacts(time.Now())
}

// noteSuspended handles a suspension of the VM for d.
func (g *Gateway) noteSuspended(d time.Duration) {
	if d == 0 {
		return
	}
	g.log.Warn("suspended", "forMs", d.Milliseconds())
	g.versions.AdjustForSuspension(d)
}

// updateAssignment recomputes the assignment of endpoints to gateways if either has changed.
// With 1,900 endpoints and 340 gateways this is too expensive for each heartbeat.
func (g *Gateway) updateAssignment() {
	g.updateFlows(time.Now())
	g.updateWeights(time.Now())
	now := assignmentInputs{endpoints: g.endpoints.Current(), members: g.table.Changes(), ready: g.Ready() == nil,
		flows: g.flows.changes, weights: g.weights.changes}
	before := g.lastAssignment
	if before == now {
		return
	}
	g.lastAssignment = now
	preferred := affinity.Preferred(now.endpoints, g.gateways(), g.weights.byName, g.self.Name)
	maps.Copy(preferred, affinity.Lent(now.endpoints, g.gateways(), g.self.Name, g.flows.shares))
	g.balancer.SetPreferred(preferred)
	if before.flows, before.weights = now.flows, now.weights; before == now {
		return // holders depend on neither
	}
	g.balancer.SetHeld(affinity.Held(now.endpoints, g.readyGateways(), g.self.Name), time.Now())
}

// assignmentInputs identifies the inputs of an assignment of endpoints to gateways.
type assignmentInputs struct {
	endpoints *roster.List
	members   uint64
	ready     bool
	// flows is flows.changes, weights weights.changes.
	flows, weights uint64
}

// onHeartbeat handles the arrival of another gateway's heartbeat.
func (g *Gateway) onHeartbeat(ctx context.Context) {
	g.balancer.NoteTraffic(time.Now())
	g.syncer.SyncWithPeers(ctx, time.Now())
}

// gateways returns all live gateways including this one, in no particular order.
func (g *Gateway) gateways() []member.Entry {
	return append(g.table.Live(), g.self)
}

// describeService returns the inventory of a service, or nil while the required data is
// missing.
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
