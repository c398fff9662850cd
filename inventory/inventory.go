// Package inventory provides the part of the platform's store that a sidecar needs: which weights
// are wanted, where they come from and which other VMs want them. Gateways compose it from their
// replicas of the store and serve it over net/rpc. While no gateway answers, the sidecar composes
// it from the store itself. The names of this package, of its message types and of their fields are
// part of the wire format.
package inventory

import (
	"cmp"
	"net"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/silverdeck/silverdeck/member"
	"github.com/silverdeck/silverdeck/roster"
	"github.com/silverdeck/silverdeck/routes"
	"github.com/silverdeck/silverdeck/swarm"
	"github.com/silverdeck/silverdeck/versions"
)

// Service is the net/rpc name under which gateways serve inventories.
const Service = "Inventory"

// MethodGet is the net/rpc name of Server.Get.
const MethodGet = Service + ".Get"

// Query requests the inventory of a service.
type Query struct {
	Service string
	// Known is the digest of the last inventory received. The reply is sent once the digest
	// differs, or after Wait.
	Known uint64
	Wait  time.Duration
}

// Version identifies a version of a model.
type Version struct {
	Model   string
	Version int64
}

// Newest returns the newest version of each model in h, ordered by model.
func Newest(h *versions.History) []Version {
	var out []Version
	for _, n := range h.Newest() {
		out = append(out, Version{Model: n.Model, Version: n.Version})
	}
	return out
}

// ContainsAll returns whether namings contains all versions in wanted.
func ContainsAll(namings []versions.Naming, wanted []Version) bool {
	var out []versions.Naming
	for _, v := range wanted {
		out = append(out, versions.Naming{Model: v.Model, Version: v.Version})
	}
	return versions.ContainsAll(namings, out)
}

// Place is the RPC address of a gateway and its availability zone.
type Place struct {
	Addr, Zone string
}

// Inventory describes the fleet of one service.
type Inventory struct {
	// Digest is a hash of the contents; see finalize.
	Digest uint64
	// Versions holds the newest version of each model, ordered by model.
	Versions []Version
	// Models holds the models that endpoints of the service hold from the start.
	Models []string
	// Origin is the address of the origin of weights, or empty. OriginMbps is the bandwidth of
	// its link in megabits per second.
	Origin     string
	OriginMbps float64
	// Members holds the VMs of the service, Entries all live gateways.
	Members []swarm.Member
	Entries []Place
	// AnswerTime is the usual duration of an answer of an endpoint of the service, or 0 if
	// unknown.
	AnswerTime time.Duration
	// Slots is the number of requests that an endpoint of the service runs at once, or 0 if
	// unknown.
	Slots int
}

// FleetState is the state of the fleet from which inventories are composed.
type FleetState struct {
	// Config is the configuration of the service.
	Config ServiceConfig
	// Versions holds the newest version of each model.
	Versions []Version
	// Endpoints holds the endpoints of all services by ID.
	Endpoints map[string]*roster.Endpoint
	// Gateways holds all live gateways.
	Gateways []Place
	// PeerPort is the peer port of all VMs. Regions maps availability zones to their regions.
	PeerPort int
	Regions  map[string]string
}

// ServiceConfig is the part of the configuration that concerns one service.
type ServiceConfig struct {
	// Models holds the models that its endpoints hold from the start.
	Models []string
	// Origin is the address of the origin of weights, or empty. OriginMbps is the bandwidth of
	// its link in megabits per second.
	Origin     string
	OriginMbps float64
	// AnswerTime is the usual duration of an endpoint's answer, or 0 if unknown.
	AnswerTime time.Duration
	// Slots is the number of requests that an endpoint runs at once, or 0 if unknown.
	Slots int
}

// ServiceConfigFrom extracts the configuration of service from config.
func ServiceConfigFrom(config *routes.Config, service string) ServiceConfig {
	var out ServiceConfig
	if s := config.Services[service]; s != nil && s.Engine != nil {
		out.Models = append(out.Models, s.Engine.Models...)
		out.AnswerTime, out.Slots = config.AnswerTime(service), s.Engine.Slots
	}
	for _, s := range config.Services {
		if s.Origin != "" {
			out.Origin, out.OriginMbps = s.Origin, s.LinkMbps
		}
	}
	return out
}

// ServiceConfig returns the configuration from which the inventory was composed.
func (inv *Inventory) ServiceConfig() ServiceConfig {
	return ServiceConfig{Models: inv.Models, Origin: inv.Origin, OriginMbps: inv.OriginMbps, AnswerTime: inv.AnswerTime, Slots: inv.Slots}
}

// Compose returns the inventory of service, with its lists sorted and its digest set.
func Compose(service string, k *FleetState) *Inventory {
	inv := &Inventory{
		Versions:   k.Versions,
		Models:     k.Config.Models,
		Origin:     k.Config.Origin,
		OriginMbps: k.Config.OriginMbps,
		Entries:    k.Gateways,
		AnswerTime: k.Config.AnswerTime,
		Slots:      k.Config.Slots,
	}
	for _, e := range k.Endpoints {
		if e.Service == service {
			inv.addMember(e, k.PeerPort, k.Regions)
		}
	}
	inv.finalize()
	return inv
}

// Update returns inv with other versions and gateways.
func (inv *Inventory) Update(versions []Version, gateways []Place) *Inventory {
	out := *inv
	out.Versions, out.Members, out.Entries = versions, slices.Clone(inv.Members), gateways
	out.finalize()
	return &out
}

// addMember adds the VM of an endpoint. It skips an endpoint whose address has no port, which the
// platform's store does not accept.
func (inv *Inventory) addMember(e *roster.Endpoint, port int, regions map[string]string) {
	host, _, err := net.SplitHostPort(e.Addr)
	if err != nil {
		return
	}
	addr := net.JoinHostPort(host, strconv.Itoa(port))
	inv.Members = append(inv.Members, swarm.Member{VM: addr, Addr: addr, Zone: e.Zone, Region: regions[e.Zone]})
}

// PlaceOf returns the Place of a gateway.
func PlaceOf(e member.Entry) Place {
	return Place{Addr: e.Peer, Zone: e.Zone}
}

// finalize sorts all lists and sets the digest.
func (inv *Inventory) finalize() {
	slices.SortFunc(inv.Versions, func(a, b Version) int { return cmp.Compare(a.Model, b.Model) })
	slices.SortFunc(inv.Members, func(a, b swarm.Member) int { return cmp.Compare(a.Addr, b.Addr) })
	inv.Members = slices.Compact(inv.Members)
	slices.SortFunc(inv.Entries, func(a, b Place) int { return cmp.Compare(a.Addr, b.Addr) })
	h := xxhash.New()
	write := func(s string) { _, _ = h.WriteString(s + "\x00") }
	for _, v := range inv.Versions {
		write(v.Model + " " + strconv.FormatInt(v.Version, 10))
	}
	for _, m := range inv.Models {
		write(m)
	}
	write(inv.Origin + " " + strconv.FormatFloat(inv.OriginMbps, 'g', -1, 64))
	write(inv.AnswerTime.String() + " " + strconv.Itoa(inv.Slots))
	for _, m := range inv.Members {
		write(m.Addr)
	}
	for _, e := range inv.Entries {
		write(e.Addr)
	}
	inv.Digest = h.Sum64()
}
